#include "packages/dispatch/failed_requests.h"

#include <algorithm>

namespace bramleyrail {

void FailedRequests::Add(const WorkerRequest& request,
                         const WorkerRejections& rejections) {
  // These limits depend on the runs of the step, and of the task.
  if (request.suspected || request.step->maximum_tasks_per_worker > 0) {
    return;
  }
  entries_.push_back({&request.job->pool, request.step,
                      WorkerSelector::ProtectionAfter(request.waited),
                      request.lateness, request.job->priority,
                      request.longest_duration, rejections});
}

const WorkerRejections* FailedRequests::Find(
    const WorkerRequest& request) const {
  const auto found = std::find_if(
      entries_.begin(), entries_.end(),
      [&](const Entry& failed) { return NeedsAsMuch(request, failed); });
  return found == entries_.end() ? nullptr : &found->rejections;
}

bool FailedRequests::IsHeldAsMuch(const WorkerRequest& request,
                                  const Entry& failed) {
  if (failed.rejections.planned == 0) {
    return true;
  }
  return !request.step->long_running &&
         request.job->priority >= failed.priority &&
         request.longest_duration.value_or(Milliseconds::max()) >=
             failed.longest_duration.value_or(Milliseconds::max());
}

bool FailedRequests::NeedsAsMuch(const WorkerRequest& request,
                                 const Entry& failed) {
  const JobStep& step = *request.step;
  const JobStep& failed_step = *failed.step;
  if (request.job->pool != *failed.pool ||
      step.best_effort != failed_step.best_effort ||
      !IsHeldAsMuch(request, failed) || !failed_step.size.FitsInto(step.size) ||
      (!failed_step.required_label.empty() &&
       step.required_label != failed_step.required_label)) {
    return false;
  }
  // How much a best-effort run interferes with others depends on its image, and
  // how much of that it may depends on how late it is.
  return !step.best_effort || (step.image == failed_step.image &&
                               WorkerSelector::ProtectionAfter(
                                   request.waited) == failed.protection &&
                               request.lateness <= failed.lateness);
}

}  // namespace bramleyrail
