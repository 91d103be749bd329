#ifndef PACKAGES_WORKER_FAKES_ATTEMPT_LOG_H_
#define PACKAGES_WORKER_FAKES_ATTEMPT_LOG_H_

#include <string>
#include <string_view>

#include "packages/base/base.h"

namespace bramleyrail {

// Appends one line for the start and the end of every attempt:
//   TIME_MS start|end WORKER BOOT_ID TASK_ID ATTEMPT STATE
// TIME_MS is of the monotonic clock, which all processes of a machine share, so
// several workers can write to one file and a check can compare their lines.
class AttemptLog {
 public:
  // An empty path records nothing.
  explicit AttemptLog(std::string path);

  void Start(MonotonicTime when,
             std::string_view worker,
             std::string_view boot_id,
             std::string_view task_id,
             int64_t attempt);
  void End(MonotonicTime when,
           std::string_view worker,
           std::string_view boot_id,
           std::string_view task_id,
           int64_t attempt,
           std::string_view state);

 private:
  void Append(const std::string& line);

  std::string path_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_WORKER_FAKES_ATTEMPT_LOG_H_
