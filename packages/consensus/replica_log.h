#ifndef PACKAGES_CONSENSUS_REPLICA_LOG_H_
#define PACKAGES_CONSENSUS_REPLICA_LOG_H_

#include <deque>
#include <optional>
#include <vector>

#include "packages/consensus/log_entry.h"

namespace bramleyrail {

// The entries of one replica in memory. Entries up to `base_index` were
// dropped by compaction or are covered by a snapshot.
class ReplicaLog {
 public:
  LogIndex base_index() const { return base_index_; }
  LogIndex last_index() const { return base_index_ + entries_.size(); }
  Term last_term() const;

  // nullopt when the entry is compacted or not there yet.
  std::optional<Term> TermAt(LogIndex index) const;
  const LogEntry& At(LogIndex index) const;

  // Appends one entry, whose index must be the next one.
  void Append(LogEntry entry);
  // Drops the entries from `index` on.
  void TruncateFrom(LogIndex index);
  // Drops the entries up to and including `index`.
  void CompactThrough(LogIndex index);
  // Drops everything and starts after a snapshot.
  void ResetTo(LogIndex index, Term term);

  // Copies entries from `first` on, at least one, and more while they stay
  // under both limits.
  std::vector<LogEntry> Slice(LogIndex first,
                              size_t maximum_entries,
                              size_t maximum_bytes) const;
  std::vector<LogEntry> Between(LogIndex first, LogIndex last) const;

 private:
  LogIndex base_index_ = 0;
  Term base_term_ = 0;
  std::deque<LogEntry> entries_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_REPLICA_LOG_H_
