// Encodes and restores snapshots of ClusterState as CBOR.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "packages/state/cluster_state.h"
#include "packages/state/snapshot_record.h"

namespace bramleyrail {

namespace {

constexpr int64_t kSnapshotVersion = 1;

codec::TaskRecord ToRecord(const Task& task) {
  return {.state = task.state,
          .desired = task.desired,
          .reported = task.reported,
          .when_partitioned = task.when_partitioned,
          .attempt = task.attempt,
          .failures = task.failures,
          .evictions = task.evictions,
          .changed_unix_ms = task.changed_unix_ms,
          .worker = task.worker,
          .reserved = task.reserved,
          .checkpoint = task.checkpoint,
          .reason = task.reason};
}

Task FromRecord(const codec::TaskRecord& record,
                const TaskOwner& owner,
                int64_t index) {
  Task task;
  task.id = absl::StrCat(owner.uid, "/", index);
  task.owner = owner;
  task.index = index;
  task.state = record.state;
  task.desired = record.desired;
  task.reported = record.reported;
  task.when_partitioned = record.when_partitioned;
  task.attempt = record.attempt;
  task.failures = record.failures;
  task.evictions = record.evictions;
  task.changed_unix_ms = record.changed_unix_ms;
  task.worker = record.worker;
  task.reserved = record.reserved;
  task.checkpoint = record.checkpoint;
  task.reason = record.reason;
  return task;
}

}  // namespace

std::vector<std::byte> ClusterState::EncodeSnapshot() const {
  codec::SnapshotRecord snapshot;
  snapshot.version = kSnapshotVersion;
  snapshot.revision = revision_;
  for (const ResourceMap& resources : resources_) {
    for (const auto& [name, resource] : resources) {
      snapshot.resources.push_back(resource);
    }
  }
  for (const auto& [name, worker] : worker_states_) {
    snapshot.workers.push_back({name, worker.boot_id, worker.suspended,
                                worker.expired, worker.on_probation,
                                worker.probation_reason,
                                worker.retired_boot_ids});
  }
  for (const auto& [uid, tasks] : owners_) {
    codec::TaskOwnerRecord record{tasks.owner,
                                  tasks.team,
                                  tasks.deleted,
                                  owners_to_reconcile_.contains(uid),
                                  tasks.counts.evictions,
                                  tasks.pending_reason,
                                  {}};
    record.tasks.reserve(tasks.tasks.size());
    for (const Task& task : tasks.tasks) {
      record.tasks.push_back(ToRecord(task));
    }
    snapshot.owners.push_back(std::move(record));
  }
  // Sorted, since hash tables have no defined order and equal states must give
  // equal bytes.
  for (const auto& [request_id, claim] : claims_) {
    snapshot.claims.push_back(claim);
  }
  std::sort(snapshot.claims.begin(), snapshot.claims.end(),
            [](const Claim& left, const Claim& right) {
              return left.request_id < right.request_id;
            });
  for (const auto& [name, boots] : instance_boot_ids_) {
    snapshot.instances.push_back({name, boots.current, boots.retired});
  }
  for (const auto& [time, change_id] : processed_change_times_) {
    const ProcessedChange& change = processed_changes_.at(change_id);
    snapshot.changes.push_back({change_id,
                                static_cast<int64_t>(change.fingerprint), time,
                                change.outcome});
  }
  return codec::Encode(snapshot);
}

Result<std::unique_ptr<ClusterState>> ClusterState::FromSnapshot(
    std::span<const std::byte> data) {
  TRY(snapshot, codec::Decode<codec::SnapshotRecord>(data, "the snapshot"));
  if (snapshot.version != kSnapshotVersion) {
    return codec::DamagedError("the snapshot version");
  }
  auto state = std::make_unique<ClusterState>();
  state->revision_ = snapshot.revision;
  state->compacted_revision_ = snapshot.revision;
  for (Resource& resource : snapshot.resources) {
    state->shared_resources_[{resource.Kind(), resource.name}] =
        std::make_shared<const Resource>(resource);
    state->MutableResources(resource.Kind())[resource.name] =
        std::move(resource);
  }
  for (codec::WorkerRecord& record : snapshot.workers) {
    WorkerState& worker = state->worker_states_[record.name];
    worker.name = record.name;
    worker.boot_id = record.boot_id;
    worker.suspended = record.suspended;
    worker.expired = record.expired;
    worker.on_probation = record.on_probation;
    worker.probation_reason = std::move(record.probation_reason);
    worker.retired_boot_ids = std::move(record.retired_boot_ids);
  }
  for (codec::TaskOwnerRecord& record : snapshot.owners) {
    if (!state->RestoreOwner(record)) {
      return codec::DamagedError("a task of the snapshot");
    }
  }
  for (Claim& claim : snapshot.claims) {
    state->IndexClaim(claim);
    std::string request_id = claim.request_id;
    state->claims_.emplace(std::move(request_id), std::move(claim));
  }
  for (const codec::InstanceRecord& record : snapshot.instances) {
    state->instance_boot_ids_[record.name] = {record.current_boot_id,
                                              record.retired_boot_id};
  }
  for (codec::ChangeRecord& record : snapshot.changes) {
    state->processed_change_times_.emplace(record.processed_unix_ms,
                                           record.change_id);
    state->processed_changes_[record.change_id] = {
        static_cast<uint64_t>(record.fingerprint), record.processed_unix_ms,
        std::move(record.outcome)};
  }
  return state;
}

bool ClusterState::RestoreOwner(codec::TaskOwnerRecord& record) {
  const std::string uid(record.owner.uid);
  const Resource* resource = FindResource(record.owner.kind, record.owner.name);
  const bool exists = resource != nullptr && resource->uid == uid &&
                      FindTaskTemplate(resource->spec) != nullptr;
  if (exists == record.deleted) {
    return false;
  }
  OwnerTasks& tasks = owners_[uid];
  tasks.owner = record.owner;
  tasks.team = std::move(record.team);
  tasks.deleted = record.deleted;
  tasks.tasks.reserve(record.tasks.size());
  for (const codec::TaskRecord& task_record : record.tasks) {
    Task& task = tasks.tasks.emplace_back(FromRecord(
        task_record, tasks.owner, static_cast<int64_t>(tasks.tasks.size())));
    const auto worker = worker_states_.find(task.worker);
    if (worker != worker_states_.end()) {
      task.worker = worker->second.name;
    }
    // Counts the task as pending first; setting the actual state moves the
    // count.
    task.state = TaskState::kPending;
    ++tasks.counts.pending;
    SetTaskState(tasks, task, TaskState::kPending);
    if (task_record.state == TaskState::kAssigned) {
      if (worker == worker_states_.end()) {
        return false;
      }
      task.worker_boot_id = worker->second.boot_id;
      Charge(tasks, worker->second, task);
    }
    SetTaskState(tasks, task, task_record.state);
    task.changed_unix_ms = task_record.changed_unix_ms;
  }
  tasks.counts.evictions = record.evictions;
  tasks.pending_reason = std::move(record.pending_reason);
  if (record.to_reconcile) {
    owners_to_reconcile_[uid] = tasks.owner;
  }
  changed_statuses_.clear();
  return true;
}

}  // namespace bramleyrail
