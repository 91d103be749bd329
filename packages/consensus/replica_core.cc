#include "packages/consensus/replica_core.h"

#include <algorithm>
#include <chrono>

namespace bramleyrail {

namespace {

constexpr size_t kMaximumRetainedBytes = size_t{8} * 1024 * 1024;
// Probes of the last 5 s. An answer that is older is of no use.
constexpr size_t kMaximumProbes = 16;

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
      // The process that ran before may have heard from a leader just now, so
      // no vote is given until that leader's lease has run out.
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
  SendJoinRequests();
  SendProbe();
  const bool only_voter = configuration().voters.size() == 1;
  const bool timed_out = now_ - election_started_ >= election_timeout_;
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
      CountVote(message);
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
    case MessageType::kJoinAnswer:
      LearnPeers(message.configuration);
      break;
    case MessageType::kFreshnessProbe:
      HandleProbe(message);
      break;
    case MessageType::kFreshnessAnswer:
      HandleProbeAnswer(message);
      break;
  }
}

Result<LogIndex> ReplicaCore::Propose(Bytes command) {
  if (command.size() > kMaximumCommandBytes) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "the command is larger than 4 MB",
                     "split it into smaller commands");
  }
  if (!HoldsLease() || transfer_started_) {
    return MakeError(ErrorKind::kUnavailable,
                     "this replica does not lead the log",
                     "propose to the current leader");
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
    BRAMLEYRAIL_ASSERT(decoded.has_value(), "a configuration entry is valid");
    configuration = std::move(decoded).value();
  }
  log_.Append(std::move(entry));
  if (configuration) {
    SetConfiguration(index, std::move(*configuration));
  }
}

void ReplicaCore::TruncateFrom(LogIndex index) {
  BRAMLEYRAIL_ASSERT(index > commit_index_, "committed entries are kept");
  log_.TruncateFrom(index);
  unsynced_from_ = std::min(unsynced_from_, index);
  persisted_index_ = std::min(persisted_index_, index - 1);
  while (configurations_.size() > 1 && configurations_.back().first >= index) {
    configurations_.pop_back();
  }
  SyncProgress();
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

void ReplicaCore::Persisted(LogIndex index) {
  persisted_index_ = std::min(index, log_.last_index());
  if (role_ == ReplicaRole::kLeader) {
    UpdateCommit();
  }
  // A single voter leads only once its term is durable: a crash could otherwise
  // lead to two different entries of one term at its observers.
  if (role_ == ReplicaRole::kCandidate && HasQuorumOfVotes()) {
    BecomeLeader();
  }
}

void ReplicaCore::AdvanceCommit(LogIndex index) {
  BRAMLEYRAIL_ASSERT(index <= log_.last_index(), "a commit has its entry");
  commit_index_ = std::max(commit_index_, index);
}

void ReplicaCore::Compact(SnapshotPointer snapshot) {
  BRAMLEYRAIL_ASSERT(snapshot->index <= applied_index_,
                     "a snapshot holds applied entries only");
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
  // Nothing that was promised under the old id may be sent any more.
  output_.messages.clear();
  output_.messages_after_sync.clear();
  join_sent_at_ = std::nullopt;
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

void ReplicaCore::SendProbe() {
  const bool due = !probe_sent_at_ || now_ - *probe_sent_at_ >= kProbeInterval;
  if (!due || !leader_) {
    return;
  }
  probe_sent_at_ = now_;
  ConsensusMessage probe = MessageTo(MessageType::kFreshnessProbe, *leader_);
  open_probes_.push_back(probe.sent_at);
  if (open_probes_.size() > kMaximumProbes) {
    open_probes_.pop_front();
  }
  Send(std::move(probe));
}

void ReplicaCore::HandleProbe(const ConsensusMessage& message) {
  // Before an entry of its own term is committed, a new leader may know an old
  // commit index only.
  if (!HoldsLease() || !CommittedInTerm()) {
    return;
  }
  ConsensusMessage answer =
      MessageTo(MessageType::kFreshnessAnswer, message.from);
  answer.index = commit_index_;
  answer.sent_at = message.sent_at;
  Send(std::move(answer));
}

void ReplicaCore::HandleProbeAnswer(const ConsensusMessage& message) {
  // An answer to an earlier process may carry the time of another clock, since
  // the monotonic clock starts anew with the machine.
  if (std::erase(open_probes_, message.sent_at) == 0) {
    return;
  }
  answered_probes_.emplace_back(FromNanoseconds(message.sent_at),
                                message.index);
  if (answered_probes_.size() > kMaximumProbes) {
    answered_probes_.pop_front();
  }
  UpdateFreshness();
}

void ReplicaCore::UpdateFreshness() {
  while (!answered_probes_.empty() &&
         answered_probes_.front().second <= applied_index_) {
    const MonotonicTime sent_at = answered_probes_.front().first;
    fresh_as_of_ = std::max(fresh_as_of_.value_or(sent_at), sent_at);
    answered_probes_.pop_front();
  }
}

std::optional<MonotonicTime> ReplicaCore::FreshAsOf() const {
  if (role_ == ReplicaRole::kLeader && CommittedInTerm()) {
    const std::optional<MonotonicTime> start = LeaseStart();
    if (start) {
      return std::max(fresh_as_of_.value_or(*start), *start);
    }
  }
  return fresh_as_of_;
}

}  // namespace bramleyrail
