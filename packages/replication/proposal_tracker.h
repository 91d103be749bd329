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

// A command to append to the log.
struct Proposal {
  Bytes command;
  ProposeCallback callback;
  MonotonicTime deadline;
};

// Tracks each proposal from its submission to its single callback: it waits for
// a leader, is appended locally or forwarded to the leader, and is applied. Not
// thread-safe.
class ProposalTracker {
 public:
  // Forwards a command to an instance. Returns false when it is known not to
  // have been sent.
  using Forward = std::function<
      bool(const std::string& peer, uint64_t call, const Bytes& command)>;

  // `first_call` must differ between processes of an instance, so that a late
  // result for an earlier process is not mistaken for a current one.
  ProposalTracker(Forward forward, uint64_t first_call);

  void Submit(Proposal proposal);
  // Appends the waiting proposals to the log of `core`, or forwards them to the
  // leader, and fails proposals past their deadline. `core` may be null.
  void Step(ReplicaCore* core, MonotonicTime now);
  // Appends a command that another instance forwarded. Fails it immediately
  // with kUnavailable when this replica does not hold the lease.
  void SubmitForwarded(ReplicaCore* core, Proposal proposal);
  // Handles the leader's response to a forwarded command.
  void HandleForwardedResult(uint64_t call,
                             Result<Bytes> result,
                             MonotonicTime now);
  // Handles the application of `entry`, for which `apply` returned `response`.
  void HandleApplied(const LogEntry& entry,
                     std::span<const std::byte> response);
  // Handles a snapshot that replaced the entries up to and including `index`.
  void HandleSnapshotInstalled(LogIndex index);
  // Fails all open proposals.
  void Stop();

 private:
  struct WaitingProposal {
    Proposal proposal;
    MonotonicTime retry_at;
  };
  // Includes the term, since after two leader changes the same index can hold
  // another proposal of this replica.
  struct LogPosition {
    LogIndex index = 0;
    Term term = 0;

    bool operator==(const LogPosition&) const = default;
    bool operator<(const LogPosition& other) const {
      return std::tie(index, term) < std::tie(other.index, other.term);
    }
  };

  void AppendOrForward(ReplicaCore* core,
                       WaitingProposal waiting,
                       MonotonicTime now);
  void Append(ReplicaCore* core, Proposal proposal);
  void Expire(MonotonicTime now);

  Forward forward_;
  uint64_t next_call_;
  std::deque<WaitingProposal> waiting_;
  std::map<uint64_t, Proposal> forwarded_;  // Key: call number.
  std::map<LogPosition, Proposal> appended_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_REPLICATION_PROPOSAL_TRACKER_H_
