// ReplicaCore: elections with pre-votes and votes, and changes of the role.

#include <algorithm>
#include <utility>

#include "packages/consensus/replica_core.h"

namespace bramleyrail {

void ReplicaCore::ResetElectionTimer() {
  const auto range = static_cast<uint64_t>(
      (kMaximumElectionTimeout - kMinimumElectionTimeout).count());
  election_timer_started_at_ = now_;
  election_timeout_ = kMinimumElectionTimeout +
                      Milliseconds(static_cast<int64_t>(random_() % range));
}

void ReplicaCore::BecomeFollower(Term term, std::optional<ReplicaId> leader) {
  BRAMLEYRAIL_ASSERT(term >= hard_state_.term, "the term would decrease");
  if (term > hard_state_.term) {
    hard_state_ = {term, std::nullopt};
    hard_state_changed_ = true;
  }
  if (role_ != ReplicaRole::kFollower) {
    ResetElectionTimer();
  }
  if (role_ == ReplicaRole::kLeader) {
    fresh_as_of_ = FreshAsOf();
    stepped_down_at_ = now_;
  }
  role_ = ReplicaRole::kFollower;
  leader_ = std::move(leader);
  votes_.clear();
  progress_.clear();
  observers_.clear();
  join_requests_.clear();
  transfer_target_ = std::nullopt;
  transfer_started_at_ = std::nullopt;
}

bool ReplicaCore::MayCampaign() const {
  // A term above 0 shows that the cluster was formed earlier.
  return kind_ == Kind::kReplica && (may_campaign_ || term() > 0) &&
         configuration().IsVoter(id_);
}

bool ReplicaCore::HasRecentLeaderContact() const {
  if (role_ == ReplicaRole::kLeader) {
    return HoldsLease();
  }
  return now_ - leader_contact_ < kMinimumElectionTimeout;
}

bool ReplicaCore::IsCandidateLogUpToDate(
    const ConsensusMessage& message) const {
  if (message.log_term != log_.last_term()) {
    return message.log_term > log_.last_term();
  }
  return message.index >= log_.last_index();
}

void ReplicaCore::RecordElectionAnswers() {
  if (role_ != ReplicaRole::kPreCandidate && role_ != ReplicaRole::kCandidate) {
    return;
  }
  ElectionAnswers answers;
  answers.refused = refusals_;
  for (const ReplicaId& voter : configuration().voters) {
    const bool refused = std::any_of(
        refusals_.begin(), refusals_.end(),
        [&voter](const VoteRefusal& item) { return item.voter == voter; });
    if (votes_.contains(voter)) {
      answers.granted.push_back(voter);
    } else if (!refused) {
      answers.missing.push_back(voter);
    }
  }
  last_election_answers_ = std::move(answers);
}

void ReplicaCore::StartPreVote() {
  RecordElectionAnswers();
  role_ = ReplicaRole::kPreCandidate;
  leader_ = std::nullopt;
  votes_ = {id_};
  refusals_.clear();
  ResetElectionTimer();
  if (HasQuorumOfVotes()) {
    StartCampaign(/*transfer=*/false);
    return;
  }
  for (const ReplicaId& voter : configuration().voters) {
    if (voter == id_) {
      continue;
    }
    ConsensusMessage request = MessageTo(MessageType::kPreVoteRequest, voter);
    request.term = term() + 1;
    request.index = log_.last_index();
    request.log_term = log_.last_term();
    Send(std::move(request));
  }
}

void ReplicaCore::StartCampaign(bool transfer) {
  role_ = ReplicaRole::kCandidate;
  leader_ = std::nullopt;
  hard_state_ = {term() + 1, id_};
  hard_state_changed_ = true;
  votes_ = {id_};
  refusals_.clear();
  ResetElectionTimer();
  for (const ReplicaId& voter : configuration().voters) {
    if (voter == id_) {
      continue;
    }
    ConsensusMessage request = MessageTo(MessageType::kVoteRequest, voter);
    request.index = log_.last_index();
    request.log_term = log_.last_term();
    request.transfer = transfer;
    SendAfterSync(std::move(request));
  }
}

bool ReplicaCore::HasQuorumOfVotes() const {
  size_t count = 0;
  for (const ReplicaId& voter : configuration().voters) {
    count += votes_.contains(voter) ? 1 : 0;
  }
  return count >= configuration().Quorum();
}

void ReplicaCore::HandleVoteRequest(const ConsensusMessage& message) {
  const bool pre_vote = message.type == MessageType::kPreVoteRequest;
  if (kind_ == Kind::kObserver) {
    return;
  }
  // A leader whose lease may not have expired must not be replaced, unless it
  // released the lease itself for a transfer.
  if (message.term > term() && HasRecentLeaderContact() && !message.transfer) {
    return;
  }
  if (message.term > term() && !pre_vote) {
    BecomeFollower(message.term, std::nullopt);
  }
  const bool free_to_vote =
      pre_vote ? message.term > term()
               : message.term == term() &&
                     (!hard_state_.vote || *hard_state_.vote == message.from);
  const bool granted = free_to_vote && IsCandidateLogUpToDate(message);

  ConsensusMessage response = MessageTo(
      pre_vote ? MessageType::kPreVoteResponse : MessageType::kVoteResponse,
      message.from);
  response.rejected = !granted;
  response.index = log_.last_index();
  response.log_term = log_.last_term();
  // A granted pre-vote contains the term that was asked for; a rejected one
  // contains the term of this replica, so that a candidate with an older term
  // catches up.
  if (pre_vote && granted) {
    response.term = message.term;
  }
  if (granted && !pre_vote) {
    BecomeFollower(term(), std::nullopt);
    if (!hard_state_.vote) {
      hard_state_.vote = message.from;
      hard_state_changed_ = true;
    }
    ResetElectionTimer();
  }
  SendAfterSync(std::move(response));
}

void ReplicaCore::HandleVoteResponse(const ConsensusMessage& message) {
  const bool pre_vote = message.type == MessageType::kPreVoteResponse;
  if (message.rejected) {
    refusals_.push_back({message.from, message.log_term, message.index});
  }
  if (message.rejected && message.term > term()) {
    RecordElectionAnswers();
    BecomeFollower(message.term, std::nullopt);
    return;
  }
  const ReplicaRole expected_role =
      pre_vote ? ReplicaRole::kPreCandidate : ReplicaRole::kCandidate;
  const Term expected_term = pre_vote ? term() + 1 : term();
  if (role_ != expected_role || message.term != expected_term ||
      message.rejected) {
    return;
  }
  votes_.insert(message.from);
  if (!HasQuorumOfVotes()) {
    return;
  }
  if (pre_vote) {
    StartCampaign(/*transfer=*/false);
  } else {
    BecomeLeader();
  }
}

void ReplicaCore::BecomeLeader() {
  BRAMLEYRAIL_ASSERT(role_ == ReplicaRole::kCandidate,
                     "a replica that is not a candidate would become leader");
  role_ = ReplicaRole::kLeader;
  leader_ = id_;
  votes_.clear();
  last_election_answers_ = {};
  progress_.clear();
  became_leader_at_ = now_;
  heartbeat_sent_at_ = MonotonicTime::min();
  UpdateFollowerProgress();
  term_start_index_ = log_.last_index() + 1;
  AppendEntry({term_start_index_, term(), EntryKind::kConfiguration,
               configuration().Encode()});
  TickLeader();
}

}  // namespace bramleyrail
