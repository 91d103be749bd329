// Implements the part of ReplicaStore that writes. The part that recovers the
// stored state is in replica_store_recovery.cc.

#include "packages/storage/replica_store.h"

#include <utility>

#include "packages/storage/store_files.h"

namespace bramleyrail {

namespace {

// A new segment is started when the current one has reached this size.
constexpr uint64_t kSegmentSizeThresholdBytes = uint64_t{4} * 1024 * 1024;
constexpr char kDiskCheckFileName[] = "check";
constexpr size_t kDiskCheckBytes = 4096;

}  // namespace

ReplicaStore::ReplicaStore(std::shared_ptr<Disk> disk)
    : disk_(std::move(disk)) {}

Result<void> ReplicaStore::RecordError(Result<void> result) {
  if (result.has_error() && !IsRepeatable(result)) {
    storage_error_ = result.error();
  }
  return result;
}

Result<void> ReplicaStore::Format(const ReplicaIdentity& identity) {
  BRAMLEYRAIL_ASSERT(
      segment_first_batches_.empty() || current_segment_ != nullptr,
      "Format() requires an empty data folder");
  // The identity is written last, since a folder without it counts as empty. A
  // repeated call finds the segment of the earlier one, which may be incomplete
  // or without a durable name.
  const bool has_segment = current_segment_bytes_ > 0;
  if (!has_segment) {
    segment_first_batches_.clear();
  }
  const Result<void> started = RecordError(
      has_segment
          ? disk_->SyncFolder()
          : StartSegment({MakeRecord(LogBase{}), MakeRecord(HardState{})}));
  if (started.has_error()) {
    return started;
  }
  const Result<void> formatted = RecordError(
      WriteFileAtomically(kIdentityFileName, EncodeIdentity(identity)));
  if (formatted.has_value()) {
    storage_error_.reset();
  }
  return formatted;
}

Result<void> ReplicaStore::Append(const std::optional<HardState>& hard_state,
                                  std::span<const LogEntry> entries) {
  if (storage_error_) {
    return *storage_error_;
  }
  return RecordError(AppendRecords(hard_state, entries));
}

Result<void> ReplicaStore::AppendRecords(
    const std::optional<HardState>& hard_state,
    std::span<const LogEntry> entries) {
  if (!hard_state && entries.empty()) {
    return Success();
  }
  bool starts_segment = current_segment_bytes_ >= kSegmentSizeThresholdBytes;
  if (starts_segment) {
    const Result<void> opened = OpenSegment();
    if (opened.has_error() && !IsRepeatable(opened)) {
      return opened;
    }
    // Without a descriptor for the next segment, the current one grows on.
    starts_segment = opened.has_value();
  }
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
  TRY(WriteBatch(std::move(records)));
  return starts_segment ? disk_->SyncFolder() : Success();
}

Result<void> ReplicaStore::SaveSnapshot(
    const Snapshot& snapshot,
    std::span<const LogEntry> following_entries) {
  if (storage_error_) {
    return *storage_error_;
  }
  TRY(WriteSnapshot(snapshot));
  return RecordError(StartLogAfter(snapshot, following_entries));
}

Result<void> ReplicaStore::CheckDisk() {
  const std::string name = std::string(kDiskCheckFileName) + kTemporarySuffix;
  TRY(file, disk_->Create(name));
  TRY(file->Append(std::vector<std::byte>(kDiskCheckBytes)));
  TRY(file->Sync());
  return disk_->Remove(name);
}

Result<void> ReplicaStore::Rewrite(
    const HardState& hard_state,
    const SnapshotPointer& snapshot,
    std::span<const LogEntry> following_entries) {
  // The batch of the failed call, or of an earlier attempt, may be on the disk.
  // Recovery tells the batches of the new segment from it by their numbers.
  ++next_batch_;
  hard_state_ = hard_state;
  if (snapshot != nullptr) {
    TRY(WriteSnapshot(*snapshot));
  }
  TRY(StartLogAfter(snapshot != nullptr ? *snapshot : Snapshot(),
                    following_entries));
  storage_error_.reset();
  return Success();
}

Result<void> ReplicaStore::WriteSnapshot(const Snapshot& snapshot) {
  TRY(WriteFileAtomically(SnapshotName(snapshot.index),
                          EncodeSnapshot(snapshot)));
  // A repeated call replaces the file of the earlier one.
  if (snapshot_indexes_.empty() || snapshot_indexes_.back() != snapshot.index) {
    snapshot_indexes_.push_back(snapshot.index);
  }
  return Success();
}

Result<void> ReplicaStore::StartLogAfter(
    const Snapshot& snapshot,
    std::span<const LogEntry> following_entries) {
  std::vector<LogRecord> records;
  records.push_back(MakeRecord(LogBase{snapshot.index, snapshot.term}));
  records.push_back(MakeRecord(hard_state_));
  for (const LogEntry& entry : following_entries) {
    records.push_back(MakeRecord(entry));
  }
  TRY(StartSegment(std::move(records)));
  TRY(RemoveSegmentsBefore(segment_first_batches_.back()));
  return RemoveSnapshotsBefore(snapshot.index);
}

Result<void> ReplicaStore::WriteFileAtomically(
    const std::string& name,
    std::span<const std::byte> data) {
  const std::string temporary = name + kTemporarySuffix;
  TRY(file, disk_->Create(temporary));
  Result<void> written = file->Append(data);
  if (written.has_value()) {
    written = file->Sync();
  }
  if (written.has_error()) {
    // The log may need the space. If the file stays, the next call or the next
    // start removes it.
    (void)disk_->Remove(temporary);
    return written;
  }
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
  TRY(current_segment_->Append(buffer));
  TRY(current_segment_->Sync());
  current_segment_bytes_ += buffer.size();
  ++next_batch_;
  return Success();
}

Result<void> ReplicaStore::OpenSegment() {
  TRY(file, disk_->Create(SegmentName(next_batch_)));
  current_segment_ = std::move(file);
  current_segment_bytes_ = 0;
  segment_first_batches_.push_back(next_batch_);
  return Success();
}

Result<void> ReplicaStore::StartSegment(std::vector<LogRecord> records) {
  TRY(OpenSegment());
  TRY(WriteBatch(std::move(records)));
  return disk_->SyncFolder();
}

Result<void> ReplicaStore::RemoveSegmentsBefore(uint64_t first_batch) {
  while (segment_first_batches_.front() < first_batch) {
    TRY(disk_->Remove(SegmentName(segment_first_batches_.front())));
    segment_first_batches_.erase(segment_first_batches_.begin());
  }
  return Success();
}

Result<void> ReplicaStore::RemoveSnapshotsBefore(LogIndex index) {
  while (!snapshot_indexes_.empty() && snapshot_indexes_.front() < index) {
    TRY(disk_->Remove(SnapshotName(snapshot_indexes_.front())));
    snapshot_indexes_.erase(snapshot_indexes_.begin());
  }
  return Success();
}

}  // namespace bramleyrail
