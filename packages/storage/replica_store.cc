// Writing; replica_store_recovery.cc reads what was written.

#include "packages/storage/replica_store.h"

#include <utility>

#include "packages/storage/store_files.h"

namespace bramleyrail {

namespace {

constexpr uint64_t kSegmentBytes = uint64_t{4} * 1024 * 1024;

}  // namespace

ReplicaStore::ReplicaStore(std::shared_ptr<Disk> disk)
    : disk_(std::move(disk)) {}

Result<void> ReplicaStore::Guard(Result<void> result) {
  if (result.has_error()) {
    fault_ = result.error();
  }
  return result;
}

Result<void> ReplicaStore::Format(const ReplicaIdentity& identity) {
  if (fault_) {
    return *fault_;
  }
  BRAMLEYRAIL_ASSERT(segments_.empty(), "only an empty folder is formatted");
  // The identity comes last: a folder without it counts as empty.
  const Result<void> started =
      Guard(StartSegment({MakeRecord(LogBase{}), MakeRecord(HardState{})}));
  if (started.has_error()) {
    return started;
  }
  return Guard(WriteFile(kIdentityName, EncodeIdentity(identity)));
}

Result<void> ReplicaStore::Append(const std::optional<HardState>& hard_state,
                                  std::span<const LogEntry> entries) {
  if (fault_) {
    return *fault_;
  }
  return Guard(AppendUnguarded(hard_state, entries));
}

Result<void> ReplicaStore::AppendUnguarded(
    const std::optional<HardState>& hard_state,
    std::span<const LogEntry> entries) {
  const bool starts_segment = segment_bytes_ >= kSegmentBytes;
  if (hard_state) {
    hard_state_ = *hard_state;
  }
  std::vector<LogRecord> records;
  if (hard_state || starts_segment) {
    records.push_back(MakeRecord(hard_state_));
  }
  for (const LogEntry& entry : entries) {
    records.push_back(MakeRecord(entry));
  }
  if (records.empty()) {
    return Success();
  }
  return starts_segment ? StartSegment(std::move(records))
                        : WriteBatch(std::move(records));
}

Result<void> ReplicaStore::SaveSnapshot(const Snapshot& snapshot,
                                        std::span<const LogEntry> following) {
  if (fault_) {
    return *fault_;
  }
  return Guard(SaveSnapshotUnguarded(snapshot, following));
}

Result<void> ReplicaStore::SaveSnapshotUnguarded(
    const Snapshot& snapshot,
    std::span<const LogEntry> following) {
  TRY(WriteFile(SnapshotName(snapshot.index), EncodeSnapshot(snapshot)));
  snapshot_indexes_.push_back(snapshot.index);
  return StartLogAfter(snapshot, following);
}

Result<void> ReplicaStore::StartLogAfter(const Snapshot& snapshot,
                                         std::span<const LogEntry> following) {
  std::vector<LogRecord> records;
  records.push_back(MakeRecord(LogBase{snapshot.index, snapshot.term}));
  records.push_back(MakeRecord(hard_state_));
  for (const LogEntry& entry : following) {
    records.push_back(MakeRecord(entry));
  }
  TRY(StartSegment(std::move(records)));
  TRY(RemoveSegmentsBefore(segments_.back()));
  return RemoveSnapshotsBefore(snapshot.index);
}

Result<void> ReplicaStore::WriteFile(const std::string& name,
                                     std::span<const std::byte> data) {
  const std::string temporary = name + kTemporarySuffix;
  TRY(file, disk_->Create(temporary));
  TRY(file->Append(data));
  TRY(file->Sync());
  TRY(disk_->Rename(temporary, name));
  return disk_->SyncFolder();
}

Result<void> ReplicaStore::WriteBatch(std::vector<LogRecord> records) {
  std::vector<std::byte> buffer;
  for (LogRecord& record : records) {
    record.batch = next_batch_;
    record.ends_batch = &record == &records.back();
    record.AppendTo(&buffer);
  }
  TRY(segment_->Append(buffer));
  TRY(segment_->Sync());
  segment_bytes_ += buffer.size();
  ++next_batch_;
  return Success();
}

Result<void> ReplicaStore::StartSegment(std::vector<LogRecord> records) {
  TRY(file, disk_->Create(SegmentName(next_batch_)));
  segment_ = std::move(file);
  segment_bytes_ = 0;
  segments_.push_back(next_batch_);
  TRY(WriteBatch(std::move(records)));
  return disk_->SyncFolder();
}

Result<void> ReplicaStore::RemoveSegmentsBefore(uint64_t first_batch) {
  while (segments_.front() < first_batch) {
    TRY(disk_->Remove(SegmentName(segments_.front())));
    segments_.erase(segments_.begin());
  }
  return Success();
}

Result<void> ReplicaStore::RemoveSnapshotsBefore(LogIndex index) {
  while (snapshot_indexes_.front() < index) {
    TRY(disk_->Remove(SnapshotName(snapshot_indexes_.front())));
    snapshot_indexes_.erase(snapshot_indexes_.begin());
  }
  return Success();
}

}  // namespace bramleyrail
