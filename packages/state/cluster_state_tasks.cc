// Tasks of services and batch jobs: creation, states and accounting of
// reservations.

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "packages/state/cluster_state.h"

namespace bramleyrail {

ClusterState::OwnerTasks* ClusterState::FindOwner(std::string_view uid) {
  const auto found = owners_.find(uid);
  return found == owners_.end() ? nullptr : &found->second;
}

const ClusterState::OwnerTasks* ClusterState::FindOwner(
    std::string_view uid) const {
  const auto found = owners_.find(uid);
  return found == owners_.end() ? nullptr : &found->second;
}

const Task* ClusterState::FindTask(std::string_view task_id) const {
  // The id "OWNER-UID/INDEX" gives the position, so that no index by id is
  // needed.
  const size_t slash = task_id.rfind('/');
  if (slash == std::string_view::npos) {
    return nullptr;
  }
  const OwnerTasks* tasks = FindOwner(task_id.substr(0, slash));
  const std::string_view digits = task_id.substr(slash + 1);
  int64_t index = 0;
  if (tasks == nullptr ||
      !absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()),
                        &index) ||
      index < 0 || index >= static_cast<int64_t>(tasks->tasks.size())) {
    return nullptr;
  }
  const Task& task = tasks->tasks[index];
  return task.id == task_id ? &task : nullptr;
}

std::pair<ClusterState::OwnerTasks*, Task*> ClusterState::MutableTask(
    std::string_view task_id) {
  const Task* task = FindTask(task_id);
  if (task == nullptr) {
    return {nullptr, nullptr};
  }
  OwnerTasks* tasks = FindOwner(task->owner.uid);
  return {tasks, &tasks->tasks[task->index]};
}

TaskCounts ClusterState::CountsOf(std::string_view owner_uid) const {
  const OwnerTasks* tasks = FindOwner(owner_uid);
  return tasks == nullptr ? TaskCounts() : tasks->counts;
}

std::vector<const Task*> ClusterState::TasksOf(
    std::string_view owner_uid) const {
  std::vector<const Task*> result;
  if (const OwnerTasks* tasks = FindOwner(owner_uid)) {
    result.reserve(tasks->tasks.size());
    for (const Task& task : tasks->tasks) {
      result.push_back(&task);
    }
  }
  return result;
}

const PendingReason* ClusterState::FindPendingReason(
    std::string_view owner_uid) const {
  const OwnerTasks* tasks = FindOwner(owner_uid);
  return tasks == nullptr || !tasks->pending_reason ? nullptr
                                                    : &*tasks->pending_reason;
}

ResourceAmounts ClusterState::ReservedBy(std::string_view team) const {
  const auto found = reserved_by_team_.find(team);
  return found == reserved_by_team_.end() ? ResourceAmounts() : found->second;
}

void ClusterState::UpdateOwner(const Resource& resource) {
  const TaskTemplate* task = FindTaskTemplate(resource.spec);
  if (task == nullptr) {
    return;
  }
  OwnerTasks& tasks = owners_[resource.uid];
  if (tasks.owner.uid.empty()) {
    tasks.owner = {resource.Kind(), resource.name, resource.uid};
  }
  if (tasks.team != task->team) {
    ReleaseTeam(tasks.team, tasks.reserved);
    tasks.team = task->team;
    ChargeTeam(tasks.team, tasks.reserved);
  }
  // The reason applied to the previous spec.
  tasks.pending_reason.reset();
  owners_to_reconcile_[resource.uid] = tasks.owner;
}

void ClusterState::MarkOwnerDeleted(const Resource& resource) {
  OwnerTasks* tasks = FindOwner(resource.uid);
  if (tasks == nullptr) {
    return;
  }
  tasks->deleted = true;
  tasks->pending_reason.reset();
  owners_to_reconcile_[resource.uid] = tasks->owner;
  PurgeOwnerIfEnded(resource.uid);
}

void ClusterState::PurgeOwnerIfEnded(const std::string& uid) {
  const OwnerTasks* tasks = FindOwner(uid);
  if (tasks == nullptr || !tasks->deleted || tasks->counts.assigned > 0) {
    return;
  }
  pending_by_owner_.erase(uid);
  owners_to_reconcile_.erase(uid);
  owners_.erase(uid);
}

int64_t ClusterState::DesiredTaskCount(const OwnerTasks& tasks) const {
  if (tasks.deleted) {
    return 0;
  }
  const Resource* resource = FindResource(tasks.owner.kind, tasks.owner.name);
  if (const auto* service = std::get_if<ServiceSpec>(&resource->spec)) {
    return service->replicas;
  }
  const auto& job = std::get<BatchJobSpec>(resource->spec);
  return job.cancelled ? 0 : job.tasks;
}

bool ClusterState::IsWithinDesiredCount(const OwnerTasks& tasks,
                                        const Task& task) const {
  return task.index < DesiredTaskCount(tasks);
}

