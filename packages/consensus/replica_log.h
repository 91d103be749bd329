#ifndef PACKAGES_CONSENSUS_REPLICA_LOG_H_
#define PACKAGES_CONSENSUS_REPLICA_LOG_H_

#include <deque>
#include <optional>
#include <vector>

#include "packages/consensus/log_entry.h"

namespace bramleyrail {

// The log entries of one replica that are in memory. Entries up to and
// including `base_index` were removed by compaction or are covered by a
// snapshot.
class ReplicaLog {
 public:
  LogIndex base_index() const { return base_index_; }
  LogIndex last_index() const { return base_index_ + entries_.size(); }
  Term last_term() const;

  // Returns the term of an entry, or nullopt when the entry is compacted or
  // does not exist yet.
  std::optional<Term> TermAt(LogIndex index) const;
  const LogEntry& At(LogIndex index) const;

  // Appends one entry. Its index must be last_index() + 1.
  void Append(LogEntry entry);
  // Removes the entries from `index` on.
  void TruncateFrom(LogIndex index);
  // Removes the entries up to and including `index`.
  void CompactThrough(LogIndex index);
  // Removes all entries. The next entry follows the snapshot at `index`.
  void ResetTo(LogIndex index, Term term);

  // Copies entries from `first` on: at least one if it exists, and more while
  // they stay within both limits.
  std::vector<LogEntry> Slice(LogIndex first,
                              size_t maximum_entries,
                              size_t maximum_bytes) const;
  // Copies the entries from `first` to `last`, both inclusive.
  std::vector<LogEntry> Between(LogIndex first, LogIndex last) const;

 private:
  LogIndex base_index_ = 0;
  Term base_term_ = 0;
  std::deque<LogEntry> entries_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_REPLICA_LOG_H_
