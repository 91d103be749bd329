#include "packages/dispatch/planned_start.h"

#include "packages/dispatch/start_forecast.h"
#include "packages/dispatch/worker_selector.h"

namespace bramleyrail {

bool MayStartBeforePlan(const PlannedStart& plan,
                        const TrackedWorker& worker,
                        const WorkerRequest& request) {
  const JobStep& step = *request.step;
  TaskName first = request.task;
  first.index = 0;
  // Other long-running tasks have as good a claim to the room.
  if (step.long_running || request.job->priority < plan.priority ||
      first == plan.step) {
    return true;
  }
  if (request.longest_duration &&
      request.now + *request.longest_duration <= plan.room_kept_from) {
    return true;
  }
  ResourceAmounts held = HeldAt(worker, plan.room_kept_from, request.now);
  held += plan.size;
  return FitTogether(held, HeldBy(step), worker.registration().capacity);
}

}  // namespace bramleyrail
