#ifndef PACKAGES_PLACEMENT_ATTEMPT_ESCALATION_H_
#define PACKAGES_PLACEMENT_ATTEMPT_ESCALATION_H_

#include <string>

#include "packages/state/state.h"

namespace bramleyrail {

// An attempt that is being moved out of the way of other work: it is first
// throttled, then checkpointed and finally stopped, each step only when the
// previous one was not enough.
struct AttemptEscalation {
  std::string task_id;
  int64_t attempt = 0;
  bool checkpointable = false;
  DesiredAttemptState desired = DesiredAttemptState::kRun;
  MonotonicTime since;             // Start of the current step.
  std::string checkpoint_at_step;  // Newest checkpoint when the step began.

  // Returns the task while this attempt is live, nullptr once the attempt has
  // ended.
  const Task* Find(const ClusterState& state) const {
    const Task* task = state.FindTask(task_id);
    const bool live =
        task != nullptr && task->HasLiveAttempt() && task->attempt == attempt;
    return live ? task : nullptr;
  }

  // Starts the given step and returns the state change to propose.
  DesiredStateChange Enter(DesiredAttemptState step,
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
