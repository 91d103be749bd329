#ifndef PACKAGES_CONSENSUS_REPLICA_CORE_H_
#define PACKAGES_CONSENSUS_REPLICA_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "packages/base/base.h"
#include "packages/consensus/configuration.h"
#include "packages/consensus/consensus_message.h"
#include "packages/consensus/follower_progress.h"
#include "packages/consensus/log_entry.h"
#include "packages/consensus/replica_log.h"

namespace bramleyrail {

inline constexpr Milliseconds kHeartbeatInterval{150};
inline constexpr Milliseconds kMinimumElectionTimeout{1000};
inline constexpr Milliseconds kMaximumElectionTimeout{2000};
// The minimum election timeout less 10%, which covers clocks whose rates
// differ by 5%.
inline constexpr Milliseconds kLeadershipLease{900};
inline constexpr Milliseconds kProbeInterval{300};
inline constexpr size_t kSnapshotChunkBytes = size_t{64} * 1024;
// A larger command would not fit into a frame between instances with the
// envelope around it.
inline constexpr size_t kMaximumCommandBytes = size_t{4} * 1024 * 1024;

enum class ReplicaRole { kFollower, kPreCandidate, kCandidate, kLeader };

std::string_view ReplicaRoleName(ReplicaRole role);

// One replica of the log (Raft with pre-vote, check-quorum and a leadership
// lease). Pure: time, messages and proposals come in, and TakeOutput() says
// what to send, sync and apply. Not thread-safe.
//
// After each call of TakeOutput() the driver sends `messages`; makes
// `snapshot`, `hard_state` and `entries` durable; calls Persisted(); sends
// `messages_after_sync`; restores the snapshot and applies `committed`.
class ReplicaCore {
 public:
  enum class Kind {
    kReplica,   // Stores the log on disk; a voter or learner.
    kObserver,  // Keeps the log in memory and never votes.
  };

  struct Options {
    ReplicaId id;
    Kind kind = Kind::kReplica;
    // Names of all instances, which may include the own one. A replica outside
    // the configuration asks them for the log.
    std::vector<std::string> peers;
    uint64_t seed = 0;
    MonotonicTime now;
    // Configuration before the first entry; empty for a replica that joins.
    Configuration initial_configuration;
    // Learners become voters up to this number, and then in the place of a
    // voter that falls silent. 0: no limit.
    size_t target_voters = 0;
    // What storage recovered.
    HardState hard_state;
    SnapshotPointer snapshot;
    std::vector<LogEntry> entries;
    // Entries that stay in memory after a snapshot, so that a follower that
    // lags a little does not need the whole snapshot.
    LogIndex retained_entries = 4096;
    // False until every initial voter has formed.
    bool may_campaign = true;
  };

  struct Output {
    std::vector<ConsensusMessage> messages;
    // Replaces the whole state and the log up to its index.
    SnapshotPointer snapshot;
    std::optional<HardState> hard_state;
    // Replace what is stored from the first entry's index on.
    std::vector<LogEntry> entries;
    std::vector<ConsensusMessage> messages_after_sync;
    std::vector<LogEntry> committed;

    bool NeedsSync() const {
      return snapshot != nullptr || hard_state || !entries.empty();
    }
  };

  explicit ReplicaCore(Options options);

  // Sets the time without running timers. Call it after a batch of messages was
  // taken in and before Receive(), so that a message never counts as received
  // earlier than it was sent.
  void AdvanceTime(MonotonicTime now);
  // Sets the time and runs the timers. Call it at least every 50 ms, after the
  // messages that are waiting: a replica that was paused then hears from its
  // leader before it campaigns.
  void Tick(MonotonicTime now);
  void Receive(ConsensusMessage message);

  // Appends a command. kUnavailable unless this replica leads under a lease;
  // kInvalidArgument when the command is too large.
  Result<LogIndex> Propose(Bytes command);
  // Starts one step of a membership change. kUnavailable unless this replica
  // leads; kFailedPrecondition while an earlier step is not committed.
  Result<LogIndex> ChangeMembership(const MembershipChange& change);
  // Hands leadership to the voter whose log is most complete. The leader stops
  // taking proposals and steps down once that voter has the whole log.
  Result<void> TransferLeadership();

  Output TakeOutput();
  // Everything of the last output is durable.
  void Persisted(LogIndex index);
  // The driver saved a snapshot; entries well before it are dropped.
  void Compact(SnapshotPointer snapshot);
  // Every initial voter has formed.
  void AllowCampaign() { may_campaign_ = true; }
  // The disk failed: continue under a new id, without votes.
  void BecomeObserver(uint64_t generation);

  const ReplicaId& id() const { return id_; }
  Kind kind() const { return kind_; }
  ReplicaRole role() const { return role_; }
  const std::optional<ReplicaId>& leader() const { return leader_; }
  const HardState& hard_state() const { return hard_state_; }
  Term term() const { return hard_state_.term; }
  LogIndex commit_index() const { return commit_index_; }
  LogIndex applied_index() const { return applied_index_; }
  LogIndex last_index() const { return log_.last_index(); }
  const Configuration& configuration() const {
    return configurations_.back().second;
  }
  Configuration ConfigurationAt(LogIndex index) const;
  std::optional<Term> TermAt(LogIndex index) const;
  std::vector<LogEntry> EntriesBetween(LogIndex first, LogIndex last) const;

