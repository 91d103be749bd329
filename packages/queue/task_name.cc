#include "packages/queue/task_name.h"

#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace bramleyrail {

std::string TaskName::ToString() const {
  return absl::StrCat(job, ".", occurrence, ".", step, ".", index);
}

std::optional<TaskName> ParseTaskName(std::string_view text) {
  const std::vector<std::string> parts =
      absl::StrSplit(absl::string_view(text.data(), text.size()), '.');
  TaskName name;
  if (parts.size() != 4 || parts[0].empty() ||
      !absl::SimpleAtoi(parts[1], &name.occurrence) ||
      !absl::SimpleAtoi(parts[2], &name.step) ||
      !absl::SimpleAtoi(parts[3], &name.index) || name.occurrence < 0 ||
      name.step < 0 || name.index < 0) {
    return std::nullopt;
  }
  name.job = parts[0];
  return name;
}

}  // namespace bramleyrail
