#ifndef PACKAGES_STATE_TASK_H_
#define PACKAGES_STATE_TASK_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "packages/state/resource.h"
#include "packages/state/shared_text.h"

namespace bramleyrail {

enum class TaskState : uint8_t {
  kPending,   // Waits for placement.
  kAssigned,  // Has a live attempt on a worker.
  kCompleted,
  kFailed,  // Used up its attempts.
  kCancelled,
};

std::string_view TaskStateName(TaskState state);

// What the worker is told to do with the live attempt.
enum class DesiredAttemptState : uint8_t {
  kRun,
  kThrottle,
  kCheckpoint,
  kStop
};

std::string_view DesiredAttemptStateName(DesiredAttemptState state);

// What the worker says about an attempt.
enum class ReportedAttemptState : uint8_t {
  kAccepted,  // Known, not started.
  kRunning,
  kCheckpointed,  // Running; `checkpoint` names a new complete checkpoint.
  kCompleted,
  kFailed,
  kStopped,  // Certainly not running any more, not completed.
};

std::string_view ReportedAttemptStateName(ReportedAttemptState state);
Result<ReportedAttemptState> ParseReportedAttemptState(std::string_view name);

// Who owns a task: the kind and name of a service or batch job.
struct TaskOwner {
  ResourceKind kind = ResourceKind::kBatchJob;
  SharedText name;
  SharedText uid;

  bool operator==(const TaskOwner&) const = default;
};

// Task id: "OWNER-UID/INDEX"; unique for ever, since uids are never reused.
// Kept small (see SharedText): tens of thousands of tasks stay in memory.
struct Task {
  SharedText id;
  TaskOwner owner;
  int64_t index = 0;
  TaskState state = TaskState::kPending;
  DesiredAttemptState desired = DesiredAttemptState::kRun;
  ReportedAttemptState reported = ReportedAttemptState::kAccepted;
  // Of the live attempt. Fixed when the attempt starts, because a worker that
  // is out of reach does not learn of a changed spec.
  PartitionBehaviour when_partitioned = PartitionBehaviour::kStop;
  // Number of the newest attempt; serves as the fencing token. 0: none yet.
  int64_t attempt = 0;
  int64_t failures = 0;  // Charged to the task.
  int64_t evictions = 0;
  SharedText worker;          // Of the live attempt, else of the last one.
  SharedText worker_boot_id;  // Boot id that the live attempt is bound to.
  ResourceAmounts reserved;   // Charged to the worker by the live attempt.
  SharedText checkpoint;      // Newest complete checkpoint; empty: none.
  SharedText reason;          // Why it waits or failed, and what to do.
  int64_t changed_unix_ms = 0;

  bool operator==(const Task&) const = default;

  bool HasLiveAttempt() const { return state == TaskState::kAssigned; }
};

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_TASK_H_
