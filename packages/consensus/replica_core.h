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
// 10% less than the minimum election timeout, which covers clocks whose rates
// differ by 5%.
inline constexpr Milliseconds kLeaderLeaseDuration{900};
inline constexpr Milliseconds kFreshnessProbeInterval{300};
inline constexpr size_t kSnapshotChunkBytes = size_t{64} * 1024;
// A larger command, with its envelope, would exceed the maximum frame size
// between instances.
inline constexpr size_t kMaximumCommandBytes = size_t{4} * 1024 * 1024;

enum class ReplicaRole { kFollower, kPreCandidate, kCandidate, kLeader };

std::string_view ReplicaRoleName(ReplicaRole role);

// A voter that refused its vote, and the last entry of its log.
struct VoteRefusal {
  ReplicaId voter;
  Term log_term = 0;
  LogIndex last_index = 0;
};

struct ElectionAnswers {
  std::vector<ReplicaId> granted;
  std::vector<VoteRefusal> refused;
  // Also voters that heard from a leader recently, which do not answer.
  std::vector<ReplicaId> missing;
};

// One replica of the log (Raft with pre-vote, check-quorum and a leader lease).
// Performs no I/O: the driver passes in time, messages and proposals, and
// TakeOutput() returns what to send, sync and apply. Not thread-safe.
//
// After each call of TakeOutput() the driver must, in this order: send
// `messages`; make `snapshot`, `hard_state` and `entries` durable; call
// HandlePersisted(); send `messages_after_sync`; restore the snapshot and apply
// `committed`.
class ReplicaCore {
 public:
  enum class Kind {
    kReplica,   // Stores the log on disk; a voter or learner.
    kObserver,  // Keeps the log in memory and never votes.
  };

  struct Options {
    ReplicaId id;
    Kind kind = Kind::kReplica;
    // Names of all instances, which may include this one. A replica outside the
    // configuration asks them for the log.
    std::vector<std::string> peers;
    uint64_t seed = 0;
    MonotonicTime now;
    // Configuration before the first log entry; empty for a replica that joins.
    Configuration initial_configuration;
    // Learners are promoted up to this number of voters; beyond it, only to
    // replace an unresponsive voter. 0: no limit.
    size_t target_voters = 0;
    // State that was recovered from storage.
    HardState hard_state;
    SnapshotPointer snapshot;
    std::vector<LogEntry> entries;
    // Number of entries before a snapshot that stay in memory, so that a
    // follower that lags a little does not need the whole snapshot.
    LogIndex retained_entries = 4096;
    // False until every initial voter has formatted its data folder.
    bool may_campaign = true;
  };

  struct Output {
    std::vector<ConsensusMessage> messages;
    // If set, replaces the whole state and the log up to the index of the
    // snapshot.
    SnapshotPointer snapshot;
    std::optional<HardState> hard_state;
    // Replace the stored entries from the index of the first of these on.
    std::vector<LogEntry> entries;
    std::vector<ConsensusMessage> messages_after_sync;
    std::vector<LogEntry> committed;  // Newly committed entries to apply.

    bool NeedsSync() const {
      return snapshot != nullptr || hard_state || !entries.empty();
    }
  };

  explicit ReplicaCore(Options options);

  // Sets the time without running timers. Call it after a batch of messages has
  // arrived and before Receive(), so that no message is handled at an earlier
  // time than it was sent.
  void AdvanceTime(MonotonicTime now);
  // Sets the time and runs the timers. Call it at least every 50 ms, after
  // Receive() was called for all waiting messages: a replica that was paused
  // then handles messages of its leader before it starts a campaign.
  void Tick(MonotonicTime now);
  void Receive(ConsensusMessage message);

  // Appends a command and returns its index. kUnavailable unless this replica
  // is the leader and holds its lease; kInvalidArgument when the command is too
  // large.
  Result<LogIndex> Propose(Bytes command);
  // Starts one step of a membership change. kUnavailable unless this replica is
  // the leader; kFailedPrecondition while an earlier step is not committed.
  Result<LogIndex> ChangeMembership(const MembershipChange& change);
  // Transfers leadership to the voter with the most complete log. The leader
  // rejects proposals and steps down once that voter has the whole log.
  Result<void> TransferLeadership();

  Output TakeOutput();
  // Tells the replica that the last output is durable, up to the entry at
  // `index`.
  void HandlePersisted(LogIndex index);
  // Tells the replica that the driver saved a snapshot. Removes the log entries
  // before it except for the retained ones.
  void Compact(SnapshotPointer snapshot);
  // Allows campaigns: every initial voter has formatted its data folder.
  void AllowCampaign() { may_campaign_ = true; }
  // Continues as an observer under a new id, without a vote, after the disk
  // failed. The term, the vote and the log are kept.
  void BecomeObserver(uint64_t generation);
  // Continues as the replica with this id after the driver has stored the hard
  // state, the whole log and a snapshot of the applied entries. Only the id
  // that the replica had before BecomeObserver() or one that is new is allowed.
  void BecomeReplica(const ReplicaId& id);