void ClusterState::SetTaskState(OwnerTasks& tasks,
                                Task& task,
                                TaskState state) {
  const auto counter = [&tasks](TaskState of) -> int64_t& {
    switch (of) {
      case TaskState::kPending:
        return tasks.counts.pending;
      case TaskState::kAssigned:
        return tasks.counts.assigned;
      case TaskState::kCompleted:
        return tasks.counts.completed;
      case TaskState::kFailed:
        return tasks.counts.failed;
      case TaskState::kCancelled:
        return tasks.counts.cancelled;
    }
    BRAMLEYRAIL_ASSERT(false, "unknown task state");
  };
  if (task.state == TaskState::kPending && state != TaskState::kPending) {
    const auto pending = pending_by_owner_.find(std::string(tasks.owner.uid));
    pending->second.erase(std::string(task.id));
    if (pending->second.empty()) {
      pending_by_owner_.erase(pending);
      tasks.pending_reason.reset();
    }
  }
  if (state == TaskState::kPending) {
    pending_by_owner_[std::string(tasks.owner.uid)].insert(
        std::string(task.id));
  }
  --counter(task.state);
  ++counter(state);
  task.state = state;
  task.changed_unix_ms = now_unix_ms_;
  if (!tasks.deleted) {
    MarkStatusChanged(tasks.owner.kind, tasks.owner.name);
  }
}

void ClusterState::CreateTask(OwnerTasks& tasks) {
  Task task;
  task.index = static_cast<int64_t>(tasks.tasks.size());
  task.id = absl::StrCat(tasks.owner.uid, "/", task.index);
  task.owner = tasks.owner;
  // SetTaskState() decrements the count of the previous state, which is pending
  // as well.
  ++tasks.counts.pending;
  tasks.tasks.push_back(std::move(task));
  SetTaskState(tasks, tasks.tasks.back(), TaskState::kPending);
}

bool ClusterState::ReconcileTask(OwnerTasks& tasks, Task& task) {
  if (IsWithinDesiredCount(tasks, task)) {
    bool becomes_pending = task.state == TaskState::kCancelled;
    if (task.state == TaskState::kFailed) {
      const Resource* resource =
          FindResource(tasks.owner.kind, tasks.owner.name);
      const auto* job = std::get_if<BatchJobSpec>(&resource->spec);
      becomes_pending = job != nullptr && task.failures < job->maximum_attempts;
    }
    if (becomes_pending) {
      task.reason = {};
      SetTaskState(tasks, task, TaskState::kPending);
    }
    return becomes_pending;
  }
  if (task.state == TaskState::kPending) {
    SetTaskState(tasks, task, TaskState::kCancelled);
    return true;
  }
  if (task.HasLiveAttempt() && task.desired != DesiredAttemptState::kStop) {
    task.desired = DesiredAttemptState::kStop;
    task.reason =
        "is stopped because it was cancelled or is not declared "
        "any more";
    return true;
  }
  return false;
}

CommandOutcome ClusterState::Run(const ReconcileTasks& command) {
  CommandOutcome outcome;
  outcome.revision = revision_;
  const std::string uid(command.owner.uid);
  owners_to_reconcile_.erase(uid);
  OwnerTasks* tasks = FindOwner(uid);
  if (tasks == nullptr) {
    return outcome;
  }
  for (Task& task : tasks->tasks) {
    outcome.accepted += ReconcileTask(*tasks, task) ? 1 : 0;
  }
  const auto desired_count = static_cast<size_t>(DesiredTaskCount(*tasks));
  tasks->tasks.reserve(desired_count);
  while (tasks->tasks.size() < desired_count) {
    CreateTask(*tasks);
    ++outcome.accepted;
  }
  PurgeOwnerIfEnded(uid);
  return outcome;
}

CommandOutcome ClusterState::Run(const SetPendingReason& command) {
  CommandOutcome outcome;
  outcome.revision = revision_;
  OwnerTasks* tasks = FindOwner(command.owner.uid);
  if (tasks == nullptr || tasks->counts.pending == 0) {
    return outcome;
  }
  PendingReason reason{command.reason, command.unplaceable};
  if (tasks->pending_reason == reason) {
    return outcome;
  }
  tasks->pending_reason = std::move(reason);
  outcome.accepted = 1;
  if (!tasks->deleted) {
    MarkStatusChanged(tasks->owner.kind, tasks->owner.name);
  }
  return outcome;
}

void ClusterState::ChargeTeam(const std::string& team,
                              const ResourceAmounts& amounts) {
  if (amounts != ResourceAmounts()) {
    reserved_by_team_[team] += amounts;
  }
}

void ClusterState::ReleaseTeam(const std::string& team,
                               const ResourceAmounts& amounts) {
  if (amounts == ResourceAmounts()) {
    return;
  }
  const auto reserved = reserved_by_team_.find(team);
  BRAMLEYRAIL_ASSERT(reserved != reserved_by_team_.end(),
                     "a reservation is released for a team that has none");
  reserved->second -= amounts;
  if (reserved->second == ResourceAmounts()) {
    reserved_by_team_.erase(reserved);
  }
}

void ClusterState::Charge(OwnerTasks& tasks,
                          WorkerState& worker,
                          const Task& task) {
  worker.reserved += task.reserved;
  worker.task_ids.insert(task.id);
  tasks.reserved += task.reserved;
  ChargeTeam(tasks.team, task.reserved);
}

void ClusterState::Release(OwnerTasks& tasks,
                           WorkerState& worker,
                           const Task& task) {
  worker.reserved -= task.reserved;
  worker.task_ids.erase(task.id);
  tasks.reserved -= task.reserved;
  ReleaseTeam(tasks.team, task.reserved);
}

}  // namespace bramleyrail
