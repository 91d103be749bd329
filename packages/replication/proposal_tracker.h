#ifndef PACKAGES_REPLICATION_PROPOSAL_TRACKER_H_
#define PACKAGES_REPLICATION_PROPOSAL_TRACKER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "packages/consensus/consensus.h"

namespace bramleyrail {

using ProposeCallback = std::function<void(Result<Bytes>)>;

// A command that an instance wants in the log.
struct Proposal {
  Bytes command;
  ProposeCallback callback;
  MonotonicTime deadline;
};

// Follows each proposal from its submission to its one callback: it waits for a
// leader, is appended here or forwarded, and is applied. Not thread-safe.
class ProposalTracker {
 public:
  // Forwards a command to an instance; false when it was certainly not sent.
  using Forward = std::function<
      bool(const std::string& peer, uint64_t call, const Bytes& command)>;

  // `first_call` must differ between processes of an instance, so that a late
  // result for an earlier process is not taken for a current one.
  ProposalTracker(Forward forward, uint64_t first_call);

  void Submit(Proposal proposal);
  // Appends what waits to the log of `core`, or forwards it to the leader, and
  // fails what is past its deadline. `core` may be null.
  void Step(ReplicaCore* core, MonotonicTime now);
  // Appends a command that another instance forwarded. Answers at once with
  // kUnavailable when this replica does not lead.
  void SubmitForwarded(ReplicaCore* core, Proposal proposal);
  // The leader answered a forwarded command.
  void Answer(uint64_t call, Result<Bytes> result, MonotonicTime now);
  // The entry was applied with this answer.
  void Applied(const LogEntry& entry, std::span<const std::byte> answer);
  // A snapshot replaced the entries up to and including `index`.
  void Skipped(LogIndex index);
  // Fails everything that is open.
  void Stop();

 private:
  struct Waiting {
    Proposal proposal;
    MonotonicTime retry_at;
  };
  // The term is part of the position: after two changes of leadership, the
  // same index can hold another proposal of this replica.
  struct LogPosition {
    LogIndex index = 0;
    Term term = 0;

    bool operator==(const LogPosition&) const = default;
    bool operator<(const LogPosition& other) const {
      return std::tie(index, term) < std::tie(other.index, other.term);
    }
  };

  void Place(ReplicaCore* core, Waiting waiting, MonotonicTime now);
  void Append(ReplicaCore* core, Proposal proposal);
  void Expire(MonotonicTime now);

  Forward forward_;
  uint64_t next_call_;
  std::deque<Waiting> waiting_;
  std::map<uint64_t, Proposal> forwarded_;  // By call.
  std::map<LogPosition, Proposal> appended_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_REPLICATION_PROPOSAL_TRACKER_H_
