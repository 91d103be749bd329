#include "packages/consensus/replica_log.h"

#include <utility>

#include "packages/base/base.h"

namespace bramleyrail {

Term ReplicaLog::last_term() const {
  return entries_.empty() ? base_term_ : entries_.back().term;
}

std::optional<Term> ReplicaLog::TermAt(LogIndex index) const {
  if (index == base_index_) {
    return base_term_;
  }
  if (index < base_index_ || index > last_index()) {
    return std::nullopt;
  }
  return At(index).term;
}

const LogEntry& ReplicaLog::At(LogIndex index) const {
  BRAMLEYRAIL_ASSERT(index > base_index_ && index <= last_index(),
                     "the entry is not in memory");
  return entries_[index - base_index_ - 1];
}

void ReplicaLog::Append(LogEntry entry) {
  BRAMLEYRAIL_ASSERT(entry.index == last_index() + 1,
                     "the entry does not follow the last entry of the log");
  entries_.push_back(std::move(entry));
}

void ReplicaLog::TruncateFrom(LogIndex index) {
  BRAMLEYRAIL_ASSERT(
      index > base_index_,
      "truncation would remove a compacted entry, which is committed");
  while (last_index() >= index) {
    entries_.pop_back();
  }
}

void ReplicaLog::CompactThrough(LogIndex index) {
  BRAMLEYRAIL_ASSERT(index <= last_index(),
                     "compaction would go beyond the last entry");
  while (base_index_ < index) {
    base_term_ = entries_.front().term;
    ++base_index_;
    entries_.pop_front();
  }
}

void ReplicaLog::ResetTo(LogIndex index, Term term) {
  entries_.clear();
  base_index_ = index;
  base_term_ = term;
}

std::vector<LogEntry> ReplicaLog::Slice(LogIndex first,
                                        size_t maximum_entries,
                                        size_t maximum_bytes) const {
  std::vector<LogEntry> slice;
  size_t bytes = 0;
  for (LogIndex index = first;
       index <= last_index() && slice.size() < maximum_entries; ++index) {
    const LogEntry& entry = At(index);
    bytes += entry.data.size();
    if (!slice.empty() && bytes > maximum_bytes) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

std::vector<LogEntry> ReplicaLog::Between(LogIndex first, LogIndex last) const {
  std::vector<LogEntry> entries;
  for (LogIndex index = first; index <= last; ++index) {
    entries.push_back(At(index));
  }
  return entries;
}

}  // namespace bramleyrail
