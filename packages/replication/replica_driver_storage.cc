// The storage of a replica: snapshots, a disk that fails, and its return.

#include <algorithm>
#include <utility>

#include "packages/replication/replica_driver.h"
#include "packages/replication/replication_events.h"

namespace bramleyrail {

namespace {

constexpr size_t kSnapshotIntervalBytes = size_t{8} * 1024 * 1024;
// Pause after a snapshot that could not be written. The log grows on.
constexpr Milliseconds kSnapshotRetryPause{2'000};
// Pause between attempts to use a disk that has failed.
constexpr Milliseconds kStorageRetryPause{1'000};

}  // namespace

void ReplicaDriver::SaveSnapshotIfDue() {
  const LogIndex index = core_->applied_index();
  const bool due = index - snapshot_index_ >= options_.snapshot_entries ||
                   bytes_since_snapshot_ >= kSnapshotIntervalBytes;
  if (!due || now_ < next_snapshot_ || deferred_output_) {
    return;
  }
  std::shared_ptr<Snapshot> snapshot = MakeSnapshot();
  // An observer never sends its snapshot, so the snapshot's data stays empty.
  if (core_->kind() == ReplicaCore::Kind::kReplica) {
    snapshot->data = options_.snapshot();
    const Result<void> result = store_->SaveSnapshot(
        *snapshot, core_->EntriesBetween(index + 1, core_->last_index()));
    if (result.has_error() && !store_->storage_error()) {
      next_snapshot_ = now_ + kSnapshotRetryPause;
      LogEvent(kStorageDeferred, {{"error", result.error().ToString()}});
      return;
    }
    if (result.has_error()) {
      StopStorage(result.error());
    } else {
      LogEvent(kSnapshotSaved,
               {{"index", index}, {"bytes", snapshot->data.size()}});
    }
  }
  HandleSnapshotSaved(std::move(snapshot));
}

std::shared_ptr<Snapshot> ReplicaDriver::MakeSnapshot() const {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->index = core_->applied_index();
  snapshot->term = *core_->TermAt(snapshot->index);
  snapshot->configuration = core_->ConfigurationAt(snapshot->index);
  return snapshot;
}

void ReplicaDriver::HandleSnapshotSaved(SnapshotPointer snapshot) {
  snapshot_index_ = snapshot->index;
  bytes_since_snapshot_ = 0;
  core_->Compact(std::move(snapshot));
}

void ReplicaDriver::StopStorage(const Error& fault) {
  if (!storage_fault_) {
    storage_stopped_at_ = now_;
    LogEvent(kStorageStopped, {{"error", fault.ToString()}});
  }
  storage_fault_ = fault;
  next_storage_attempt_ = now_ + kStorageRetryPause;
  if (core_) {
    core_->BecomeObserver(NewGeneration());
  }
}

void ReplicaDriver::ResumeStorageIfDue() {
  if (!storage_fault_ || now_ < next_storage_attempt_ || deferred_output_) {
    return;
  }
  next_storage_attempt_ = now_ + kStorageRetryPause;
  const Result<void> result = RewriteStore();
  if (result.has_error()) {
    storage_fault_ = result.error();
    return;
  }
  core_->BecomeReplica(*stored_id_);
  HandleStorageResumed();
}

Result<void> ReplicaDriver::RewriteStore() {
  // Spares a disk that is still full or broken a snapshot in each attempt.
  TRY(store_->CheckDisk());
  if (!stored_id_) {
    const ReplicaId id{options_.instance_name, NewGeneration()};
    TRY(store_->Format({id, {}}));
    stored_id_ = id;
  }
  const LogIndex index = core_->applied_index();
  SnapshotPointer snapshot;
  if (index > 0) {
    std::shared_ptr<Snapshot> made = MakeSnapshot();
    made->data = options_.snapshot();
    snapshot = std::move(made);
  }
  TRY(store_->Rewrite(core_->hard_state(), snapshot,
                      core_->EntriesBetween(index + 1, core_->last_index())));
  if (snapshot != nullptr) {
    // Replaces a snapshot of the observer, which has no data to send.
    HandleSnapshotSaved(std::move(snapshot));
  }
  return Success();
}

void ReplicaDriver::HandleStorageResumed() {
  storage_fault_ = std::nullopt;
  LogEvent(
      kStorageResumed,
      {{"replica", core_->id().ToString()},
       {"term", core_->term()},
       {"last_index", core_->last_index()},
       {"stopped_ms",
        std::chrono::floor<Milliseconds>(now_ - storage_stopped_at_).count()}});
}

}  // namespace bramleyrail