  const ReplicaId& id() const { return id_; }
  Kind kind() const { return kind_; }
  ReplicaRole role() const { return role_; }
  const std::optional<ReplicaId>& leader() const { return leader_; }
  const HardState& hard_state() const { return hard_state_; }
  Term term() const { return hard_state_.term; }
  // Time since the last message of a leader, since this replica led, or since
  // its start. nullopt while this replica leads.
  std::optional<Milliseconds> TimeWithoutLeader() const;
  // Whether this replica may start an election: it is a voter, and the cluster
  // has formed.
  bool MayCampaign() const;
  // Answers of the voters in the last election that this replica started and
  // did not win; empty when there is none.
  const ElectionAnswers& last_election_answers() const {
    return last_election_answers_;
  }
  LogIndex commit_index() const { return commit_index_; }
  LogIndex applied_index() const { return applied_index_; }
  LogIndex last_index() const { return log_.last_index(); }
  const Configuration& configuration() const {
    return configurations_.back().second;
  }
  // Index of the entry of that configuration; 0: the initial one.
  LogIndex configuration_index() const { return configurations_.back().first; }
  Configuration ConfigurationAt(LogIndex index) const;
  std::optional<Term> TermAt(LogIndex index) const;
  std::vector<LogEntry> EntriesBetween(LogIndex first, LogIndex last) const;

  // True when this replica is the leader and an entry of its own term is
  // committed. It then has all entries that earlier leaders committed.
  bool HasCommittedInTerm() const;
  // True when this replica is the leader and a quorum acknowledged a heartbeat
  // that was sent within the lease duration.
  bool HoldsLease() const;
  // End of the leader lease on the local clock; nullopt when this replica is
  // not the leader or a quorum has not acknowledged a heartbeat yet.
  std::optional<MonotonicTime> LeaseEnd() const;
  // The applied state is at least as recent as this time on the local clock.
  // nullopt when its age is not known yet.
  std::optional<MonotonicTime> FreshAsOf() const;

 private:
  // replica_core.cc
  void AppendEntry(LogEntry entry);
  void TruncateFrom(LogIndex index);
  void AdvanceCommit(LogIndex index);
  void Send(ConsensusMessage message);
  void SendAfterSync(ConsensusMessage message);
  ConsensusMessage MessageTo(MessageType type, const ReplicaId& to) const;
  void SendFreshnessProbe();
  void HandleFreshnessProbe(const ConsensusMessage& message);
  void HandleFreshnessResponse(const ConsensusMessage& message);
  void UpdateFreshness();

  // replica_core_election.cc
  void ResetElectionTimer();
  void BecomeFollower(Term term, std::optional<ReplicaId> leader);
  void StartPreVote();
  void StartCampaign(bool transfer);
  void BecomeLeader();
  void HandleVoteResponse(const ConsensusMessage& message);
  void HandleVoteRequest(const ConsensusMessage& message);
  bool HasRecentLeaderContact() const;
  bool IsCandidateLogUpToDate(const ConsensusMessage& message) const;
  bool HasQuorumOfVotes() const;
  void RecordElectionAnswers();

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
  void UpdateFollowerProgress();
  void HandleJoinRequest(const ConsensusMessage& message);
  // Adds the members of the configuration to the instances that are asked for
  // the log.
  void AddPeers(const Configuration& configuration);
  void SendJoinRequests();
  void AdvanceMembership();
  std::optional<MembershipChange> NextMembershipChange();
  bool IsActive(const ReplicaId& id) const;
  bool IsUnresponsive(const ReplicaId& id) const;
  // Returns the unresponsive voter with the oldest contact, or nullptr.
  const ReplicaId* LongestUnresponsiveVoter() const;

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
  // Configurations with the index of their entry. The last one is in effect.
  std::deque<std::pair<LogIndex, Configuration>> configurations_;
  LogIndex commit_index_ = 0;
  LogIndex applied_index_ = 0;
  LogIndex persisted_index_ = 0;
  // First entry that TakeOutput() has not returned for syncing yet.
  LogIndex unsynced_from_ = 1;

  ReplicaRole role_ = ReplicaRole::kFollower;
  std::optional<ReplicaId> leader_;
  MonotonicTime leader_contact_;
  MonotonicTime stepped_down_at_;  // When this replica last led.
  MonotonicTime election_timer_started_at_;
  Milliseconds election_timeout_{0};
  std::set<ReplicaId> votes_;
  std::vector<VoteRefusal> refusals_;
  ElectionAnswers last_election_answers_;

  std::map<ReplicaId, FollowerProgress> progress_;
  // Times of the last contact with each observer and of the last join request
  // of each replica outside the configuration.
  std::map<ReplicaId, MonotonicTime> observers_;
  std::map<ReplicaId, MonotonicTime> join_requests_;
  MonotonicTime became_leader_at_;
  MonotonicTime heartbeat_sent_at_;
  LogIndex term_start_index_ = 0;
  std::optional<ReplicaId> transfer_target_;
  std::optional<MonotonicTime> transfer_started_at_;

  // The snapshot that is being received.
  std::shared_ptr<Snapshot> incoming_snapshot_;

  std::optional<MonotonicTime> freshness_probe_sent_at_;
  std::optional<MonotonicTime> join_sent_at_;
  // Send times of the freshness probes without a response, in nanoseconds.
  std::deque<int64_t> unanswered_probes_;
  // Freshness probes with a response whose commit index is not applied yet:
  // send time and commit index.
  std::deque<std::pair<MonotonicTime, LogIndex>> unapplied_probes_;
  std::optional<MonotonicTime> fresh_as_of_;

  Output output_;
  bool hard_state_changed_ = false;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_REPLICA_CORE_H_
