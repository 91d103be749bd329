#include "packages/dispatch/earlier_account_runs.h"

#include <algorithm>
#include <utility>

namespace bramleyrail {

namespace {

// The best-effort runs on a worker request less than its processors, in
// addition to those that are reserved.
constexpr int64_t kProcessorOvercommitment = 2;

// The sum of the tasks of the job that an earlier leader may have started
// without a record. Recorded ones are tracked on their workers.
ResourceAmounts SumOfUnrecordedTasks(const QueuedJob& job, bool has_records) {
  ResourceAmounts sum;
  for (const JobStep& step : job.specification.steps) {
    if (has_records && step.long_running) {
      continue;
    }
    const int64_t tasks = step.tasks * job.specification.OccurrenceCount();
    // Amounts come from submissions. What exceeds all workers is cut off.
    const auto times = [tasks](int64_t amount) {
      return amount > kMaximumAmount / std::max<int64_t>(tasks, 1)
                 ? kMaximumAmount
                 : amount * tasks;
    };
    sum += {times(step.size.processor_millis), times(step.size.memory_mib),
            times(step.size.accelerators)};
  }
  return sum;
}

}  // namespace

void EarlierAccountRuns::Begin(const QueueState& state) {
  for (const auto& [id, job] : state.jobs()) {
    if (job->account.empty()) {
      continue;
    }
    const bool open = job->outcome == JobOutcome::kOpen;
    if (!open) {
      ended_jobs_[id] = job;
    }
    if (job->outcome != JobOutcome::kCompleted) {
      // The records of a job are deleted at its end.
      sums_[job->account] += SumOfUnrecordedTasks(
          *job, /*has_records=*/open && !state.HasUnrecordedRuns(id));
    }
  }
}

void EarlierAccountRuns::AddEndedJob(std::shared_ptr<const QueuedJob> job) {
  if (!has_ended_ && !job->account.empty()) {
    const std::string id = job->id;
    ended_jobs_[id] = std::move(job);
  }
}

void EarlierAccountRuns::End() {
  has_ended_ = true;
  sums_.clear();
  ended_jobs_.clear();
}

ResourceAmounts EarlierAccountRuns::BoundFor(
    const std::string& account,
    const ResourceAmounts& silent_capacity) const {
  const auto found = sums_.find(account);
  if (found == sums_.end()) {
    return {};
  }
  const ResourceAmounts& sum = found->second;
  return {std::min(sum.processor_millis, silent_capacity.processor_millis),
          std::min(sum.memory_mib, silent_capacity.memory_mib),
          std::min(sum.accelerators, silent_capacity.accelerators)};
}

std::shared_ptr<const QueuedJob> EarlierAccountRuns::FindEndedJob(
    std::string_view id) const {
  const auto found = ended_jobs_.find(id);
  return found == ended_jobs_.end() ? nullptr : found->second;
}

ResourceAmounts EarlierAccountRuns::SilentCapacity(
    const TrackedWorkers& workers) {
  ResourceAmounts capacity;
  for (const auto& [id, worker] : workers) {
    if (!worker->earlier_runs_resolved()) {
      const ResourceAmounts& total = worker->registration().capacity;
      const ResourceAmounts& known = worker->reserved();
      capacity +=
          {std::max<int64_t>(kProcessorOvercommitment * total.processor_millis -
                                 known.processor_millis,
                             0),
           std::max<int64_t>(total.memory_mib - known.memory_mib, 0),
           std::max<int64_t>(total.accelerators - known.accelerators, 0)};
    }
  }
  return capacity;
}

}  // namespace bramleyrail
