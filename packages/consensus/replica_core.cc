#include "packages/consensus/replica_core.h"

#include <algorithm>
#include <chrono>

namespace bramleyrail {

namespace {

constexpr size_t kMaximumRetainedBytes = size_t{8} * 1024 * 1024;
// Covers the freshness probes of the last 5 s. The response to an older one is
// of no use.
constexpr size_t kMaximumTrackedProbes = 16;

int64_t ToNanoseconds(MonotonicTime time) {
  const std::chrono::nanoseconds since_start = time.time_since_epoch();
  return since_start.count();
}

MonotonicTime FromNanoseconds(int64_t nanoseconds) {
  return MonotonicTime(std::chrono::nanoseconds(nanoseconds));
}

}  // namespace

std::string_view ReplicaRoleName(ReplicaRole role) {
  switch (role) {
    case ReplicaRole::kFollower:
      return "follower";
    case ReplicaRole::kPreCandidate:
      return "pre_candidate";
    case ReplicaRole::kCandidate:
      return "candidate";
    case ReplicaRole::kLeader:
      return "leader";
  }
  BRAMLEYRAIL_ASSERT(false, "unknown replica role");
}

ReplicaCore::ReplicaCore(Options options)
    : id_(std::move(options.id)),
      kind_(options.kind),
      peers_(std::move(options.peers)),
      target_voters_(options.target_voters),
      random_(options.seed),
      now_(options.now),
      retained_entries_(options.retained_entries),
      may_campaign_(options.may_campaign),
      hard_state_(std::move(options.hard_state)),
      snapshot_(std::move(options.snapshot)),
      // The previous process may have received a message of a leader
      // immediately before this start, so this replica does not vote until the
      // lease of that leader has expired.
      leader_contact_(options.now) {
  configurations_.emplace_back(0, std::move(options.initial_configuration));
  if (snapshot_) {
    log_.ResetTo(snapshot_->index, snapshot_->term);
    configurations_.clear();
    configurations_.emplace_back(snapshot_->index, snapshot_->configuration);
    commit_index_ = snapshot_->index;
    applied_index_ = snapshot_->index;
  }
  for (LogEntry& entry : options.entries) {
    AppendEntry(std::move(entry));
  }
  persisted_index_ = log_.last_index();
  unsynced_from_ = log_.last_index() + 1;
  ResetElectionTimer();
}

void ReplicaCore::AdvanceTime(MonotonicTime now) {
  now_ = std::max(now_, now);
}

void ReplicaCore::Tick(MonotonicTime now) {
  AdvanceTime(now);
  if (role_ == ReplicaRole::kLeader) {
    TickLeader();
    return;
  }
  // A replica that may not campaign would name a leader that is gone for good,
  // and requests would be relayed there.
  if (leader_ && now_ - leader_contact_ >= kMaximumElectionTimeout) {
    leader_ = std::nullopt;
  }
  SendJoinRequests();
  SendFreshnessProbe();
  const bool only_voter = configuration().voters.size() == 1;
  const bool timed_out = now_ - election_timer_started_at_ >= election_timeout_;
  if (MayCampaign() && (timed_out || only_voter)) {
    StartPreVote();
  }
}

void ReplicaCore::Receive(ConsensusMessage message) {
  const bool for_this_replica =
      message.to == id_ ||
      (message.to.name == id_.name && message.to.generation == kAnyGeneration);
  if (!for_this_replica || message.from == id_) {
    return;
  }
  switch (message.type) {
    case MessageType::kPreVoteRequest:
    case MessageType::kVoteRequest:
      HandleVoteRequest(message);
      break;
    case MessageType::kPreVoteResponse:
    case MessageType::kVoteResponse:
      HandleVoteResponse(message);
      break;
    case MessageType::kAppendRequest:
      HandleAppendRequest(std::move(message));
      break;
    case MessageType::kAppendResponse:
      HandleAppendResponse(message);
      break;
    case MessageType::kSnapshotChunk:
      HandleSnapshotChunk(std::move(message));
      break;
    case MessageType::kSnapshotResponse:
      HandleSnapshotResponse(message);
      break;
    case MessageType::kTimeoutNow:
      if (message.term == term() && role_ == ReplicaRole::kFollower &&
          MayCampaign()) {
        StartCampaign(/*transfer=*/true);
      }
      break;
    case MessageType::kJoinRequest:
      HandleJoinRequest(message);
      break;
    case MessageType::kJoinResponse:
      AddPeers(message.configuration);
      break;
    case MessageType::kFreshnessProbe:
      HandleFreshnessProbe(message);
      break;
    case MessageType::kFreshnessResponse:
      HandleFreshnessResponse(message);
      break;
  }
}

Result<LogIndex> ReplicaCore::Propose(Bytes command) {
  if (command.size() > kMaximumCommandBytes) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "the command is larger than the maximum of 4 MB",
                     "split it into smaller commands");
  }
  if (!HoldsLease() || transfer_started_at_) {
    return MakeError(ErrorKind::kUnavailable,
                     "this replica is not the leader, or is transferring its "
                     "leadership",
                     "propose the command to the current leader");
  }
  const LogIndex index = log_.last_index() + 1;
  AppendEntry({index, term(), EntryKind::kCommand, std::move(command)});
  return index;
}

