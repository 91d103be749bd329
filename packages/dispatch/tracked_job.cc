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
                       EarlierRuns earlier_runs,
                       std::shared_ptr<int64_t> overlap_bytes)
    : job_(std::move(job)),
      id_(job_->id),
      payload_(std::make_shared<const JsonText>(job_->specification.payload)),
      earlier_runs_(earlier_runs),
      occurrence_bytes_(BytesOfOccurrence(job_->specification)),
      reserved_occurrences_(ReservedOccurrences(job_->specification)),
      overlap_bytes_(std::move(overlap_bytes)),
      finished_(job_->finished_occurrences) {
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
  RestoreProgress();
}

TrackedJob::~TrackedJob() {
  const auto records = static_cast<int64_t>(occurrences_.size());
  *overlap_bytes_ -=
      std::max<int64_t>(records - reserved_occurrences_, 0) * occurrence_bytes_;
}

void TrackedJob::RestoreProgress() {
  started = !finished_.words.empty();
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
    occurrence(name.occurrence).started = true;
  }
  for (const auto& [name, progress] : job_->progress) {
    if (progress.done && HasTask(name) &&
        task(name).phase != TaskPhase::kDone) {
      // ReleaseNext() returns the tasks that may start.
      (void)MarkDone(name);
    }
  }
}

TrackedOccurrence& TrackedJob::occurrence(int64_t number) {
  const auto [position, inserted] = occurrences_.try_emplace(number);
  TrackedOccurrence& created = position->second;
  if (!inserted) {
    return created;
  }
  BRAMLEYRAIL_ASSERT(!IsFinished(number),
                     "a finished occurrence must not run again");
  if (ExceedsReservation(occurrences_.size())) {
    *overlap_bytes_ += occurrence_bytes_;
  }
  const std::vector<JobStep>& steps = job_->specification.steps;
  created.unfinished_steps = std::ssize(steps);
  created.steps.resize(steps.size());
  for (size_t step = 0; step < steps.size(); ++step) {
    created.steps[step].tasks.resize(steps[step].tasks);
    created.steps[step].unfinished_tasks = steps[step].tasks;
    created.steps[step].unfinished_predecessors =
        std::ssize(steps[step].predecessors);
  }
  return created;
}

void TrackedJob::FinishOccurrence(int64_t number) {
  if (ExceedsReservation(occurrences_.size())) {
    *overlap_bytes_ -= occurrence_bytes_;
  }
  const auto finished = occurrences_.find(number);
  released_occurrences_ -= finished->second.released ? 1 : 0;
  occurrences_.erase(finished);
  finished_.Insert(number);
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
  const auto records = occurrences_.find(name.occurrence);
  const bool has_started =
      records != occurrences_.end() && records->second.started;
  return has_started || unix_ms <= LatestStartUnixMs(name) ? Lateness::kOnTime
                                                           : Lateness::kLate;
}

bool TrackedJob::Contains(const TaskName& name) const {
  return name.occurrence < job_->specification.OccurrenceCount() &&
         name.step < static_cast<int64_t>(job_->specification.steps.size()) &&
         name.index < job_->specification.steps[name.step].tasks;
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
  TrackedStep& tracked_step = step_record(name);
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
  TrackedStep& tracked_step = step_record(name);
  if (tracked_step.crash_suspect == name.index) {
    tracked_step.crash_suspect.reset();
  }
}

std::vector<TaskName> TrackedJob::ReleaseNext() {
  const int64_t number = next_release_++;
  // An earlier leader may have released it, also by a clock that is ahead.
  if (IsFinished(number)) {
    return {};
  }
  TrackedOccurrence& released = occurrence(number);
  released.released = true;
  ++released_occurrences_;
  std::vector<TaskName> ready;
  for (size_t step = 0; step < released.steps.size(); ++step) {
    if (released.steps[step].unfinished_predecessors == 0) {
      const auto tasks = MarkStepReady(number, static_cast<int64_t>(step));
      ready.insert(ready.end(), tasks.begin(), tasks.end());
    }
  }
  return ready;
}

int64_t TrackedJob::OverlapBytesOfNextRelease() const {
  // Without a released occurrence, those that have records wait for this one.
  const bool counted = released_occurrences_ < reserved_occurrences_ ||
                       occurrences_.contains(next_release_) ||
                       IsFinished(next_release_);
  return counted ? 0 : occurrence_bytes_;
}

bool TrackedJob::AreAllTasksReady(const TaskName& name) {
  const std::vector<TrackedTask>& tasks = step_record(name).tasks;
  return std::all_of(tasks.begin(), tasks.end(), [](const TrackedTask& task) {
    return task.phase == TaskPhase::kReady;
  });
}

std::optional<int64_t> TrackedJob::NextReleaseUnixMs() const {
  const JobSpecification& specification = job_->specification;
  if (next_release_ >= specification.OccurrenceCount()) {
    return std::nullopt;
  }
  return specification.repetitions == 0
             ? 0
             : specification.first_start_unix_ms +
                   next_release_ * specification.interval_ms;
}

std::vector<TaskName> TrackedJob::MarkStepReady(int64_t occurrence_number,
                                                int64_t step) {
  std::vector<TaskName> ready;
  TrackedStep& tracked_step = step_record(occurrence_number, step);
  for (size_t index = 0; index < tracked_step.tasks.size(); ++index) {
    if (tracked_step.tasks[index].phase == TaskPhase::kWaiting) {
      tracked_step.tasks[index].phase = TaskPhase::kReady;
      ready.push_back(
          {id_, occurrence_number, step, static_cast<int64_t>(index)});
    }
  }
  return ready;
}

std::vector<TaskName> TrackedJob::MarkDone(const TaskName& name) {
  TrackedOccurrence& tracked_occurrence = occurrence(name.occurrence);
  TrackedStep& tracked_step = tracked_occurrence.steps[name.step];
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
  if (tracked_step.unfinished_tasks > 0 ||
      tracked_step.unfinished_tasks == unfinished_before) {
    return {};
  }
  if (--tracked_occurrence.unfinished_steps == 0) {
    FinishOccurrence(name.occurrence);
    return {};
  }
  return MarkSuccessorsReady(name);
}

std::vector<TaskName> TrackedJob::MarkSuccessorsReady(
    const TaskName& finished) {
  TrackedOccurrence& tracked_occurrence = occurrence(finished.occurrence);
  std::vector<TaskName> ready;
  for (size_t next = 0; next < tracked_occurrence.steps.size(); ++next) {
    const std::vector<int64_t>& predecessors =
        job_->specification.steps[next].predecessors;
    const auto followed =
        std::count(predecessors.begin(), predecessors.end(), finished.step);
    // A step that was ready before may have a task without attempts, which
    // waits for the end of its job and must not become ready again.
    if (followed == 0) {
      continue;
    }
    TrackedStep& step = tracked_occurrence.steps[next];
    step.unfinished_predecessors -= followed;
    if (step.unfinished_predecessors == 0 && tracked_occurrence.released) {
      const auto tasks =
          MarkStepReady(finished.occurrence, static_cast<int64_t>(next));
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
  TrackedStep& tracked_step = step_record(name);
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
