// ReplicaCore: membership changes. They add or remove one replica at a time; a
// new replica is a learner before it becomes a voter.

#include <algorithm>
#include <utility>

#include "packages/consensus/replica_core.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kJoinRequestInterval{500};
// A join request that is not repeated within this time is discarded.
constexpr Milliseconds kJoinRequestExpiry{2000};
// A replica that responded within this time is active. One without a response
// for this time, or for this time since it was added, is unresponsive.
constexpr Milliseconds kActivityTimeout{2000};
// A learner without contact for this time is removed.
constexpr Milliseconds kLearnerExpiry{30000};
// A learner can be promoted when it lags by at most this number of entries: it
// then needs one more batch to acknowledge the newest entry.
constexpr LogIndex kMaximumPromotionLag = 64;

}  // namespace

void ReplicaCore::SetConfiguration(LogIndex index,
                                   Configuration configuration) {
  configurations_.emplace_back(index, std::move(configuration));
  UpdateFollowerProgress();
}

void ReplicaCore::UpdateFollowerProgress() {
  if (role_ != ReplicaRole::kLeader) {
    return;
  }
  const auto is_followed = [this](const ReplicaId& id) {
    return id != id_ &&
           (configuration().Contains(id) || observers_.contains(id));
  };
  std::erase_if(progress_,
                [&](const auto& item) { return !is_followed(item.first); });
  const auto follow = [&](const ReplicaId& id) {
    if (is_followed(id) && !progress_.contains(id)) {
      FollowerProgress progress;
      progress.StartProbe(log_.last_index() + 1);
      progress.added_at = now_;
      progress_.emplace(id, std::move(progress));
    }
  };
  for (const ReplicaId& id : configuration().voters) {
    follow(id);
  }
  for (const ReplicaId& id : configuration().learners) {
    follow(id);
  }
  for (const auto& [id, contact] : observers_) {
    follow(id);
  }
}

Result<LogIndex> ReplicaCore::ChangeMembership(const MembershipChange& change) {
  if (!HoldsLease() || transfer_started_at_) {
    return MakeError(ErrorKind::kUnavailable,
                     "this replica is not the leader, or is transferring its "
                     "leadership",
                     "send the change to the current leader");
  }
  // Two changes in progress could have quorums that do not overlap. The same
  // holds for a change that starts before an entry of this term is committed.
  if (configurations_.back().first > commit_index_ || !HasCommittedInTerm()) {
    return MakeError(ErrorKind::kFailedPrecondition,
                     "an earlier membership change is not committed",
                     "wait until it is committed");
  }
  TRY(next, configuration().With(change));
  const LogIndex index = log_.last_index() + 1;
  AppendEntry({index, term(), EntryKind::kConfiguration, next.Encode()});
  return index;
}

void ReplicaCore::SendJoinRequests() {
  // A member that was unreachable may have been replaced without having
  // received the new configuration; its pre-vote requests then get no response.
  // It therefore also sends join requests, which a leader ignores from members.
  const bool has_leader = role_ == ReplicaRole::kLeader ||
                          now_ - leader_contact_ < kMaximumElectionTimeout;
  if (kind_ == Kind::kReplica && configuration().Contains(id_) &&
      (has_leader || term() == 0)) {
    return;
  }
  const bool has_leader_contact =
      leader_ && now_ - leader_contact_ < kMinimumElectionTimeout;
  const bool due =
      !join_sent_at_ || now_ - *join_sent_at_ >= kJoinRequestInterval;
  // A new replica repeats the request until the log contains the configuration
  // that includes it. The leader keeps an observer as long as it responds.
  if (!due || (has_leader_contact && kind_ == Kind::kObserver)) {
    return;
  }
  join_sent_at_ = now_;
  AddPeers(configuration());
  for (const std::string& peer : peers_) {
    if (peer == id_.name) {
      continue;
    }
    ConsensusMessage request =
        MessageTo(MessageType::kJoinRequest, {peer, kAnyGeneration});
    request.observer = kind_ == Kind::kObserver;
    Send(std::move(request));
  }
}

void ReplicaCore::AddPeers(const Configuration& configuration) {
  const auto add = [this](const ReplicaId& id) {
    if (id.name != id_.name &&
        std::find(peers_.begin(), peers_.end(), id.name) == peers_.end()) {
      peers_.push_back(id.name);
    }
  };
  std::for_each(configuration.voters.begin(), configuration.voters.end(), add);
  std::for_each(configuration.learners.begin(), configuration.learners.end(),
                add);
}

