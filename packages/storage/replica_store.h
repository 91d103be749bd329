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

// Written once, when the folder is formatted.
struct ReplicaIdentity {
  ReplicaId id;
  // The initial voters; empty for a replica that joins a cluster.
  Configuration initial_configuration;
};

struct RecoveredState {
  std::optional<ReplicaIdentity> identity;  // nullopt: the folder is empty.
  HardState hard_state;
  SnapshotPointer snapshot;
  std::vector<LogEntry> entries;  // Those after the snapshot.
  uint64_t truncated_bytes = 0;   // Length of a torn tail that was cut off.
};

// Hard state, log and snapshot of one replica in one folder. Every change is
// durable when the call returns. After a failed write or sync each further call
// fails: the page cache cannot be trusted any more. Not thread-safe.
class ReplicaStore {
 public:
  // kDataLoss when a record that was synced is damaged or missing.
  static Result<std::unique_ptr<ReplicaStore>> Open(std::shared_ptr<Disk> disk);

  // What Open() found. Moves the state out.
  RecoveredState TakeRecovered() { return std::move(recovered_); }

  // Turns the empty folder into that of a new replica.
  Result<void> Format(const ReplicaIdentity& identity);
  // Stores a new hard state and entries with one sync. The entries replace what
  // is stored from the first one's index on.
  Result<void> Append(const std::optional<HardState>& hard_state,
                      std::span<const LogEntry> entries);
  // Stores a snapshot and starts a new log with the entries that follow it.
  Result<void> SaveSnapshot(const Snapshot& snapshot,
                            std::span<const LogEntry> following);

  // The fault that stopped the store.
  const std::optional<Error>& fault() const { return fault_; }

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
  Result<void> RemoveUnfinishedFormat();

  Result<void> WriteFile(const std::string& name,
                         std::span<const std::byte> data);
  Result<void> WriteBatch(std::vector<LogRecord> records);
  Result<void> StartSegment(std::vector<LogRecord> records);
  Result<void> AppendUnguarded(const std::optional<HardState>& hard_state,
                               std::span<const LogEntry> entries);
  Result<void> SaveSnapshotUnguarded(const Snapshot& snapshot,
                                     std::span<const LogEntry> following);
  Result<void> StartLogAfter(const Snapshot& snapshot,
                             std::span<const LogEntry> following);
  Result<void> RemoveSegmentsBefore(uint64_t first_batch);
  Result<void> RemoveSnapshotsBefore(LogIndex index);
  Result<void> Guard(Result<void> result);

  std::shared_ptr<Disk> disk_;
  std::optional<Error> fault_;
  RecoveredState recovered_;
  LogBase base_;  // Of the oldest segment.

  HardState hard_state_;
  // Numbers of the first batch of each segment, ascending.
  std::vector<uint64_t> segments_;
  std::vector<LogIndex> snapshot_indexes_;  // Of the stored snapshots.
  std::unique_ptr<DiskFile> segment_;
  uint64_t segment_bytes_ = 0;
  uint64_t next_batch_ = 1;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STORAGE_REPLICA_STORE_H_
