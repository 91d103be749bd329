#include "packages/dispatch/tracked_job.h"

#include <algorithm>
#include <utility>

namespace bramleyrail {

namespace {

// A job that takes this many times as long as its objective allows is of no use
// to its submitter any more.
constexpr int64_t kExpiryFactor = 3;

// Returns, for each step, the estimated duration of the longest chain of steps
// that starts with it.
std::vector<int64_t> CriticalPathFromEachStep(const JobSpecification& job) {
  std::vector<int64_t> chains(job.steps.size(), 0);
  for (size_t step = job.steps.size(); step-- > 0;) {
    chains[step] += job.steps[step].estimated_task_ms;
    for (const int64_t predecessor : job.steps[step].predecessors) {
      chains[predecessor] = std::max(chains[predecessor], chains[step]);
    }
  }
  return chains;
}

}  // namespace

TrackedJob::TrackedJob(std::shared_ptr<const QueuedJob> job,
                       EarlierRuns earlier_runs)
    : job_(std::move(job)),
      id_(job_->id),
      payload_(std::make_shared<const JsonText>(job_->specification.payload)),
      earlier_runs_(earlier_runs) {
  const JobSpecification& specification = job_->specification;
  critical_path_ms_ = CriticalPathFromEachStep(specification);
  const int64_t longest_ms = critical_path_ms_.empty()
                                 ? 0
                                 : *std::max_element(critical_path_ms_.begin(),
                                                     critical_path_ms_.end());
  start_unix_ms_ =
      std::max(job_->submitted_unix_ms, specification.first_start_unix_ms);
  objective_ms_ = job_->target_latency_ms +
                  static_cast<int64_t>(job_->stretch_factor *
                                       static_cast<double>(longest_ms));
  for (int64_t number = 0; number < specification.OccurrenceCount(); ++number) {
    TrackedOccurrence& occurrence = occurrences_.emplace_back();
    if (specification.repetitions > 0) {
      occurrence.due_unix_ms = specification.first_start_unix_ms +
                               number * specification.interval_ms;
    }
    for (const JobStep& step : specification.steps) {
      TrackedStep& tracked_step = occurrence.steps.emplace_back();
      tracked_step.tasks.resize(step.tasks);
      tracked_step.unfinished_tasks = step.tasks;
      tracked_step.unfinished_predecessors =
          static_cast<int64_t>(step.predecessors.size());
    }
  }
  for (const auto& [name, progress] : job_->progress) {
    TrackedTask& tracked_task = task(name);
    tracked_task.failed_runs.insert(progress.failed_runs.begin(),
                                    progress.failed_runs.end());
    tracked_task.checkpoint = progress.checkpoint;
    tracked_task.crashed_runs.insert(progress.crashed_runs.begin(),
                                     progress.crashed_runs.end());
    tracked_task.attributed_crashes = progress.attributed_crashes;
    if (!progress.done && !progress.crashed_runs.empty()) {
      SuspectOfCrashes(name);
    }
    started = true;
    occurrences_[name.occurrence].started = true;
  }
  for (const auto& [name, progress] : job_->progress) {
    if (progress.done && task(name).phase != TaskPhase::kDone) {
      // Release() returns the tasks that may start.
      (void)MarkDone(name);
    }
  }
}

int64_t TrackedJob::LatestStartUnixMs(const TaskName& name) const {
  return ObjectiveUnixMs(name.occurrence) - critical_path_ms_[name.step];
}

Lateness TrackedJob::LatenessOf(const TaskName& name, int64_t unix_ms) const {
  const int64_t expiry_unix_ms =
      ObjectiveUnixMs(name.occurrence) + (kExpiryFactor - 1) * objective_ms_;
  // A long-running task is of use whenever it runs.
  if (unix_ms > expiry_unix_ms && !step(name).long_running) {
    return Lateness::kExpired;
  }
  // The work that is done for a job is of use only when the job ends.
  const bool has_started = occurrences_[name.occurrence].started;
  return has_started || unix_ms <= LatestStartUnixMs(name) ? Lateness::kOnTime
                                                           : Lateness::kLate;
}

bool TrackedJob::HasTask(const TaskName& name) const {
  return name.occurrence < static_cast<int64_t>(occurrences_.size()) &&
         name.step < static_cast<int64_t>(job_->specification.steps.size()) &&
         name.index < job_->specification.steps[name.step].tasks;
}

TrackedTask& TrackedJob::task(const TaskName& name) {
  return occurrences_[name.occurrence].steps[name.step].tasks[name.index];
}

TrackedTask& TrackedJob::FailureRecordOf(TaskName name) {
  name.index = step(name).gang ? 0 : name.index;
  return task(name);
}

void TrackedJob::SuspectOfCrashes(const TaskName& name) {
  FailureRecordOf(name).crash_suspected = true;
  // The members of a gang start together. Replicas of a long-running step may
  // not wait for each other.
  if (step(name).gang || step(name).long_running) {
    return;
  }
  TrackedStep& tracked_step = occurrences_[name.occurrence].steps[name.step];
  std::optional<int64_t>& suspect = tracked_step.crash_suspect;
  if (!suspect || task(name).crashed_runs.size() >
                      tracked_step.tasks[*suspect].crashed_runs.size()) {
    suspect = name.index;
  }
}

void TrackedJob::WithdrawSuspicion(const TaskName& name, uint64_t run) {
  TrackedTask& record = FailureRecordOf(name);
  record.suspected_runs.erase(run);
  if (!record.crashed_runs.empty() || !record.unanswered_runs.empty() ||
      !record.suspected_runs.empty()) {
    return;
  }
  record.crash_suspected = false;
  TrackedStep& tracked_step = occurrences_[name.occurrence].steps[name.step];
  if (tracked_step.crash_suspect == name.index) {
    tracked_step.crash_suspect.reset();
  }
}

std::vector<TaskName> TrackedJob::Release(int64_t unix_ms) {
  std::vector<TaskName> ready;
  for (size_t number = 0; number < occurrences_.size(); ++number) {
    TrackedOccurrence& occurrence = occurrences_[number];
    if (occurrence.released || occurrence.due_unix_ms > unix_ms) {
      continue;
    }
    occurrence.released = true;
    for (size_t step = 0; step < occurrence.steps.size(); ++step) {
      if (occurrence.steps[step].unfinished_predecessors == 0) {
        const auto tasks = MarkStepReady(static_cast<int64_t>(number),
                                         static_cast<int64_t>(step));
        ready.insert(ready.end(), tasks.begin(), tasks.end());
      }
    }
  }
  return ready;
}

bool TrackedJob::AreAllTasksReady(const TaskName& name) {
  const std::vector<TrackedTask>& tasks = step_record(name).tasks;
  return std::all_of(tasks.begin(), tasks.end(), [](const TrackedTask& task) {
    return task.phase == TaskPhase::kReady;
  });
}

std::optional<int64_t> TrackedJob::NextReleaseUnixMs() const {
  // The occurrences are due one after the other.
  const auto next = std::find_if(
      occurrences_.begin(), occurrences_.end(),
      [](const TrackedOccurrence& occurrence) { return !occurrence.released; });
  return next == occurrences_.end() ? std::nullopt
                                    : std::optional(next->due_unix_ms);
}

std::vector<TaskName> TrackedJob::MarkStepReady(int64_t occurrence,
                                                int64_t step) {
  std::vector<TaskName> ready;
  TrackedStep& tracked_step = occurrences_[occurrence].steps[step];
  for (size_t index = 0; index < tracked_step.tasks.size(); ++index) {
    if (tracked_step.tasks[index].phase == TaskPhase::kWaiting) {
      tracked_step.tasks[index].phase = TaskPhase::kReady;
      ready.push_back({id_, occurrence, step, static_cast<int64_t>(index)});
    }
  }
  return ready;
}

std::vector<TaskName> TrackedJob::MarkDone(const TaskName& name) {
  TrackedOccurrence& occurrence = occurrences_[name.occurrence];
  TrackedStep& tracked_step = occurrence.steps[name.step];
  const bool gang = step(name).gang;
  const int64_t unfinished_before = tracked_step.unfinished_tasks;
  for (size_t index = 0; index < tracked_step.tasks.size(); ++index) {
    TrackedTask& member = tracked_step.tasks[index];
    const bool ended = gang || static_cast<int64_t>(index) == name.index;
    if (ended && member.phase != TaskPhase::kDone) {
      member.phase = TaskPhase::kDone;
      --tracked_step.unfinished_tasks;
    }
  }
  std::vector<TaskName> ready;
  if (tracked_step.unfinished_tasks > 0 ||
      tracked_step.unfinished_tasks == unfinished_before) {
    return ready;
  }
  for (size_t next = 0; next < occurrence.steps.size(); ++next) {
    const std::vector<int64_t>& predecessors =
        job_->specification.steps[next].predecessors;
    const auto followed =
        std::count(predecessors.begin(), predecessors.end(), name.step);
    // A step that was ready before may have a task without attempts, which
    // waits for the end of its job and must not become ready again.
    if (followed == 0) {
      continue;
    }
    occurrence.steps[next].unfinished_predecessors -= followed;
    if (occurrence.steps[next].unfinished_predecessors == 0 &&
        occurrence.released) {
      const auto tasks =
          MarkStepReady(name.occurrence, static_cast<int64_t>(next));
      ready.insert(ready.end(), tasks.begin(), tasks.end());
    }
  }
  return ready;
}

std::vector<TaskName> TrackedJob::MarkReady(const TaskName& name) {
  task(name).phase = TaskPhase::kReady;
  task(name).worker.clear();
  if (!step(name).gang) {
    return {name};
  }
  TrackedStep& tracked_step = occurrences_[name.occurrence].steps[name.step];
  std::vector<TaskName> members;
  for (size_t index = 0; index < tracked_step.tasks.size(); ++index) {
    if (tracked_step.tasks[index].phase != TaskPhase::kReady) {
      return {};
    }
    members.push_back(
        {name.job, name.occurrence, name.step, static_cast<int64_t>(index)});
  }
  return members;
}

}  // namespace bramleyrail