  // Leads, and an entry of its own term is committed: it knows everything that
  // earlier leaders committed.
  bool CommittedInTerm() const;
  // Leads, and a quorum acknowledged a heartbeat within the lease.
  bool HoldsLease() const;
  // End of the lease on the own clock; nullopt when it does not lead.
  std::optional<MonotonicTime> LeaseEnd() const;
  // The state is at least as recent as this time of the own clock.
  std::optional<MonotonicTime> FreshAsOf() const;

 private:
  // replica_core.cc
  void AppendEntry(LogEntry entry);
  void TruncateFrom(LogIndex index);
  void AdvanceCommit(LogIndex index);
  void Send(ConsensusMessage message);
  void SendAfterSync(ConsensusMessage message);
  ConsensusMessage MessageTo(MessageType type, const ReplicaId& to) const;
  void SendProbe();
  void HandleProbe(const ConsensusMessage& message);
  void HandleProbeAnswer(const ConsensusMessage& message);
  void UpdateFreshness();

  // replica_core_election.cc
  void ResetElectionTimer();
  void BecomeFollower(Term term, std::optional<ReplicaId> leader);
  void StartPreVote();
  void StartCampaign(bool transfer);
  void BecomeLeader();
  void CountVote(const ConsensusMessage& message);
  void HandleVoteRequest(const ConsensusMessage& message);
  bool HeardFromLeaderRecently() const;
  bool LogIsCurrent(const ConsensusMessage& message) const;
  bool MayCampaign() const;
  bool HasQuorumOfVotes() const;

  // replica_core_leader.cc
  void TickLeader();
  void ReplicateToAll(bool heartbeat);
  void ReplicateTo(const ReplicaId& id,
                   FollowerProgress* progress,
                   bool heartbeat);
  void SendAppend(const ReplicaId& id,
                  FollowerProgress* progress,
                  std::vector<LogEntry> entries);
  void SendSnapshotChunks(const ReplicaId& id, FollowerProgress* progress);
  void HandleAppendResponse(const ConsensusMessage& message);
  void HandleSnapshotResponse(const ConsensusMessage& message);
  void UpdateCommit();
  void ContinueTransfer();
  FollowerProgress* ProgressOf(const ReplicaId& id);
  std::optional<MonotonicTime> LeaseStart() const;

  // replica_core_follower.cc
  void HandleAppendRequest(ConsensusMessage message);
  void HandleSnapshotChunk(ConsensusMessage message);
  void InstallSnapshot(SnapshotPointer snapshot);
  void AcceptLeader(const ConsensusMessage& message);

  // replica_core_membership.cc
  void SetConfiguration(LogIndex index, Configuration configuration);
  void SyncProgress();
  void HandleJoinRequest(const ConsensusMessage& message);
  // Adds the members to those that are asked for the log.
  void LearnPeers(const Configuration& configuration);
  void SendJoinRequests();
  void AdvanceMembership();
  std::optional<MembershipChange> NextMembershipChange();
  bool IsActive(const ReplicaId& id) const;
  bool IsSilent(const ReplicaId& id) const;
  // The silent voter that was heard least recently, or nullptr.
  const ReplicaId* LongestSilentVoter() const;

  ReplicaId id_;
  Kind kind_;
  std::vector<std::string> peers_;
  size_t target_voters_;
  std::mt19937_64 random_;
  MonotonicTime now_;
  LogIndex retained_entries_;
  bool may_campaign_;

  HardState hard_state_;
  ReplicaLog log_;
  SnapshotPointer snapshot_;
  // Configurations by the index of their entry; the last one is in effect.
  std::deque<std::pair<LogIndex, Configuration>> configurations_;
  LogIndex commit_index_ = 0;
  LogIndex applied_index_ = 0;
  LogIndex persisted_index_ = 0;
  // First entry that TakeOutput() has not handed out for syncing.
  LogIndex unsynced_from_ = 1;

  ReplicaRole role_ = ReplicaRole::kFollower;
  std::optional<ReplicaId> leader_;
  MonotonicTime leader_contact_;
  MonotonicTime election_started_;
  Milliseconds election_timeout_{0};
  std::set<ReplicaId> votes_;

  std::map<ReplicaId, FollowerProgress> progress_;
  std::map<ReplicaId, MonotonicTime> observers_;
  std::map<ReplicaId, MonotonicTime> joining_;
  MonotonicTime became_leader_at_;
  MonotonicTime heartbeat_sent_at_;
  LogIndex term_start_index_ = 0;
  std::optional<ReplicaId> transfer_target_;
  std::optional<MonotonicTime> transfer_started_;

  // A snapshot that is being received.
  std::shared_ptr<Snapshot> incoming_snapshot_;

  std::optional<MonotonicTime> probe_sent_at_;
  std::optional<MonotonicTime> join_sent_at_;
  // Send times of the probes that were not answered, in nanoseconds.
  std::deque<int64_t> open_probes_;
  // Answered probes whose index is not applied yet: send time and index.
  std::deque<std::pair<MonotonicTime, LogIndex>> answered_probes_;
  std::optional<MonotonicTime> fresh_as_of_;

  Output output_;
  bool hard_state_changed_ = false;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_REPLICA_CORE_H_
