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
  kFailed,  // The maximum number of attempts failed.
  kCancelled,
};

std::string_view TaskStateName(TaskState state);

// State that the worker has to bring the live attempt into.
enum class DesiredAttemptState : uint8_t {
  kRun,
  kThrottle,
  kCheckpoint,
  kStop
};

std::string_view DesiredAttemptStateName(DesiredAttemptState state);

// State of an attempt as reported by its worker.
enum class ReportedAttemptState : uint8_t {
  kAccepted,  // Received by the worker, not started.
  kRunning,
  kCheckpointed,  // Running; `checkpoint` names a new complete checkpoint.
  kCompleted,
  kFailed,
  kStopped,  // Known to have ended without completing.
};

std::string_view ReportedAttemptStateName(ReportedAttemptState state);
Result<ReportedAttemptState> ParseReportedAttemptState(std::string_view name);

// The service or batch job that a task belongs to.
struct TaskOwner {
  ResourceKind kind = ResourceKind::kBatchJob;
  SharedText name;
  SharedText uid;

  bool operator==(const TaskOwner&) const = default;
};

// One task of a service or batch job. Its id is "OWNER-UID/INDEX" and is never
// reused, because uids are not. Tens of thousands of tasks are in memory, so
// the struct is kept small by SharedText.
struct Task {
  SharedText id;
  TaskOwner owner;
  int64_t index = 0;
  TaskState state = TaskState::kPending;
  DesiredAttemptState desired = DesiredAttemptState::kRun;
  ReportedAttemptState reported = ReportedAttemptState::kAccepted;
  // Behaviour of the live attempt. Fixed when the attempt starts, because an
  // unreachable worker does not receive a changed spec.
  PartitionBehaviour when_partitioned = PartitionBehaviour::kStop;
  // Number of the newest attempt, used as fencing token. 0: no attempt yet.
  int64_t attempt = 0;
  int64_t failures = 0;  // Failures that count against the maximum attempts.
  int64_t evictions = 0;
  SharedText worker;  // Worker of the live attempt, else of the last one.
  SharedText worker_boot_id;  // Boot id of the worker when the attempt started.
  ResourceAmounts reserved;   // Capacity reserved by the live attempt.
  SharedText checkpoint;      // Newest complete checkpoint. Empty: none.
  SharedText reason;          // Why the task is pending, stopping or failed.
  int64_t changed_unix_ms = 0;

  bool operator==(const Task&) const = default;

  bool HasLiveAttempt() const { return state == TaskState::kAssigned; }
};

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_TASK_H_
