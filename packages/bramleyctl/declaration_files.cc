#include "packages/bramleyctl/declaration_files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <system_error>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "packages/state/state.h"

namespace bramleyrail {

namespace {

namespace fs = std::filesystem;

// Limits of one apply, see docs/interfaces/operators.md.
constexpr size_t kMaximumDeclarations = 1000;
constexpr size_t kMaximumBytes = 4'000'000;

bool IsDeclarationFile(const fs::path& path) {
  return path.extension() == ".json" || path.extension() == ".jsonc";
}

Error FileError(const std::string& path, const std::string& problem) {
  return MakeError(ErrorKind::kInvalidArgument,
                   absl::StrCat("cannot read '", path, "': ", problem),
                   "name a file, or a folder with files *.json or *.jsonc");
}

Result<std::vector<std::string>> FilesAt(const std::string& path) {
  std::error_code error;
  std::vector<std::string> files;
  if (!fs::is_directory(path, error)) {
    files.push_back(path);
    return files;
  }
  fs::recursive_directory_iterator folder(path, error);
  while (!error && folder != fs::recursive_directory_iterator()) {
    if (IsDeclarationFile(folder->path()) && folder->is_regular_file(error)) {
      files.push_back(folder->path().string());
    }
    folder.increment(error);
  }
  if (error) {
    return FileError(path, error.message());
  }
  if (files.empty()) {
    return FileError(path, "the folder holds no declarations");
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::string JoinPaths(const std::string& outer, std::string_view inner) {
  const bool needs_point =
      !outer.empty() && !inner.empty() && inner.front() != '[';
  return absl::StrCat(outer, needs_point ? "." : "",
                      absl::string_view(inner.data(), inner.size()));
}

FieldFault FaultIn(const std::string& file,
                   const std::string& path,
                   std::string message) {
  return {path.empty() ? file : absl::StrCat(file, ": ", path),
          std::move(message)};
}

struct ServerPath {
  size_t index = 0;
  std::string_view rest;  // Without the point at the start.
};

// Splits "declarations[3].spec.size".
std::optional<ServerPath> ParseServerPath(std::string_view path) {
  constexpr std::string_view kPrefix = "declarations[";
  const size_t end = path.find(']');
  size_t index = 0;
  if (!path.starts_with(kPrefix) || end == std::string_view::npos ||
      !absl::SimpleAtoi(
          absl::string_view(path.data() + kPrefix.size(), end - kPrefix.size()),
          &index)) {
    return std::nullopt;
  }
  std::string_view rest = path.substr(end + 1);
  if (rest.starts_with('.')) {
    rest.remove_prefix(1);
  }
  return ServerPath{index, rest};
}

}  // namespace

Result<DeclarationFiles> DeclarationFiles::Read(const std::string& path) {
  TRY(files, FilesAt(path));
  DeclarationFiles read;
  std::vector<FieldFault> faults;
  for (const std::string& file : files) {
    read.ReadFile(file, &faults);
  }
  if (read.declarations_.size() > kMaximumDeclarations) {
    faults.push_back(
        {path, absl::StrCat("holds ", read.declarations_.size(),
                            " declarations; one apply takes at most ",
                            kMaximumDeclarations)});
  }
  if (faults.empty() && read.declarations_.dump().size() > kMaximumBytes) {
    faults.push_back({path, absl::StrCat("is larger than ", kMaximumBytes,
                                         " bytes, the limit of one apply")});
  }
  if (!faults.empty()) {
    return MakeInvalidArgument(
        "nothing was applied: the declarations are "
        "faulty",
        std::move(faults));
  }
  return read;
}

void DeclarationFiles::ReadFile(const std::string& file,
                                std::vector<FieldFault>* faults) {
  std::ifstream stream(file);
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  if (!stream) {
    faults->push_back(FaultIn(file, "", "cannot be read"));
    return;
  }
  const Result<Json> json = ParseJson(text, JsonComments::kAllow);
  if (json.has_error()) {
    faults->push_back(FaultIn(file, "", json.error().message));
    return;
  }
  const Json* list = &json.value();
  std::string list_path;
  if (list->is_object() && list->contains("declarations")) {
    list = &(*list)["declarations"];
    list_path = "declarations";
    if (!list->is_array() || json.value().size() != 1) {
      faults->push_back(
          FaultIn(file, list_path, "must be an array and the only field"));
      return;
    }
  }
  if (!list->is_array()) {
    AddDeclaration(file, "", *list, faults);
    return;
  }
  for (size_t i = 0; i < list->size(); ++i) {
    AddDeclaration(file, absl::StrCat(list_path, "[", i, "]"), (*list)[i],
                   faults);
  }
}

void DeclarationFiles::AddDeclaration(const std::string& file,
                                      const std::string& path,
                                      const Json& declaration,
                                      std::vector<FieldFault>* faults) {
  // Checked here too, so that faults come together with those of files that
  // are no JSON at all and could not be sent.
  std::vector<FieldFault> found;
  const auto checked = ReadDeclaration(declaration, path, &found);
  for (FieldFault& fault : found) {
    faults->push_back(FaultIn(file, fault.path, std::move(fault.message)));
  }
  for (size_t i = 0; checked.has_value() && i < declarations_.size(); ++i) {
    if (declarations_[i]["kind"] == declaration["kind"] &&
        declarations_[i]["name"] == declaration["name"]) {
      faults->push_back(FaultIn(
          file, JoinPaths(path, "name"),
          absl::StrCat("is declared in ", places_[i].file, " already")));
    }
  }
  declarations_.push_back(declaration);
  places_.push_back({file, path});
}

Error DeclarationFiles::LocateFaults(Error error) const {
  for (FieldFault& fault : error.faults) {
    const std::optional<ServerPath> server_path = ParseServerPath(fault.path);
    if (server_path.has_value() && server_path->index < places_.size()) {
      const Place& place = places_[server_path->index];
      fault = FaultIn(place.file, JoinPaths(place.path, server_path->rest),
                      std::move(fault.message));
    }
  }
  return error;
}

}  // namespace bramleyrail
