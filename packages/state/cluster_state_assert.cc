// Checks the invariants between the tables of ClusterState.

#include "absl/strings/str_cat.h"
#include "packages/state/cluster_state.h"

namespace bramleyrail {

void ClusterState::AssertConsistent() const {
  AssertTasksConsistent();
  AssertWorkersConsistent();
  AssertClaimsConsistent();
  BRAMLEYRAIL_ASSERT(history_.size() <= kMaximumHistory,
                     "the watch history exceeds its maximum length");
  BRAMLEYRAIL_ASSERT(
      processed_changes_.size() == processed_change_times_.size(),
      "the change ids and their index by time differ");
}

void ClusterState::AssertTasksConsistent() const {
  std::map<std::string, ResourceAmounts, std::less<>> by_team;
  size_t pending_owners = 0;
  for (const auto& [uid, tasks] : owners_) {
    const Resource* resource = FindResource(tasks.owner.kind, tasks.owner.name);
    const bool exists = resource != nullptr && resource->uid == uid;
    BRAMLEYRAIL_ASSERT(exists != tasks.deleted,
                       "an owner's deleted flag contradicts its resource");
    TaskCounts counts;
    counts.evictions = tasks.counts.evictions;
    ResourceAmounts reserved;
    const auto pending = pending_by_owner_.find(uid);
    for (size_t i = 0; i < tasks.tasks.size(); ++i) {
      const Task& task = tasks.tasks[i];
      BRAMLEYRAIL_ASSERT(
          task.id == absl::StrCat(uid, "/", i) &&
              task.index == static_cast<int64_t>(i) &&
              task.owner == tasks.owner,
          "a task's id, index or owner contradicts its position");
      counts.pending += task.state == TaskState::kPending ? 1 : 0;
      counts.assigned += task.state == TaskState::kAssigned ? 1 : 0;
      counts.completed += task.state == TaskState::kCompleted ? 1 : 0;
      counts.failed += task.state == TaskState::kFailed ? 1 : 0;
      counts.cancelled += task.state == TaskState::kCancelled ? 1 : 0;
      reserved += task.reserved;
      const bool indexed = pending != pending_by_owner_.end() &&
                           pending->second.contains(task.id);
      BRAMLEYRAIL_ASSERT(
          indexed == (task.state == TaskState::kPending),
          "the index of pending tasks contradicts a task's state");
      if (task.HasLiveAttempt()) {
        const WorkerState* worker = FindWorkerState(task.worker);
        BRAMLEYRAIL_ASSERT(worker != nullptr &&
                               worker->boot_id == task.worker_boot_id &&
                               worker->task_ids.contains(task.id),
                           "a worker's state lacks its live attempt");
      } else {
        BRAMLEYRAIL_ASSERT(
            task.reserved == ResourceAmounts() && task.worker_boot_id.empty(),
            "a task without live attempt has a reservation");
      }
    }
    BRAMLEYRAIL_ASSERT(counts == tasks.counts,
                       "an owner's task counts contradict its tasks");
    BRAMLEYRAIL_ASSERT(reserved == tasks.reserved,
                       "an owner's reservation is not the sum over its tasks");
    BRAMLEYRAIL_ASSERT(!tasks.pending_reason || counts.pending > 0,
                       "an owner without pending tasks has a pending reason");
    pending_owners += counts.pending > 0 ? 1 : 0;
    if (reserved != ResourceAmounts()) {
      by_team[tasks.team] += reserved;
    }
  }
  BRAMLEYRAIL_ASSERT(pending_owners == pending_by_owner_.size(),
                     "an owner without pending tasks is in their index");
  BRAMLEYRAIL_ASSERT(by_team == reserved_by_team_,
                     "a team's reservation is not the sum over its owners");
  for (const auto& [uid, owner] : owners_to_reconcile_) {
    BRAMLEYRAIL_ASSERT(owners_.contains(uid),
                       "an owner to reconcile does not exist");
  }
}

void ClusterState::AssertWorkersConsistent() const {
  BRAMLEYRAIL_ASSERT(
      worker_states_.size() == Resources(ResourceKind::kWorker).size(),
      "the numbers of worker states and worker resources differ");
  for (const auto& [name, worker] : worker_states_) {
    BRAMLEYRAIL_ASSERT(FindResource(ResourceKind::kWorker, name) != nullptr,
                       "a worker state has no worker resource");
    BRAMLEYRAIL_ASSERT(!worker.expired || worker.suspended,
                       "a worker is expired but not suspended");
    ResourceAmounts reserved;
    for (const SharedText& task_id : worker.task_ids) {
      const Task* task = FindTask(task_id);
      BRAMLEYRAIL_ASSERT(
          task != nullptr && task->HasLiveAttempt() && task->worker == name,
          "a worker's state contains an attempt not live on it");
      BRAMLEYRAIL_ASSERT(
          !worker.expired ||
              task->when_partitioned == PartitionBehaviour::kKeepRunning,
          "an expired worker has an attempt that stops on partition");
      reserved += task->reserved;
    }
    BRAMLEYRAIL_ASSERT(
        reserved == worker.reserved,
        "a worker's reservation is not the sum over its attempts");
  }
}

void ClusterState::AssertClaimsConsistent() const {
  size_t running = 0;
  for (const auto& [instance, request_ids] : running_claims_) {
    running += request_ids.size();
    for (const std::string& request_id : request_ids) {
      const Claim* claim = FindClaim(request_id);
      BRAMLEYRAIL_ASSERT(claim != nullptr && claim->instance == instance &&
                             claim->state == ClaimState::kRunning,
                         "the index of running claims contradicts a claim");
    }
  }
  BRAMLEYRAIL_ASSERT(running + resolved_claims_.size() == claims_.size(),
                     "a claim is in neither index or in both");
  for (const auto& [time, request_id] : resolved_claims_) {
    const Claim* claim = FindClaim(request_id);
    BRAMLEYRAIL_ASSERT(claim != nullptr && claim->resolved_unix_ms == time &&
                           claim->state != ClaimState::kRunning,
                       "the index of resolved claims contradicts a claim");
  }
}

}  // namespace bramleyrail
