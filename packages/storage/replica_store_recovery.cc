// Implements the part of ReplicaStore that recovers the stored state. The part
// that writes is in replica_store.cc.

#include <algorithm>
#include <string>
#include <utility>

#include "packages/storage/log_segment_scan.h"
#include "packages/storage/replica_store.h"
#include "packages/storage/store_files.h"

namespace bramleyrail {

Result<std::unique_ptr<ReplicaStore>> ReplicaStore::Open(
    std::shared_ptr<Disk> disk) {
  std::unique_ptr<ReplicaStore> store(new ReplicaStore(std::move(disk)));
  TRY(store->Recover());
  return store;
}

Result<void> ReplicaStore::Recover() {
  TRY(names, disk_->List());
  for (const std::string& name : names) {
    if (name.ends_with(kTemporarySuffix)) {
      TRY(disk_->Remove(name));
    } else if (const auto sequence = ParseSegmentName(name)) {
      segment_first_batches_.push_back(*sequence);
    } else if (const auto index = ParseSnapshotName(name)) {
      snapshot_indexes_.push_back(*index);
    }
  }
  std::sort(segment_first_batches_.begin(), segment_first_batches_.end());
  std::sort(snapshot_indexes_.begin(), snapshot_indexes_.end());
  TRY(RecoverIdentity(names));
  if (!recovered_.identity) {
    return RemoveInterruptedFormat();
  }
  TRY(RecoverSnapshot());
  TRY(RecoverSegments());
  TRY(TrimToSnapshot());
  hard_state_ = recovered_.hard_state;
  if (recovered_.snapshot && recovered_.snapshot->index != base_.index) {
    // The process ended after writing the snapshot and before starting the
    // segment that follows it. The entries of the old segments may end before
    // the index of the snapshot.
    return StartLogAfter(*recovered_.snapshot, recovered_.entries);
  }
  // Data that an earlier process wrote may still be only in the page cache. It
  // is synced here, since it counts as durable from now on.
  TRY(file, disk_->OpenForAppend(SegmentName(segment_first_batches_.back())));
  current_segment_ = std::move(file);
  TRY(current_segment_->Sync());
  return disk_->SyncFolder();
}

Result<void> ReplicaStore::RecoverIdentity(
    const std::vector<std::string>& names) {
  if (std::find(names.begin(), names.end(), kIdentityFileName) == names.end()) {
    return Success();
  }
  TRY(file, disk_->Read(kIdentityFileName));
  TRY(identity, DecodeIdentity(file));
  recovered_.identity = std::move(identity);
  return Success();
}

Result<void> ReplicaStore::RemoveInterruptedFormat() {
  if (segment_first_batches_.empty() && snapshot_indexes_.empty()) {
    return Success();
  }
  // Formatting creates the first segment before the identity file.
  const bool format_was_interrupted =
      snapshot_indexes_.empty() &&
      segment_first_batches_ == std::vector<uint64_t>{1};
  if (!format_was_interrupted) {
    return MakeDamageError("the identity file is missing");
  }
  TRY(data, disk_->Read(SegmentName(1)));
  for (const LogRecord& record : LogSegmentScan::Scan(data, 1).records) {
    const std::optional<HardState> state = ParseHardState(record.payload);
    const bool is_initial =
        record.type == RecordType::kBase ||
        (record.type == RecordType::kHardState && state && state->term == 0);
    if (!is_initial) {
      return MakeDamageError("the identity file is missing");
    }
  }
  TRY(disk_->Remove(SegmentName(1)));
  segment_first_batches_.clear();
  return disk_->SyncFolder();
}

Result<void> ReplicaStore::RecoverSnapshot() {
  if (snapshot_indexes_.empty()) {
    return Success();
  }
  TRY(file, disk_->Read(SnapshotName(snapshot_indexes_.back())));
  TRY(snapshot, DecodeSnapshot(file));
  recovered_.snapshot = std::move(snapshot);
  return Success();
}

Result<void> ReplicaStore::RecoverSegments() {
  // Segments before the newest one that starts with a base record are left over
  // from an interrupted removal.
  std::vector<LogSegmentScan> scans;
  bool found_base = false;
  for (size_t position = segment_first_batches_.size();
       position > 0 && !found_base;) {
    --position;
    const bool is_last = position + 1 == segment_first_batches_.size();
    TRY(scan, RecoverSegment(segment_first_batches_[position], is_last));
    if (scan.records.empty()) {
      // The first batch of this segment was never synced, so the previous
      // segment is complete.
      TRY(disk_->Remove(SegmentName(segment_first_batches_[position])));
      segment_first_batches_.pop_back();
      continue;
    }
    found_base = scan.records.front().type == RecordType::kBase;
    scans.push_back(std::move(scan));
  }
  if (!found_base) {
    return MakeDamageError("the base record of the log is missing");
  }
  const size_t leftover_segments = segment_first_batches_.size() - scans.size();
  std::reverse(scans.begin(), scans.end());
  for (size_t position = 0; position < scans.size(); ++position) {
    if (position > 0 &&
        segment_first_batches_[leftover_segments + position] != next_batch_) {
      return MakeDamageError("the log segment '" + SegmentName(next_batch_) +
                             "' is missing");
    }
    next_batch_ = scans[position].records.back().batch + 1;
    current_segment_bytes_ = scans[position].complete_bytes;
    TRY(ReplayRecords(scans[position].records));
  }
  return RemoveSegmentsBefore(segment_first_batches_[leftover_segments]);
}

Result<LogSegmentScan> ReplicaStore::RecoverSegment(uint64_t first_batch,
                                                    bool is_last) {
  const std::string name = SegmentName(first_batch);
  TRY(data, disk_->Read(name));
  LogSegmentScan scan = LogSegmentScan::Scan(data, first_batch);
  const bool is_torn = scan.end == LogSegmentScan::End::kTorn;
  // Only the last segment can be torn: a batch is written to a new segment only
  // after the old one was synced. The first batch of the only segment cannot be
  // torn: it was synced before the other segments were removed.
  const bool may_be_torn =
      is_last && (!scan.records.empty() || segment_first_batches_.size() > 1);
  if (scan.end == LogSegmentScan::End::kDamaged || (is_torn && !may_be_torn) ||
      (scan.records.empty() && !may_be_torn)) {
    return MakeDamageError("a record in '" + name + "' is damaged");
  }
  recovered_.truncated_bytes += data.size() - scan.complete_bytes;
  if (is_torn && !scan.records.empty()) {
    TRY(disk_->Truncate(name, scan.complete_bytes));
  }
  return scan;
}

Result<void> ReplicaStore::ReplayRecords(
    const std::vector<LogRecord>& records) {
  for (const LogRecord& record : records) {
    switch (record.type) {
      case RecordType::kHardState: {
        const std::optional<HardState> state = ParseHardState(record.payload);
        if (!state) {
          return MakeDamageError("a stored hard state is damaged");
        }
        recovered_.hard_state = *state;
        continue;
      }
      case RecordType::kEntry: {
        std::optional<LogEntry> entry = ParseEntry(record.payload);
        if (!entry) {
          return MakeDamageError("a stored log entry is damaged");
        }
        TRY(ReplayEntry(std::move(*entry)));
        continue;
      }
      case RecordType::kBase: {
        const std::optional<LogBase> base = ParseBase(record.payload);
        if (!base) {
          return MakeDamageError("the base record of the log is damaged");
        }
        base_ = *base;
        recovered_.entries.clear();
        continue;
      }
    }
    return MakeDamageError("a stored record has an unknown type");
  }
  return Success();
}

Result<void> ReplicaStore::ReplayEntry(LogEntry entry) {
  std::vector<LogEntry>& entries = recovered_.entries;
  const LogIndex base = base_.index;
  if (entry.index <= base || entry.index > base + entries.size() + 1) {
    return MakeDamageError(
        "a log entry is missing: found index " + std::to_string(entry.index) +
        " after a log from index " + std::to_string(base + 1) + " with " +
        std::to_string(entries.size()) + " entries");
  }
  const size_t position = entry.index - base - 1;
  if (position < entries.size()) {
    if (entries[position].term == entry.term) {
      return Success();
    }
    entries.resize(position);
  }
  entries.push_back(std::move(entry));
  return Success();
}

Result<void> ReplicaStore::TrimToSnapshot() {
  const LogIndex base = base_.index;
  std::vector<LogEntry>& entries = recovered_.entries;
  if (!recovered_.snapshot) {
    if (base > 0) {
      return MakeDamageError("the snapshot is missing");
    }
    return Success();
  }
  const Snapshot& snapshot = *recovered_.snapshot;
  if (snapshot.index < base) {
    return MakeDamageError(
        "the newest snapshot is missing: the log starts after index " +
        std::to_string(base) + ", but the snapshot ends at index " +
        std::to_string(snapshot.index));
  }
  if (snapshot.index == base) {
    return Success();
  }
  // The process ended after writing the snapshot and before starting the new
  // segment.
  const size_t covered = snapshot.index - base;
  const bool matches =
      covered <= entries.size() && entries[covered - 1].term == snapshot.term;
  if (!matches) {
    entries.clear();
    return Success();
  }
  entries.erase(entries.begin(),
                entries.begin() + static_cast<ptrdiff_t>(covered));
  return Success();
}

}  // namespace bramleyrail
