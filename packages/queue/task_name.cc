#include "packages/queue/task_name.h"

#include <charconv>
#include <system_error>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

bool ParseNumber(std::string_view text, int64_t* number) {
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, *number);
  return error == std::errc() && parsed == end && *number >= 0;
}

}  // namespace

std::string TaskName::ToString() const {
  return absl::StrCat(job, ".", occurrence, ".", step, ".", index);
}

std::optional<TaskName> ParseTaskName(std::string_view text) {
  TaskName name;
  // A job id has no dots, so the numbers are read from the end.
  for (int64_t* number : {&name.index, &name.step, &name.occurrence}) {
    const size_t dot = text.rfind('.');
    if (dot == std::string_view::npos ||
        !ParseNumber(text.substr(dot + 1), number)) {
      return std::nullopt;
    }
    text = text.substr(0, dot);
  }
  if (text.empty() || text.find('.') != std::string_view::npos) {
    return std::nullopt;
  }
  name.job = text;
  return name;
}

}  // namespace bramleyrail
