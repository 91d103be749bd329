// The invariants between the tables, checked by tests and on demand.

#include "absl/strings/str_cat.h"
#include "packages/state/cluster_state.h"

namespace bramleyrail {

void ClusterState::AssertConsistent() const {
  AssertTasksConsistent();
  AssertWorkersConsistent();
  AssertClaimsConsistent();
  BRAMLEYRAIL_ASSERT(history_.size() <= kMaximumHistory,
                     "the watch history is too long");
  BRAMLEYRAIL_ASSERT(known_changes_.size() == known_change_times_.size(),
                     "a change id is not indexed by time");
}

void ClusterState::AssertTasksConsistent() const {
  std::map<std::string, ResourceAmounts, std::less<>> by_team;
  size_t pending_owners = 0;
  for (const auto& [uid, tasks] : owners_) {
    const Resource* resource = FindResource(tasks.owner.kind, tasks.owner.name);
    const bool exists = resource != nullptr && resource->uid == uid;
    BRAMLEYRAIL_ASSERT(exists != tasks.deleted,
                       "tasks and their resource disagree on its existence");
    TaskCounts counts;
    counts.evictions = tasks.counts.evictions;
    ResourceAmounts reserved;
    const auto pending = pending_by_owner_.find(uid);
    for (size_t i = 0; i < tasks.tasks.size(); ++i) {
      const Task& task = tasks.tasks[i];
      BRAMLEYRAIL_ASSERT(task.id == absl::StrCat(uid, "/", i) &&
                             task.index == static_cast<int64_t>(i) &&
                             task.owner == tasks.owner,
                         "a task is stored in another's place");
      counts.pending += task.state == TaskState::kPending ? 1 : 0;
      counts.assigned += task.state == TaskState::kAssigned ? 1 : 0;
      counts.completed += task.state == TaskState::kCompleted ? 1 : 0;
      counts.failed += task.state == TaskState::kFailed ? 1 : 0;
      counts.cancelled += task.state == TaskState::kCancelled ? 1 : 0;
      reserved += task.reserved;
      const bool listed = pending != pending_by_owner_.end() &&
                          pending->second.contains(task.id);
      BRAMLEYRAIL_ASSERT(listed == (task.state == TaskState::kPending),
                         "the list of pending tasks is wrong");
      if (task.HasLiveAttempt()) {
        const WorkerState* worker = FindWorkerState(task.worker);
        BRAMLEYRAIL_ASSERT(worker != nullptr &&
                               worker->boot_id == task.worker_boot_id &&
                               worker->task_ids.contains(task.id),
                           "a live attempt is not on its worker");
      } else {
        BRAMLEYRAIL_ASSERT(
            task.reserved == ResourceAmounts() && task.worker_boot_id.empty(),
            "an ended attempt still holds a reservation");
      }
    }
    BRAMLEYRAIL_ASSERT(counts == tasks.counts, "the task counts are wrong");
    BRAMLEYRAIL_ASSERT(reserved == tasks.reserved,
                       "the reservations of an owner are wrong");
    BRAMLEYRAIL_ASSERT(!tasks.pending_reason || counts.pending > 0,
                       "a pending reason is kept for no pending task");
    pending_owners += counts.pending > 0 ? 1 : 0;
    if (reserved != ResourceAmounts()) {
      by_team[tasks.team] += reserved;
    }
  }
  BRAMLEYRAIL_ASSERT(pending_owners == pending_by_owner_.size(),
                     "an owner without tasks is listed as pending");
  BRAMLEYRAIL_ASSERT(by_team == reserved_by_team_,
                     "the reservations of a team are wrong");
  for (const auto& [uid, owner] : owners_to_reconcile_) {
    BRAMLEYRAIL_ASSERT(owners_.contains(uid),
                       "an owner to reconcile does not exist");
  }
}

void ClusterState::AssertWorkersConsistent() const {
  BRAMLEYRAIL_ASSERT(
      worker_states_.size() == Resources(ResourceKind::kWorker).size(),
      "workers and their resources differ");
  for (const auto& [name, worker] : worker_states_) {
    BRAMLEYRAIL_ASSERT(FindResource(ResourceKind::kWorker, name) != nullptr,
                       "a worker has no resource");
    BRAMLEYRAIL_ASSERT(!worker.expired || worker.suspended,
                       "a worker is expired but not suspended");
    ResourceAmounts reserved;
    for (const SharedText& task_id : worker.task_ids) {
      const Task* task = FindTask(task_id);
      BRAMLEYRAIL_ASSERT(
          task != nullptr && task->HasLiveAttempt() && task->worker == name,
          "a worker lists an attempt that is not live on it");
      BRAMLEYRAIL_ASSERT(!worker.expired || task->when_partitioned ==
                                                PartitionBehaviour::kRunOn,
                         "an expired worker holds an attempt that has ended");
      reserved += task->reserved;
    }
    BRAMLEYRAIL_ASSERT(reserved == worker.reserved,
                       "the reservations of a worker are wrong");
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
                         "a claim is wrongly listed as running");
    }
  }
  BRAMLEYRAIL_ASSERT(running + resolved_claims_.size() == claims_.size(),
                     "a claim is in no list, or in two");
  for (const auto& [time, request_id] : resolved_claims_) {
    const Claim* claim = FindClaim(request_id);
    BRAMLEYRAIL_ASSERT(claim != nullptr && claim->resolved_unix_ms == time &&
                           claim->state != ClaimState::kRunning,
                       "a claim is wrongly listed as resolved");
  }
}

}  // namespace bramleyrail
