#include "packages/bramleyctl/difference_text.h"

#include "absl/strings/str_cat.h"
#include "packages/bramleyctl/table.h"

namespace bramleyrail {

namespace {

std::string FieldLine(const Json& field) {
  const std::string path = CellText(field.value("path", Json()));
  const bool has_before = field.contains("before");
  const bool has_after = field.contains("after");
  if (has_before && has_after) {
    return absl::StrCat("    ~ ", path, ": ", CellText(field["before"]), " -> ",
                        CellText(field["after"]), "\n");
  }
  if (has_before) {
    return absl::StrCat("    - ", path, ": ", CellText(field["before"]), "\n");
  }
  return absl::StrCat("    + ", path, ": ",
                      CellText(field.value("after", Json())), "\n");
}

}  // namespace

std::string DifferenceText(const Json& answer) {
  std::string text;
  size_t created = 0;
  size_t changed = 0;
  size_t unchanged = 0;
  for (const Json& difference : answer.value("differences", Json::array())) {
    const std::string action = difference.value("action", "none");
    if (action == "none") {
      ++unchanged;
      continue;
    }
    const bool creates = action == "create";
    ++(creates ? created : changed);
    absl::StrAppend(&text, creates ? "+ " : "~ ",
                    CellText(difference.value("kind", Json())), "/",
                    CellText(difference.value("name", Json())), "\n");
    for (const Json& field : difference.value("fields", Json::array())) {
      absl::StrAppend(&text, FieldLine(field));
    }
  }
  absl::StrAppend(&text, "dry run: ", created, " to create, ", changed,
                  " to change, ", unchanged, " unchanged; nothing was done\n");
  return text;
}

}  // namespace bramleyrail
