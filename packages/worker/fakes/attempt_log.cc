#include "packages/worker/fakes/attempt_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

absl::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

int64_t ToMilliseconds(MonotonicTime when) {
  return std::chrono::duration_cast<Milliseconds>(when.time_since_epoch())
      .count();
}

}  // namespace

AttemptLog::AttemptLog(std::string path) : path_(std::move(path)) {}

void AttemptLog::Start(MonotonicTime when,
                       std::string_view worker,
                       std::string_view boot_id,
                       std::string_view task_id,
                       int64_t attempt) {
  Append(absl::StrCat(ToMilliseconds(when), " start ", View(worker), " ",
                      View(boot_id), " ", View(task_id), " ", attempt,
                      " running\n"));
}

void AttemptLog::End(MonotonicTime when,
                     std::string_view worker,
                     std::string_view boot_id,
                     std::string_view task_id,
                     int64_t attempt,
                     std::string_view state) {
  Append(absl::StrCat(ToMilliseconds(when), " end ", View(worker), " ",
                      View(boot_id), " ", View(task_id), " ", attempt, " ",
                      View(state), "\n"));
}

void AttemptLog::Append(const std::string& line) {
  if (path_.empty()) {
    return;
  }
  // One write to a file in append mode keeps lines of several workers whole.
  const int file =
      open(path_.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  const bool written = file >= 0 && write(file, line.data(), line.size()) ==
                                        static_cast<ssize_t>(line.size());
  BRAMLEYRAIL_ASSERT(written, "the attempt log cannot be written");
  close(file);
}

}  // namespace bramleyrail
