#include "packages/dispatch/ready_steps.h"

#include <set>

namespace bramleyrail {

ReadySteps::Key ReadySteps::KeyOf(const TrackedJob& job, const TaskName& task) {
  return {job.job().priority, job.objective_unix_ms(), task.job,
          task.occurrence, task.step};
}

void ReadySteps::Add(TrackedJob* job, const TaskName& task) {
  TrackedStep& step = job->step_record(task);
  if (step.ready_tasks.empty()) {
    steps_.emplace(KeyOf(*job, task), job);
  }
  task_count_ += step.ready_tasks.insert(task.index).second ? 1 : 0;
}

void ReadySteps::Remove(TrackedJob* job, const TaskName& task) {
  std::set<int64_t>& tasks = job->step_record(task).ready_tasks;
  if (tasks.erase(task.index) == 0) {
    return;
  }
  --task_count_;
  if (tasks.empty()) {
    RemoveStep(job, task);
  }
}

void ReadySteps::RemoveStep(TrackedJob* job, const TaskName& task) {
  const Key key = KeyOf(*job, task);
  if (steps_.erase(key) == 0) {
    deferred_.erase(key);
  }
}

size_t ReadySteps::RemoveJob(TrackedJob* job) {
  size_t visits = 0;
  TaskName name{job->shared_id(), 0, 0, 0};
  for (TrackedOccurrence& occurrence : job->occurrences()) {
    name.step = 0;
    for (TrackedStep& step : occurrence.steps) {
      ++visits;
      if (!step.ready_tasks.empty()) {
        task_count_ -= step.ready_tasks.size();
        step.ready_tasks.clear();
        RemoveStep(job, name);
      }
      ++name.step;
    }
    ++name.occurrence;
  }
  return visits;
}

void ReadySteps::Defer(TrackedJob* job, const TaskName& task) {
  deferred_.insert(steps_.extract(KeyOf(*job, task)));
}

}  // namespace bramleyrail