void ReplicaCore::AppendEntry(LogEntry entry) {
  const LogIndex index = entry.index;
  std::optional<Configuration> configuration;
  if (entry.kind == EntryKind::kConfiguration) {
    Result<Configuration> decoded = Configuration::Decode(entry.data);
    BRAMLEYRAIL_ASSERT(decoded.has_value(),
                       "a configuration entry of the log cannot be decoded");
    configuration = std::move(decoded).value();
  }
  log_.Append(std::move(entry));
  if (configuration) {
    SetConfiguration(index, std::move(*configuration));
  }
}

void ReplicaCore::TruncateFrom(LogIndex index) {
  BRAMLEYRAIL_ASSERT(index > commit_index_,
                     "truncation would remove a committed entry");
  log_.TruncateFrom(index);
  unsynced_from_ = std::min(unsynced_from_, index);
  persisted_index_ = std::min(persisted_index_, index - 1);
  while (configurations_.size() > 1 && configurations_.back().first >= index) {
    configurations_.pop_back();
  }
  UpdateFollowerProgress();
}

ReplicaCore::Output ReplicaCore::TakeOutput() {
  if (role_ == ReplicaRole::kLeader) {
    ReplicateToAll(/*heartbeat=*/false);
  }
  Output output = std::move(output_);
  output_ = Output();
  if (hard_state_changed_) {
    output.hard_state = hard_state_;
    hard_state_changed_ = false;
  }
  output.entries = log_.Between(unsynced_from_, log_.last_index());
  unsynced_from_ = log_.last_index() + 1;
  output.committed = log_.Between(applied_index_ + 1, commit_index_);
  applied_index_ = commit_index_;
  UpdateFreshness();
  return output;
}

void ReplicaCore::HandlePersisted(LogIndex index) {
  persisted_index_ = std::min(index, log_.last_index());
  if (role_ == ReplicaRole::kLeader) {
    UpdateCommit();
  }
  // A single voter becomes leader only when its term is durable. Otherwise a
  // crash could lead to two different entries with the same index and term at
  // its observers.
  if (role_ == ReplicaRole::kCandidate && HasQuorumOfVotes()) {
    BecomeLeader();
  }
}

void ReplicaCore::AdvanceCommit(LogIndex index) {
  BRAMLEYRAIL_ASSERT(index <= log_.last_index(),
                     "the commit index is beyond the last entry of the log");
  commit_index_ = std::max(commit_index_, index);
}

void ReplicaCore::Compact(SnapshotPointer snapshot) {
  BRAMLEYRAIL_ASSERT(snapshot->index <= applied_index_,
                     "the snapshot contains an entry that is not applied");
  snapshot_ = std::move(snapshot);
  LogIndex through = snapshot_->index;
  size_t bytes = 0;
  while (through > log_.base_index() &&
         snapshot_->index - through < retained_entries_) {
    bytes += log_.At(through).data.size();
    if (bytes > kMaximumRetainedBytes) {
      break;
    }
    --through;
  }
  log_.CompactThrough(through);
  while (configurations_.size() > 1 &&
         configurations_[1].first <= snapshot_->index) {
    configurations_.pop_front();
  }
}

void ReplicaCore::BecomeObserver(uint64_t generation) {
  BecomeFollower(term(), std::nullopt);
  id_.generation = generation;
  kind_ = Kind::kObserver;
  incoming_snapshot_ = nullptr;
  // Messages of the old id may contain promises that this replica no longer
  // keeps, such as votes, so they must not be sent.
  output_.messages.clear();
  output_.messages_after_sync.clear();
  join_sent_at_ = std::nullopt;
}

