// Membership: one replica at a time, through a learner.

#include <algorithm>
#include <utility>

#include "packages/consensus/replica_core.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kJoinInterval{500};
// A request that was not repeated within this time is forgotten.
constexpr Milliseconds kJoinExpiry{2000};
// A replica counts as active while it answered within this time.
constexpr Milliseconds kActivityLimit{2000};
// A learner that stays silent for longer is given up.
constexpr Milliseconds kLearnerExpiry{30000};
// A learner that lags by at most this many entries becomes a voter: it needs
// one more batch to acknowledge the newest entry.
constexpr LogIndex kCaughtUpEntries = 64;

}  // namespace

void ReplicaCore::SetConfiguration(LogIndex index,
                                   Configuration configuration) {
  configurations_.emplace_back(index, std::move(configuration));
  SyncProgress();
}

void ReplicaCore::SyncProgress() {
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
  if (!HoldsLease() || transfer_started_) {
    return MakeError(ErrorKind::kUnavailable,
                     "this replica does not lead the log",
                     "ask the current leader");
  }
  // Two changes in progress could have quorums that do not overlap, and so
  // could a change that starts before an entry of this term is committed.
  if (configurations_.back().first > commit_index_ || !CommittedInTerm()) {
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
  // A replica that was away may have been replaced without knowing: nobody
  // answers its pre-votes then. A leader ignores the request of a member.
  const bool is_led = role_ == ReplicaRole::kLeader ||
                      now_ - leader_contact_ < kMaximumElectionTimeout;
  if (kind_ == Kind::kReplica && configuration().Contains(id_) &&
      (is_led || term() == 0)) {
    return;
  }
  const bool followed =
      leader_ && now_ - leader_contact_ < kMinimumElectionTimeout;
  const bool due = !join_sent_at_ || now_ - *join_sent_at_ >= kJoinInterval;
  // A learner repeats the request until its configuration entry arrives; an
  // observer is kept as long as it answers.
  if (!due || (followed && kind_ == Kind::kObserver)) {
    return;
  }
  join_sent_at_ = now_;
  LearnPeers(configuration());
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

void ReplicaCore::LearnPeers(const Configuration& configuration) {
  const auto learn = [this](const ReplicaId& id) {
    if (id.name != id_.name &&
        std::find(peers_.begin(), peers_.end(), id.name) == peers_.end()) {
      peers_.push_back(id.name);
    }
  };
  std::for_each(configuration.voters.begin(), configuration.voters.end(),
                learn);
  std::for_each(configuration.learners.begin(), configuration.learners.end(),
                learn);
}

void ReplicaCore::HandleJoinRequest(const ConsensusMessage& message) {
  if (role_ != ReplicaRole::kLeader) {
    // The sender may know only instances that do not lead any more.
    ConsensusMessage answer = MessageTo(MessageType::kJoinAnswer, message.from);
    answer.configuration = configuration();
    Send(std::move(answer));
    return;
  }
  if (configuration().Contains(message.from)) {
    return;
  }
  if (message.observer) {
    observers_[message.from] = now_;
    SyncProgress();
    return;
  }
  joining_[message.from] = now_;
}

bool ReplicaCore::IsActive(const ReplicaId& id) const {
  if (id == id_) {
    return true;
  }
  const auto position = progress_.find(id);
  return position != progress_.end() && position->second.last_contact &&
         now_ - *position->second.last_contact < kActivityLimit;
}

bool ReplicaCore::IsSilent(const ReplicaId& id) const {
  const auto position = progress_.find(id);
  if (id == id_ || position == progress_.end()) {
    return false;
  }
  const FollowerProgress& progress = position->second;
  return now_ - progress.last_contact.value_or(progress.added_at) >=
         kActivityLimit;
}

const ReplicaId* ReplicaCore::LongestSilentVoter() const {
  const ReplicaId* longest = nullptr;
  MonotonicTime oldest_contact = now_;
  for (const ReplicaId& voter : configuration().voters) {
    const auto position = progress_.find(voter);
    if (position == progress_.end() || !IsSilent(voter)) {
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
  std::erase_if(joining_, [this](const auto& item) {
    return now_ - item.second >= kJoinExpiry ||
           configuration().Contains(item.first);
  });
  if (configurations_.back().first > commit_index_ || !CommittedInTerm() ||
      !HoldsLease() || transfer_started_) {
    return;
  }
  if (const std::optional<MembershipChange> change = NextMembershipChange()) {
    // A refusal needs no handling: the next tick decides again.
    (void)ChangeMembership(*change);
  }
}

std::optional<MembershipChange> ReplicaCore::NextMembershipChange() {
  using Change = MembershipChange::Kind;
  const Configuration& current = configuration();
  // The newer of two voters of one name stands later. The old one lost its
  // disk, and counts towards the quorum until it is removed.
  for (size_t newer = 0; newer < current.voters.size(); ++newer) {
    for (size_t older = 0; older < newer; ++older) {
      const ReplicaId& old_id = current.voters[older];
      if (old_id.name == current.voters[newer].name && IsSilent(old_id) &&
          IsActive(current.voters[newer])) {
        return MembershipChange{Change::kRemove, old_id};
      }
    }
  }
  if (target_voters_ > 0 && current.voters.size() > target_voters_) {
    if (const ReplicaId* replaced = LongestSilentVoter()) {
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
    // Beyond the target, a learner waits until a voter falls silent: each voter
    // more raises the quorum.
    const bool wanted = target_voters_ == 0 ||
                        current.voters.size() < target_voters_ ||
                        LongestSilentVoter() != nullptr;
    if (wanted && IsActive(learner) &&
        progress->match + kCaughtUpEntries >= log_.last_index()) {
      return MembershipChange{Change::kPromoteLearner, learner};
    }
  }
  for (const auto& [id, requested_at] : joining_) {
    const std::string& name = id.name;
    const auto is_active_namesake = [&](const ReplicaId& other) {
      return other.name == name && !IsSilent(other);
    };
    // Two running processes under one name are a mistake in the settings. The
    // one that is already a replica stays.
    if (std::none_of(current.voters.begin(), current.voters.end(),
                     is_active_namesake)) {
      return MembershipChange{Change::kAddLearner, id};
    }
  }
  return std::nullopt;
}

}  // namespace bramleyrail
