#include "packages/bramleyctl/table.h"

#include <algorithm>
#include <cstdint>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace bramleyrail {

namespace {

// Texts come from declarations and workers; control characters could rewrite
// the terminal of the reader.
std::string Printable(const std::string& text) {
  std::string printable = text;
  for (char& character : printable) {
    if (absl::ascii_iscntrl(static_cast<unsigned char>(character))) {
      character = ' ';
    }
  }
  return printable.empty() ? "-" : printable;
}

bool IsAmounts(const Json& value) {
  return value.is_object() && value.contains("processor_millis") &&
         value.contains("memory_mib");
}

std::string AmountsText(const Json& amounts) {
  return absl::StrCat(CellText(amounts["processor_millis"]), "m ",
                      CellText(amounts["memory_mib"]), "MiB ",
                      amounts.value("accelerators", int64_t{0}), "acc");
}

void AddFlat(const Json& value, const std::string& path, Table* table) {
  const bool is_branch = value.is_object() && !IsAmounts(value);
  if (is_branch) {
    for (const auto& [field, inner] : value.items()) {
      AddFlat(inner, path.empty() ? field : absl::StrCat(path, ".", field),
              table);
    }
    return;
  }
  const bool holds_objects =
      value.is_array() && !value.empty() && value.front().is_structured();
  if (holds_objects) {
    for (size_t i = 0; i < value.size(); ++i) {
      AddFlat(value[i], absl::StrCat(path, "[", i, "]"), table);
    }
    return;
  }
  table->AddRow({path, CellText(value)});
}

}  // namespace

Table::Table(std::vector<std::string> titles) {
  rows_.push_back(std::move(titles));
}

void Table::AddRow(std::vector<std::string> cells) {
  rows_.push_back(std::move(cells));
}

std::string Table::ToText() const {
  std::vector<size_t> widths;
  for (const std::vector<std::string>& row : rows_) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      absl::StrAppend(&line, row[i],
                      std::string(widths[i] - row[i].size() + 2, ' '));
    }
    absl::StripTrailingAsciiWhitespace(&line);
    absl::StrAppend(&text, line, "\n");
  }
  return text;
}

Table TableOf(const std::vector<TableColumn>& columns, const Json& rows) {
  std::vector<std::string> titles;
  titles.reserve(columns.size());
  for (const TableColumn& column : columns) {
    titles.push_back(column.title);
  }
  Table table(std::move(titles));
  for (const Json& row : rows) {
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const TableColumn& column : columns) {
      const Json::json_pointer pointer(column.pointer);
      cells.push_back(CellText(row.contains(pointer) ? row[pointer] : Json()));
    }
    table.AddRow(std::move(cells));
  }
  return table;
}

std::string CellText(const Json& value) {
  if (value.is_null()) {
    return "-";
  }
  if (value.is_string()) {
    return Printable(value.get<std::string>());
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  if (IsAmounts(value)) {
    return AmountsText(value);
  }
  if (value.is_array()) {
    std::vector<std::string> parts;
    parts.reserve(value.size());
    for (const Json& part : value) {
      parts.push_back(CellText(part));
    }
    return parts.empty() ? "-" : absl::StrJoin(parts, ",");
  }
  return value.dump();
}

std::string FlatText(const Json& object) {
  Table table({"FIELD", "VALUE"});
  AddFlat(object, "", &table);
  return table.ToText();
}

}  // namespace bramleyrail
