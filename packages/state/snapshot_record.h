#ifndef PACKAGES_STATE_SNAPSHOT_RECORD_H_
#define PACKAGES_STATE_SNAPSHOT_RECORD_H_

// Internal to the state package: the format of a snapshot of ClusterState.
// Values that can be computed from other records (counters, indexes,
// reservations of workers and teams) are not stored.

#include <string>
#include <tuple>
#include <vector>

#include "packages/state/codec.h"

namespace bramleyrail::codec {

// Not stored: the id, owner and index, which are given by the position, and the
// boot id of a live attempt, which is the worker's.
struct TaskRecord {
  TaskState state = TaskState::kPending;
  DesiredAttemptState desired = DesiredAttemptState::kRun;
  ReportedAttemptState reported = ReportedAttemptState::kAccepted;
  PartitionBehaviour when_partitioned = PartitionBehaviour::kStop;
  int64_t attempt = 0;
  int64_t failures = 0;
  int64_t evictions = 0;
  int64_t changed_unix_ms = 0;
  SharedText worker;
  ResourceAmounts reserved;
  SharedText checkpoint;
  SharedText reason;
};

struct TaskOwnerRecord {
  TaskOwner owner;
  std::string team;
  bool deleted = false;
  bool to_reconcile = false;
  int64_t evictions = 0;
  std::optional<PendingReason> pending_reason;
  std::vector<TaskRecord> tasks;
};

struct WorkerRecord {
  std::string name;
  std::string boot_id;
  bool suspended = false;
  bool expired = false;
  bool on_probation = false;
  std::string probation_reason;
  std::vector<std::string> retired_boot_ids;
};

struct ChangeRecord {
  std::string change_id;
  int64_t fingerprint = 0;
  int64_t processed_unix_ms = 0;
  CommandOutcome outcome;
};

struct InstanceRecord {
  std::string name;
  std::string current_boot_id;
  std::string retired_boot_id;
};

struct SnapshotRecord {
  int64_t version = 0;
  int64_t revision = 0;
  std::vector<Resource> resources;
  std::vector<WorkerRecord> workers;
  std::vector<TaskOwnerRecord> owners;
  std::vector<Claim> claims;
  std::vector<InstanceRecord> instances;
  std::vector<ChangeRecord> changes;
};

auto Fields(Is<TaskRecord> auto& v) {
  return std::tie(v.state, v.desired, v.reported, v.when_partitioned, v.attempt,
                  v.failures, v.evictions, v.changed_unix_ms, v.worker,
                  v.reserved, v.checkpoint, v.reason);
}
auto Fields(Is<TaskOwnerRecord> auto& v) {
  return std::tie(v.owner, v.team, v.deleted, v.to_reconcile, v.evictions,
                  v.pending_reason, v.tasks);
}
auto Fields(Is<WorkerRecord> auto& v) {
  return std::tie(v.name, v.boot_id, v.suspended, v.expired, v.on_probation,
                  v.probation_reason, v.retired_boot_ids);
}
auto Fields(Is<ChangeRecord> auto& v) {
  return std::tie(v.change_id, v.fingerprint, v.processed_unix_ms, v.outcome);
}
auto Fields(Is<InstanceRecord> auto& v) {
  return std::tie(v.name, v.current_boot_id, v.retired_boot_id);
}
auto Fields(Is<SnapshotRecord> auto& v) {
  return std::tie(v.version, v.revision, v.resources, v.workers, v.owners,
                  v.claims, v.instances, v.changes);
}

}  // namespace bramleyrail::codec

#endif  // PACKAGES_STATE_SNAPSHOT_RECORD_H_
