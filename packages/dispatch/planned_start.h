#ifndef PACKAGES_DISPATCH_PLANNED_START_H_
#define PACKAGES_DISPATCH_PLANNED_START_H_

#include <cstdint>

#include "packages/queue/queue.h"

namespace bramleyrail {

class TrackedWorker;
struct WorkerRequest;

// A worker is to start tasks of a step once the runs have ended that leave no
// room for them. Until then other tasks start there only if they don't delay
// that.
struct PlannedStart {
  TaskName step;  // Its first task.
  int64_t priority = 0;
  bool long_running = false;
  ResourceAmounts size;  // Of one task, or of all gang members for this worker.
  MonotonicTime planned;      // When the plan was made.
  MonotonicTime first_start;  // As expected when the plan was made.
  MonotonicTime start;        // As expected now.
  // Other tasks that start before have ended by this time, or leave the room.
  MonotonicTime room_kept_from;
  int64_t backfilled = 0;  // Other tasks that have started since.
};

// Whether a task may start on the worker, which has room for it and a plan.
bool MayStartBeforePlan(const PlannedStart& plan,
                        const TrackedWorker& worker,
                        const WorkerRequest& request);

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_PLANNED_START_H_
