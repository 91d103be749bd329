#include "packages/dispatch/job_track.h"

#include <algorithm>
#include <utility>

namespace bramleyrail {

namespace {

// For each step, the duration of the longest chain of steps that starts with
// it, by the estimates.
std::vector<int64_t> ChainsFromEachStep(const JobSpecification& job) {
  std::vector<int64_t> chains(job.steps.size(), 0);
  for (size_t step = job.steps.size(); step-- > 0;) {
    chains[step] += job.steps[step].estimated_ms;
    for (const int64_t predecessor : job.steps[step].predecessors) {
      chains[predecessor] = std::max(chains[predecessor], chains[step]);
    }
  }
  return chains;
}

}  // namespace

JobTrack::JobTrack(std::shared_ptr<const QueuedJob> job, Origin origin)
    : job_(std::move(job)), origin_(origin) {
  const JobSpecification& specification = job_->job;
  chains_ms_ = ChainsFromEachStep(specification);
  const int64_t longest_ms =
      chains_ms_.empty()
          ? 0
          : *std::max_element(chains_ms_.begin(), chains_ms_.end());
  objective_unix_ms_ =
      std::max(job_->submitted_unix_ms, specification.first_unix_ms) +
      job_->target_latency_ms +
      static_cast<int64_t>(job_->stretch_factor *
                           static_cast<double>(longest_ms));
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
    track.failed_runs.insert(progress.failed_runs.begin(),
                             progress.failed_runs.end());
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

int64_t JobTrack::LatestStartUnixMs(const TaskName& name) const {
  const JobSpecification& specification = job_->job;
  return objective_unix_ms_ + name.occurrence * specification.interval_ms -
         chains_ms_[name.step];
}

bool JobTrack::Names(const TaskName& name) const {
  return name.occurrence < static_cast<int64_t>(occurrences_.size()) &&
         name.step < static_cast<int64_t>(job_->job.steps.size()) &&
         name.index < job_->job.steps[name.step].tasks;
}

TaskTrack& JobTrack::task(const TaskName& name) {
  return occurrences_[name.occurrence].steps[name.step].tasks[name.index];
}

TaskTrack& JobTrack::FailuresOf(TaskName name) {
  name.index = step(name).gang ? 0 : name.index;
  return task(name);
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
