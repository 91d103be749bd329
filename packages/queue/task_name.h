#ifndef PACKAGES_QUEUE_TASK_NAME_H_
#define PACKAGES_QUEUE_TASK_NAME_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleyrail {

// One task: "JOB.OCCURRENCE.STEP.INDEX", all counted from 0.
struct TaskName {
  std::string job;
  int64_t occurrence = 0;
  int64_t step = 0;
  int64_t index = 0;

  auto operator<=>(const TaskName&) const = default;
  std::string ToString() const;
  template <typename H>
  friend H AbslHashValue(H state, const TaskName& name) {
    return H::combine(std::move(state), name.job, name.occurrence, name.step,
                      name.index);
  }
};

std::optional<TaskName> ParseTaskName(std::string_view text);

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_TASK_NAME_H_
