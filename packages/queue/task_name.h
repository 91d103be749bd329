#ifndef PACKAGES_QUEUE_TASK_NAME_H_
#define PACKAGES_QUEUE_TASK_NAME_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "packages/state/state.h"

namespace bramleyrail {

// Identifies a task. Its text is "JOB.OCCURRENCE.STEP.INDEX"; JOB is the id of
// the job, the other parts are numbers from 0.
struct TaskName {
  SharedText job;
  int64_t occurrence = 0;
  int64_t step = 0;
  int64_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): a false report on defaulted <=>.
  auto operator<=>(const TaskName&) const = default;
  std::string ToString() const;
};

std::optional<TaskName> ParseTaskName(std::string_view text);

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_TASK_NAME_H_