void ReplicaCore::BecomeReplica(const ReplicaId& id) {
  BRAMLEYRAIL_ASSERT(kind_ == Kind::kObserver,
                     "only an observer can become a replica");
  id_ = id;
  kind_ = Kind::kReplica;
  incoming_snapshot_ = nullptr;
  output_.messages.clear();
  output_.messages_after_sync.clear();
  hard_state_changed_ = false;
  persisted_index_ = log_.last_index();
  unsynced_from_ = log_.last_index() + 1;
  join_sent_at_ = std::nullopt;
  // As after a restart, this replica does not vote until the lease of a leader
  // that may have counted on it has expired.
  leader_contact_ = now_;
  ResetElectionTimer();
}

std::optional<Milliseconds> ReplicaCore::TimeWithoutLeader() const {
  if (role_ == ReplicaRole::kLeader) {
    return std::nullopt;
  }
  return std::chrono::floor<Milliseconds>(
      now_ - std::max(leader_contact_, stepped_down_at_));
}

Configuration ReplicaCore::ConfigurationAt(LogIndex index) const {
  const Configuration* found = &configurations_.front().second;
  for (const auto& [start, configuration] : configurations_) {
    if (start <= index) {
      found = &configuration;
    }
  }
  return *found;
}

std::optional<Term> ReplicaCore::TermAt(LogIndex index) const {
  return log_.TermAt(index);
}

std::vector<LogEntry> ReplicaCore::EntriesBetween(LogIndex first,
                                                  LogIndex last) const {
  return log_.Between(first, last);
}

void ReplicaCore::Send(ConsensusMessage message) {
  output_.messages.push_back(std::move(message));
}

void ReplicaCore::SendAfterSync(ConsensusMessage message) {
  output_.messages_after_sync.push_back(std::move(message));
}

ConsensusMessage ReplicaCore::MessageTo(MessageType type,
                                        const ReplicaId& to) const {
  ConsensusMessage message;
  message.type = type;
  message.from = id_;
  message.to = to;
  message.term = term();
  message.sent_at = ToNanoseconds(now_);
  return message;
}

void ReplicaCore::SendFreshnessProbe() {
  const bool due = !freshness_probe_sent_at_ ||
                   now_ - *freshness_probe_sent_at_ >= kFreshnessProbeInterval;
  if (!due || !leader_) {
    return;
  }
  freshness_probe_sent_at_ = now_;
  ConsensusMessage probe = MessageTo(MessageType::kFreshnessProbe, *leader_);
  unanswered_probes_.push_back(probe.sent_at);
  if (unanswered_probes_.size() > kMaximumTrackedProbes) {
    unanswered_probes_.pop_front();
  }
  Send(std::move(probe));
}

void ReplicaCore::HandleFreshnessProbe(const ConsensusMessage& message) {
  // A new leader may have an outdated commit index until an entry of its own
  // term is committed.
  if (!HoldsLease() || !HasCommittedInTerm()) {
    return;
  }
  ConsensusMessage response =
      MessageTo(MessageType::kFreshnessResponse, message.from);
  response.index = commit_index_;
  response.sent_at = message.sent_at;
  Send(std::move(response));
}

void ReplicaCore::HandleFreshnessResponse(const ConsensusMessage& message) {
  // A response to an earlier process may contain a time of another clock, since
  // the monotonic clock restarts with the machine.
  if (std::erase(unanswered_probes_, message.sent_at) == 0) {
    return;
  }
  unapplied_probes_.emplace_back(FromNanoseconds(message.sent_at),
                                 message.index);
  if (unapplied_probes_.size() > kMaximumTrackedProbes) {
    unapplied_probes_.pop_front();
  }
  UpdateFreshness();
}

void ReplicaCore::UpdateFreshness() {
  while (!unapplied_probes_.empty() &&
         unapplied_probes_.front().second <= applied_index_) {
    const MonotonicTime sent_at = unapplied_probes_.front().first;
    fresh_as_of_ = std::max(fresh_as_of_.value_or(sent_at), sent_at);
    unapplied_probes_.pop_front();
  }
}

std::optional<MonotonicTime> ReplicaCore::FreshAsOf() const {
  if (role_ == ReplicaRole::kLeader && HasCommittedInTerm()) {
    const std::optional<MonotonicTime> start = LeaseStart();
    if (start) {
      return std::max(fresh_as_of_.value_or(*start), *start);
    }
  }
  return fresh_as_of_;
}

}  // namespace bramleyrail
