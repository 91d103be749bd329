#ifndef PACKAGES_PLACEMENT_ATTEMPT_ESCALATION_H_
#define PACKAGES_PLACEMENT_ATTEMPT_ESCALATION_H_

#include <string>

#include "packages/state/state.h"

namespace bramleyrail {

// One attempt that has to give way: throttle first, checkpoint next, stop
// last, each step only when the one before was not enough.
struct AttemptEscalation {
  std::string task_id;
  int64_t attempt = 0;
  bool checkpointable = false;
  DesiredAttemptState desired = DesiredAttemptState::kRun;
  MonotonicTime since;             // Of the current step.
  std::string checkpoint_at_step;  // Newest checkpoint when it began.

  // The attempt that this is about, or nullptr once it has ended.
  const Task* Find(const ClusterState& state) const {
    const Task* task = state.FindTask(task_id);
    const bool live =
        task != nullptr && task->HasLiveAttempt() && task->attempt == attempt;
    return live ? task : nullptr;
  }

  // Enters the step and returns the change to propose.
  DesiredAttempt Enter(DesiredAttemptState step,
                       const Task& task,
                       std::string reason,
                       MonotonicTime now) {
    desired = step;
    since = now;
    checkpoint_at_step = std::string(task.checkpoint);
    return {task_id, attempt, step, std::move(reason)};
  }
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_ATTEMPT_ESCALATION_H_
