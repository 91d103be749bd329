#include "packages/queue/recorded_runs.h"

#include <limits>

namespace bramleyrail {

namespace {

RecordedRuns::TaskOfJob KeyOf(const TaskName& task) {
  return {task.occurrence, task.step, task.index};
}

}  // namespace

void RecordedRuns::Record(const RunPlacement& placement) {
  if (!placement.worker) {
    Erase(placement.task, placement.run);
    return;
  }
  auto job = jobs_.find(placement.task.job.View());
  if (job == jobs_.end()) {
    job =
        jobs_.emplace(std::string(placement.task.job.View()), JobRuns()).first;
  }
  Run& run = job->second[KeyOf(placement.task)];
  if (placement.run > run.number) {
    run = {placement.run, *placement.worker};
  }
}

void RecordedRuns::Erase(const TaskName& task, uint64_t run) {
  const auto job = jobs_.find(task.job.View());
  if (job == jobs_.end()) {
    return;
  }
  const auto found = job->second.find(KeyOf(task));
  if (found == job->second.end() || found->second.number > run) {
    return;
  }
  job->second.erase(found);
  if (job->second.empty()) {
    jobs_.erase(job);
  }
}

void RecordedRuns::EraseStep(const TaskName& task) {
  const auto job = jobs_.find(task.job.View());
  if (job == jobs_.end()) {
    return;
  }
  JobRuns& runs = job->second;
  runs.erase(runs.lower_bound({task.occurrence, task.step, 0}),
             runs.upper_bound({task.occurrence, task.step,
                               std::numeric_limits<int64_t>::max()}));
  if (runs.empty()) {
    jobs_.erase(job);
  }
}

void RecordedRuns::EraseJob(std::string_view job) {
  const auto found = jobs_.find(job);
  if (found != jobs_.end()) {
    jobs_.erase(found);
  }
}

const RecordedRuns::JobRuns& RecordedRuns::OfJob(std::string_view job) const {
  static const auto* const none = new JobRuns();
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? *none : found->second;
}

std::vector<RunPlacement> RecordedRuns::List() const {
  std::vector<RunPlacement> placements;
  for (const auto& [id, runs] : jobs_) {
    const SharedText job(id);
    for (const auto& [task, run] : runs) {
      const auto& [occurrence, step, index] = task;
      placements.push_back(
          {{job, occurrence, step, index}, run.number, run.worker});
    }
  }
  return placements;
}

size_t RecordedRuns::size() const {
  size_t count = 0;
  for (const auto& [id, runs] : jobs_) {
    count += runs.size();
  }
  return count;
}

}  // namespace bramleyrail
