#include "packages/placement/fleet_synchronizer.h"

#include <utility>
#include <vector>

namespace bramleyrail {

namespace {

// A commit takes at most some hundred milliseconds. A proposal without effect
// after this time was refused or lost.
constexpr Milliseconds kProposalTimeout{2000};

// A start and an end with equal reservations between two steps leave the sums
// of a worker unchanged. To detect them, the tasks of every worker are compared
// in full once in this many steps (one second at 50 ms per step).
constexpr uint64_t kFullComparisonSteps = 20;

absl::string_view Key(std::string_view name) {
  return {name.data(), name.size()};
}

}  // namespace

FleetSynchronizer::FleetSynchronizer(Fleet* fleet, OwnerCatalog* owners)
    : fleet_(fleet), owners_(owners) {}

void FleetSynchronizer::Synchronize(const ClusterState& state,
                                    MonotonicTime now) {
  ++step_;
  if (state.revision() != synchronized_revision_) {
    uint64_t position = step_;
    for (const auto& [name, worker_state] : state.worker_states()) {
      const bool in_turn = ++position % kFullComparisonSteps == 0;
      SynchronizeWorker(state, name, worker_state, in_turn);
    }
    RemoveMissingWorkers(state);
    synchronized_revision_ = state.revision();
  }
  ResolveProposed(state, now);
}

void FleetSynchronizer::SynchronizeWorker(const ClusterState& state,
                                          const std::string& name,
                                          const WorkerState& worker_state,
                                          bool compare_tasks) {
  const Resource* resource = state.FindResource(ResourceKind::kWorker, name);
  if (resource == nullptr) {
    return;
  }
  const bool usable = !worker_state.boot_id.empty() &&
                      !worker_state.suspended && !worker_state.expired &&
                      !worker_state.on_probation &&
                      !state.IsWorkerDrained(name);
  const uint32_t worker = fleet_->PutWorker(
      name, worker_state.boot_id, std::get<WorkerSpec>(resource->spec), usable);
  SynchronizedWorker& synchronized = synchronized_workers_[name];
  if (!compare_tasks && synchronized.resource_revision == resource->revision &&
      synchronized.reserved == worker_state.reserved &&
      synchronized.task_count == worker_state.task_ids.size()) {
    return;
  }
  synchronized = {resource->revision, worker_state.reserved,
                  worker_state.task_ids.size()};
  SynchronizeTasks(state, worker, worker_state);
}

void FleetSynchronizer::SynchronizeTasks(const ClusterState& state,
                                         uint32_t worker,
                                         const WorkerState& worker_state) {
  std::vector<std::string> gone;
  for (const auto& [task_id, task] : fleet_->worker(worker).tasks) {
    if (!worker_state.task_ids.contains(task_id) && !IsProposed(task_id)) {
      gone.push_back(task_id);
    }
  }
  for (const std::string& task_id : gone) {
    fleet_->RemoveTask(worker, task_id);
  }
  for (const auto& task_id : worker_state.task_ids) {
    const Task* task = state.FindTask(task_id);
    BRAMLEYRAIL_ASSERT(task != nullptr,
                       "the state of a worker lists a task that has no record");
    const auto& known = fleet_->worker(worker).tasks;
    const auto found = known.find(task_id);
    if (found == known.end() || found->second.attempt != task->attempt) {
      PutTask(state, worker, *task);
    }
  }
}

void FleetSynchronizer::PutTask(const ClusterState& state,
                                uint32_t worker,
                                const Task& task) {
  FleetTask entry;
  entry.owner_uid = task.owner.uid;
  entry.reserved = task.reserved;
  entry.attempt = task.attempt;
  if (const auto owner = owners_->Find(state, task.owner)) {
    entry.task_kind = owner->task_kind;
    entry.capacity_class = owner->capacity_class;
    entry.priority = owner->priority;
  } else {
    entry.task_kind = fleet_->TaskKind(task.owner.name);
  }
  fleet_->PutTask(worker, task.id, std::move(entry));
}

void FleetSynchronizer::RemoveMissingWorkers(const ClusterState& state) {
  if (synchronized_workers_.size() == state.worker_states().size()) {
    return;
  }
  absl::erase_if(synchronized_workers_, [&](const auto& entry) {
    if (state.worker_states().contains(entry.first)) {
      return false;
    }
    if (const auto worker = fleet_->FindWorker(entry.first)) {
      fleet_->RemoveWorker(*worker);
    }
    return true;
  });
}

void FleetSynchronizer::AddProposed(std::string_view task_id,
                                    uint32_t worker,
                                    FleetTask task,
                                    const std::string& team,
                                    MonotonicTime now) {
  proposed_by_team_[team] += task.reserved;
  proposed_[Key(task_id)] = {worker, task.attempt, team, task.reserved,
                             now + kProposalTimeout};
  fleet_->PutTask(worker, task_id, std::move(task));
}

bool FleetSynchronizer::IsProposed(std::string_view task_id) const {
  return proposed_.contains(Key(task_id));
}

ResourceAmounts FleetSynchronizer::ProposedFor(std::string_view team) const {
  const auto found = proposed_by_team_.find(Key(team));
  return found == proposed_by_team_.end() ? ResourceAmounts{} : found->second;
}

void FleetSynchronizer::ResolveProposed(const ClusterState& state,
                                        MonotonicTime now) {
  absl::erase_if(proposed_, [&](const auto& entry) {
    const auto& [task_id, start] = entry;
    const Task* task = state.FindTask(task_id);
    const bool decided = task == nullptr || task->attempt >= start.attempt ||
                         task->state != TaskState::kPending;
    if (!decided && now < start.deadline) {
      return false;
    }
    proposed_by_team_[start.team] -= start.reserved;
    const FleetWorker& worker = fleet_->worker(start.worker);
    const bool applied = task != nullptr && task->HasLiveAttempt() &&
                         task->attempt == start.attempt &&
                         task->worker == worker.name;
    if (!applied) {
      fleet_->RemoveTask(start.worker, task_id);
    }
    return true;
  });
}

}  // namespace bramleyrail
