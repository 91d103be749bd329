#include "packages/dispatch/ready_steps.h"

#include <iterator>
#include <set>
#include <utility>
#include <vector>

namespace bramleyrail {

ReadySteps::Key ReadySteps::KeyOf(TrackedJob* job, const TaskName& task) {
  const TrackedStep& step = job->step_record(task);
  return {job->job().priority,
          step.account_rank,
          step.lateness,
          job->ObjectiveUnixMs(task.occurrence),
          task.job,
          task.occurrence,
          task.step};
}

void ReadySteps::Add(TrackedJob* job, const TaskName& task, int64_t unix_ms) {
  TrackedStep& step = job->step_record(task);
  if (step.ready_tasks.empty()) {
    step.lateness = job->LatenessOf(task, unix_ms);
    step.account_rank = job->account_rank();
    steps_.emplace(KeyOf(job, task), job);
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
  const Key key = KeyOf(job, task);
  if (steps_.erase(key) == 0) {
    deferred_.erase(key);
  }
}

size_t ReadySteps::RemoveJob(TrackedJob* job) {
  size_t visits = 0;
  TaskName name{job->shared_id(), 0, 0, 0};
  for (auto& [number, occurrence] : job->occurrences()) {
    name.occurrence = number;
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
  }
  return visits;
}

bool ReadySteps::Contains(TrackedJob& job, const TaskName& task) const {
  const Key key = KeyOf(&job, task);
  return job.step_record(task).ready_tasks.contains(task.index) &&
         (steps_.contains(key) || deferred_.contains(key));
}

void ReadySteps::Defer(TrackedJob* job, const TaskName& task) {
  deferred_.insert(steps_.extract(KeyOf(job, task)));
}

void ReadySteps::Resume(int64_t unix_ms) {
  steps_.merge(deferred_);
  std::vector<Map::iterator> changed;
  for (auto position = steps_.begin(); position != steps_.end(); ++position) {
    const auto& [key, job] = *position;
    if (job->account_rank() != key.account_rank ||
        job->LatenessOf({key.job, key.occurrence, key.step, 0}, unix_ms) !=
            key.lateness) {
      changed.push_back(position);
    }
  }
  for (const Map::iterator& position : changed) {
    auto node = steps_.extract(position);
    Key& key = node.key();
    const TaskName task{key.job, key.occurrence, key.step, 0};
    key.lateness = node.mapped()->LatenessOf(task, unix_ms);
    key.account_rank = node.mapped()->account_rank();
    TrackedStep& step = node.mapped()->step_record(task);
    step.lateness = key.lateness;
    step.account_rank = key.account_rank;
    steps_.insert(std::move(node));
  }
}

std::optional<ReadySteps::Map::const_iterator> ReadySteps::UpdateAccountRank(
    TrackedJob* job,
    const TaskName& task) {
  TrackedStep& step = job->step_record(task);
  if (step.account_rank == job->account_rank()) {
    return std::nullopt;
  }
  const auto found = steps_.find(KeyOf(job, task));
  if (found == steps_.end()) {
    return std::nullopt;
  }
  const auto next = std::next(found);
  auto node = steps_.extract(found);
  step.account_rank = job->account_rank();
  node.key().account_rank = step.account_rank;
  const auto moved = steps_.insert(std::move(node)).position;
  return std::next(moved) == next ? moved : next;
}

}  // namespace bramleyrail
