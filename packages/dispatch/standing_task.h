#ifndef PACKAGES_DISPATCH_STANDING_TASK_H_
#define PACKAGES_DISPATCH_STANDING_TASK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "packages/queue/queue.h"

namespace bramleyrail {

// What a long-running task waits for that has no run at work.
enum class StandingReason {
  kTakeover,          // A worker that may have a run of an earlier leader.
  kRecord,            // The record of its placement.
  kStartUnconfirmed,  // The outcome of its start order.
  kStopUnconfirmed,   // The end of its last run, which was ordered to stop.
  kSilentWorker,      // The lease of the worker of its run, which is silent.
  kUnreadableLists,   // The same, of a worker whose lists cannot be read.
  kDelay,             // The pause after a failure or a rejected start.
  kGang,              // Another member of its gang that is not ready.
  kCrashRecord,       // The record of a crash of its worker.
  kOtherTask,         // Another task of its step, which is placed first.
  kAccountLimit,      // The limit of the client account of its job.
  kRoom,              // A worker. See the event step_waits.
};

std::string_view StandingReasonName(StandingReason reason);

struct StandingTask {
  TaskName task;
  StandingReason reason = StandingReason::kRoom;
  std::string worker;             // Empty: the task waits for none.
  std::optional<int64_t> behind;  // Index of the other task.
};

// Since when a task has stood still, and how often that was logged.
struct StandingSince {
  MonotonicTime time;
  int reports = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_STANDING_TASK_H_
