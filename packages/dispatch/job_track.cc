#include "packages/dispatch/job_track.h"

#include <algorithm>
#include <utility>

namespace bramleyrail {

namespace {

// Duration of the longest chain of steps, by the estimates.
int64_t LongestChainMs(const JobSpecification& job) {
  std::vector<int64_t> ends;
  int64_t longest = 0;
  for (const JobStep& step : job.steps) {
    int64_t start = 0;
    for (const int64_t predecessor : step.predecessors) {
      start = std::max(start, ends[predecessor]);
    }
    ends.push_back(start + step.estimated_ms);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

}  // namespace

JobTrack::JobTrack(std::shared_ptr<const QueuedJob> job, Origin origin)
    : job_(std::move(job)), origin_(origin) {
  const JobSpecification& specification = job_->job;
  objective_unix_ms_ =
      std::max(job_->submitted_unix_ms, specification.first_unix_ms) +
      job_->target_latency_ms +
      static_cast<int64_t>(job_->stretch_factor *
                           static_cast<double>(LongestChainMs(specification)));
  for (int64_t number = 0; number < specification.Occurrences(); ++number) {
    OccurrenceTrack& occurrence = occurrences_.emplace_back();
    if (specification.repetitions > 0) {
      occurrence.due_unix_ms =
          specification.first_unix_ms + number * specification.interval_ms;
    }
    for (const JobStep& step : specification.steps) {
      StepTrack& track = occurrence.steps.emplace_back();
      track.tasks.resize(step.tasks);
      track.undone = step.tasks;
      track.waiting_for = static_cast<int64_t>(step.predecessors.size());
    }
  }
  for (const auto& [name, progress] : job_->progress) {
    TaskTrack& track = task(name);
    track.failures = static_cast<int64_t>(progress.failed_runs.size());
    track.checkpoint = progress.checkpoint;
    started = true;
  }
  for (const auto& [name, progress] : job_->progress) {
    if (progress.done && task(name).phase != TaskPhase::kDone) {
      // Release() reports what may start.
      (void)MarkDone(name);
    }
  }
}

bool JobTrack::Names(const TaskName& name) const {
  return name.occurrence < static_cast<int64_t>(occurrences_.size()) &&
         name.step < static_cast<int64_t>(job_->job.steps.size()) &&
         name.index < job_->job.steps[name.step].tasks;
}

TaskTrack& JobTrack::task(const TaskName& name) {
  return occurrences_[name.occurrence].steps[name.step].tasks[name.index];
}

std::vector<TaskName> JobTrack::Release(int64_t unix_ms) {
  std::vector<TaskName> ready;
  for (size_t number = 0; number < occurrences_.size(); ++number) {
    OccurrenceTrack& occurrence = occurrences_[number];
    if (occurrence.released || occurrence.due_unix_ms > unix_ms) {
      continue;
    }
    occurrence.released = true;
    for (size_t step = 0; step < occurrence.steps.size(); ++step) {
      if (occurrence.steps[step].waiting_for == 0) {
        const auto tasks =
            ReadyStep(static_cast<int64_t>(number), static_cast<int64_t>(step));
        ready.insert(ready.end(), tasks.begin(), tasks.end());
      }
    }
  }
  return ready;
}

std::vector<TaskName> JobTrack::ReadyStep(int64_t occurrence, int64_t step) {
  std::vector<TaskName> ready;
  StepTrack& track = occurrences_[occurrence].steps[step];
  for (size_t index = 0; index < track.tasks.size(); ++index) {
    if (track.tasks[index].phase == TaskPhase::kWaiting) {
      track.tasks[index].phase = TaskPhase::kReady;
      ready.push_back(
          {job_->id, occurrence, step, static_cast<int64_t>(index)});
    }
  }
  return ready;
}

std::vector<TaskName> JobTrack::MarkDone(const TaskName& name) {
  OccurrenceTrack& occurrence = occurrences_[name.occurrence];
  StepTrack& track = occurrence.steps[name.step];
  const bool gang = step(name).gang;
  const int64_t undone_before = track.undone;
  for (size_t index = 0; index < track.tasks.size(); ++index) {
    TaskTrack& member = track.tasks[index];
    const bool ended = gang || static_cast<int64_t>(index) == name.index;
    if (ended && member.phase != TaskPhase::kDone) {
      member.phase = TaskPhase::kDone;
      --track.undone;
    }
  }
  std::vector<TaskName> ready;
  if (track.undone > 0 || track.undone == undone_before) {
    return ready;
  }
  for (size_t next = 0; next < occurrence.steps.size(); ++next) {
    const std::vector<int64_t>& predecessors =
        job_->job.steps[next].predecessors;
    occurrence.steps[next].waiting_for -=
        std::count(predecessors.begin(), predecessors.end(), name.step);
    if (!predecessors.empty() && occurrence.steps[next].waiting_for == 0 &&
        occurrence.released) {
      const auto tasks = ReadyStep(name.occurrence, static_cast<int64_t>(next));
      ready.insert(ready.end(), tasks.begin(), tasks.end());
    }
  }
  return ready;
}

std::vector<TaskName> JobTrack::MarkReady(const TaskName& name) {
  task(name).phase = TaskPhase::kReady;
  task(name).worker.clear();
  if (!step(name).gang) {
    return {name};
  }
  StepTrack& track = occurrences_[name.occurrence].steps[name.step];
  std::vector<TaskName> members;
  for (size_t index = 0; index < track.tasks.size(); ++index) {
    if (track.tasks[index].phase != TaskPhase::kReady) {
      return {};
    }
    members.push_back(
        {name.job, name.occurrence, name.step, static_cast<int64_t>(index)});
  }
  return members;
}

}  // namespace bramleyrail