void ReplicaCore::HandleJoinRequest(const ConsensusMessage& message) {
  if (role_ != ReplicaRole::kLeader) {
    // The sender may have only the names of instances that are no longer the
    // leader.
    ConsensusMessage response =
        MessageTo(MessageType::kJoinResponse, message.from);
    response.configuration = configuration();
    Send(std::move(response));
    return;
  }
  if (configuration().Contains(message.from)) {
    return;
  }
  if (message.observer) {
    observers_[message.from] = now_;
    UpdateFollowerProgress();
    return;
  }
  join_requests_[message.from] = now_;
}

bool ReplicaCore::IsActive(const ReplicaId& id) const {
  if (id == id_) {
    return true;
  }
  const auto position = progress_.find(id);
  return position != progress_.end() && position->second.last_contact &&
         now_ - *position->second.last_contact < kActivityTimeout;
}

bool ReplicaCore::IsUnresponsive(const ReplicaId& id) const {
  const auto position = progress_.find(id);
  if (id == id_ || position == progress_.end()) {
    return false;
  }
  const FollowerProgress& progress = position->second;
  return now_ - progress.last_contact.value_or(progress.added_at) >=
         kActivityTimeout;
}

const ReplicaId* ReplicaCore::LongestUnresponsiveVoter() const {
  const ReplicaId* longest = nullptr;
  MonotonicTime oldest_contact = now_;
  for (const ReplicaId& voter : configuration().voters) {
    const auto position = progress_.find(voter);
    if (position == progress_.end() || !IsUnresponsive(voter)) {
      continue;
    }
    const FollowerProgress& progress = position->second;
    const MonotonicTime contact =
        progress.last_contact.value_or(progress.added_at);
    if (contact < oldest_contact) {
      oldest_contact = contact;
      longest = &voter;
    }
  }
  return longest;
}

void ReplicaCore::AdvanceMembership() {
  std::erase_if(join_requests_, [this](const auto& item) {
    return now_ - item.second >= kJoinRequestExpiry ||
           configuration().Contains(item.first);
  });
  if (configurations_.back().first > commit_index_ || !HasCommittedInTerm() ||
      !HoldsLease() || transfer_started_at_) {
    return;
  }
  if (const std::optional<MembershipChange> change = NextMembershipChange()) {
    // An error needs no handling: the next tick evaluates the membership again.
    (void)ChangeMembership(*change);
  }
}

std::optional<MembershipChange> ReplicaCore::NextMembershipChange() {
  using Change = MembershipChange::Kind;
  const Configuration& current = configuration();
  // Of two voters with the same name, the later one in the list is newer. The
  // older one lost its disk, and counts towards the quorum until it is removed.
  for (size_t newer = 0; newer < current.voters.size(); ++newer) {
    for (size_t older = 0; older < newer; ++older) {
      const ReplicaId& old_id = current.voters[older];
      if (old_id.name == current.voters[newer].name && IsUnresponsive(old_id) &&
          IsActive(current.voters[newer])) {
        return MembershipChange{Change::kRemove, old_id};
      }
    }
  }
  if (target_voters_ > 0 && current.voters.size() > target_voters_) {
    if (const ReplicaId* replaced = LongestUnresponsiveVoter()) {
      return MembershipChange{Change::kRemove, *replaced};
    }
  }
  for (const ReplicaId& learner : current.learners) {
    const FollowerProgress* progress = ProgressOf(learner);
    if (progress == nullptr) {
      continue;
    }
    const MonotonicTime contact =
        progress->last_contact.value_or(progress->added_at);
    if (now_ - contact >= kLearnerExpiry) {
      return MembershipChange{Change::kRemove, learner};
    }
    // Beyond the target number of voters, a learner is promoted only when a
    // voter is unresponsive, since each additional voter raises the quorum.
    const bool needed = target_voters_ == 0 ||
                        current.voters.size() < target_voters_ ||
                        LongestUnresponsiveVoter() != nullptr;
    if (needed && IsActive(learner) &&
        progress->match_index + kMaximumPromotionLag >= log_.last_index()) {
      return MembershipChange{Change::kPromoteLearner, learner};
    }
  }
  for (const auto& [id, requested_at] : join_requests_) {
    const std::string& name = id.name;
    const auto is_responsive_with_same_name = [&](const ReplicaId& other) {
      return other.name == name && !IsUnresponsive(other);
    };
    // Two running processes with the same name are a configuration error. The
    // one that is already a replica stays.
    if (std::none_of(current.voters.begin(), current.voters.end(),
                     is_responsive_with_same_name)) {
      return MembershipChange{Change::kAddLearner, id};
    }
  }
  return std::nullopt;
}

}  // namespace bramleyrail
