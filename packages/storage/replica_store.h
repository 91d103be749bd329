#ifndef PACKAGES_STORAGE_REPLICA_STORE_H_
#define PACKAGES_STORAGE_REPLICA_STORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "packages/consensus/consensus.h"
#include "packages/storage/disk.h"
#include "packages/storage/log_record.h"
#include "packages/storage/log_segment_scan.h"

namespace bramleyrail {

// Identity of a replica, written once when its folder is formatted.
struct ReplicaIdentity {
  ReplicaId id;
  // The initial voters; empty for a replica that joins a cluster.
  Configuration initial_configuration;
};

// State that ReplicaStore::Open() has found in the folder.
struct RecoveredState {
  std::optional<ReplicaIdentity> identity;  // nullopt: the folder is empty.
  HardState hard_state;
  SnapshotPointer snapshot;
  std::vector<LogEntry> entries;  // Entries after the snapshot.
  uint64_t truncated_bytes = 0;   // Removed bytes of an interrupted write.
};

// Stores the hard state, log and snapshot of one replica in one folder. Every
// change is durable when the call returns. After a failed write or sync of the
// log, Append() and SaveSnapshot() fail until Rewrite() succeeds, since the
// page cache may no longer show the durable content. A kResourceExhausted error
// leaves the store usable: the call may be repeated. Not thread-safe.
class ReplicaStore {
 public:
  // Opens the store and recovers its state. kDataLoss when a record that had
  // been synced is damaged or missing.
  static Result<std::unique_ptr<ReplicaStore>> Open(std::shared_ptr<Disk> disk);

  // Moves out the state that Open() has recovered.
  RecoveredState TakeRecoveredState() { return std::move(recovered_); }

  // Initializes the empty folder for a new replica. May be repeated after an
  // error.
  Result<void> Format(const ReplicaIdentity& identity);
  // Stores a new hard state and entries with one sync. The entries replace all
  // stored entries from the index of the first new entry on.
  Result<void> Append(const std::optional<HardState>& hard_state,
                      std::span<const LogEntry> entries);
  // Stores a snapshot and starts a new log with the entries that follow it. A
  // snapshot that cannot be written leaves the log usable.
  Result<void> SaveSnapshot(const Snapshot& snapshot,
                            std::span<const LogEntry> following_entries);
  // Returns an error while the disk takes no bytes.
  Result<void> CheckDisk();
  // Stores the whole state of the replica in new files, and makes the store
  // usable again. The state must include all that earlier calls made durable.
  // `snapshot` is null when no entry is applied. May be repeated after an
  // error.
  Result<void> Rewrite(const HardState& hard_state,
                       const SnapshotPointer& snapshot,
                       std::span<const LogEntry> following_entries);

  // The failure of a write or sync after which the log takes no more entries,
  // if any.
  const std::optional<Error>& storage_error() const { return storage_error_; }

 private:
  explicit ReplicaStore(std::shared_ptr<Disk> disk);

  Result<void> Recover();
  Result<void> RecoverIdentity(const std::vector<std::string>& names);
  Result<void> RecoverSnapshot();
  Result<void> RecoverSegments();
  Result<LogSegmentScan> RecoverSegment(uint64_t first_batch, bool is_last);
  Result<void> ReplayRecords(const std::vector<LogRecord>& records);
  Result<void> ReplayEntry(LogEntry entry);
  Result<void> TrimToSnapshot();
  Result<void> RemoveInterruptedFormat();

  // Writes to a temporary file, syncs and renames it.
  Result<void> WriteFileAtomically(const std::string& name,
                                   std::span<const std::byte> data);
  Result<void> WriteBatch(std::vector<LogRecord> records);
  // Creates the file of the next segment; the first batch is not written yet.
  Result<void> OpenSegment();
  Result<void> StartSegment(std::vector<LogRecord> records);
  Result<void> AppendRecords(const std::optional<HardState>& hard_state,
                             std::span<const LogEntry> entries);
  Result<void> WriteSnapshot(const Snapshot& snapshot);
  Result<void> StartLogAfter(const Snapshot& snapshot,
                             std::span<const LogEntry> following_entries);
  Result<void> RemoveSegmentsBefore(uint64_t first_batch);
  Result<void> RemoveSnapshotsBefore(LogIndex index);
  // Stores the error of a failed operation, unless it may be repeated, and
  // returns `result`.
  Result<void> RecordError(Result<void> result);

  std::shared_ptr<Disk> disk_;
  std::optional<Error> storage_error_;
  RecoveredState recovered_;
  LogBase base_;  // Base record of the oldest segment.

  HardState hard_state_;
  // Numbers of the first batch of each segment, ascending.
  std::vector<uint64_t> segment_first_batches_;
  // Indexes of the stored snapshots, ascending.
  std::vector<LogIndex> snapshot_indexes_;
  std::unique_ptr<DiskFile> current_segment_;
  uint64_t current_segment_bytes_ = 0;
  uint64_t next_batch_ = 1;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STORAGE_REPLICA_STORE_H_
