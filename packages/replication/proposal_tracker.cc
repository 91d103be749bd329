#include "packages/replication/proposal_tracker.h"

#include <utility>

namespace bramleyrail {

namespace {

// Pause before a rejected proposal is forwarded again. Without it, a proposal
// would be resent continuously while the leader does not hold its lease yet.
constexpr Milliseconds kRetryInterval{50};
constexpr size_t kMaximumWaitingProposals = 4096;

Error MakeUnavailable(const char* message) {
  return MakeError(ErrorKind::kUnavailable, message,
                   "the change was not made; retry it later");
}

Error MakeOutcomeUnknown(const char* message) {
  return MakeError(ErrorKind::kOutcomeUnknown, message,
                   "read the state to see whether the change was made");
}

}  // namespace

ProposalTracker::ProposalTracker(Forward forward, uint64_t first_call)
    : forward_(std::move(forward)), next_call_(first_call) {}

void ProposalTracker::Submit(Proposal proposal) {
  if (waiting_.size() >= kMaximumWaitingProposals) {
    proposal.callback(
        MakeUnavailable("the queue of changes that wait for a leader is full"));
    return;
  }
  waiting_.push_back({std::move(proposal), MonotonicTime::min()});
}

void ProposalTracker::Step(ReplicaCore* core, MonotonicTime now) {
  Expire(now);
  std::deque<WaitingProposal> due = std::exchange(waiting_, {});
  for (WaitingProposal& waiting : due) {
    AppendOrForward(core, std::move(waiting), now);
  }
}

void ProposalTracker::AppendOrForward(ReplicaCore* core,
                                      WaitingProposal waiting,
                                      MonotonicTime now) {
  if (core != nullptr && now >= waiting.retry_at) {
    if (core->HoldsLease()) {
      Append(core, std::move(waiting.proposal));
      return;
    }
    if (core->leader() && core->leader()->name != core->id().name) {
      const uint64_t call = next_call_;
      if (forward_(core->leader()->name, call, waiting.proposal.command)) {
        ++next_call_;
        forwarded_.emplace(call, std::move(waiting.proposal));
        return;
      }
    }
  }
  waiting_.push_back(std::move(waiting));
}

void ProposalTracker::Append(ReplicaCore* core, Proposal proposal) {
  // An appended command is never retried, so it is not stored.
  const Result<LogIndex> index =
      core->Propose(std::exchange(proposal.command, {}));
  if (index.has_error()) {
    proposal.callback(index.error());
    return;
  }
  appended_.emplace(LogPosition{index.value(), core->term()},
                    std::move(proposal));
}

void ProposalTracker::SubmitForwarded(ReplicaCore* core, Proposal proposal) {
  if (core == nullptr || !core->HoldsLease()) {
    proposal.callback(
        MakeUnavailable("this instance is not the leader of the log"));
    return;
  }
  Append(core, std::move(proposal));
}

void ProposalTracker::HandleForwardedResult(uint64_t call,
                                            Result<Bytes> result,
                                            MonotonicTime now) {
  const auto position = forwarded_.find(call);
  if (position == forwarded_.end()) {
    return;
  }
  Proposal proposal = std::move(position->second);
  forwarded_.erase(position);
  if (result.has_error() && result.error().kind == ErrorKind::kUnavailable) {
    waiting_.push_back({std::move(proposal), now + kRetryInterval});
    return;
  }
  proposal.callback(std::move(result));
}

void ProposalTracker::HandleApplied(const LogEntry& entry,
                                    std::span<const std::byte> response) {
  while (!appended_.empty() && appended_.begin()->first.index <= entry.index) {
    const auto [position, proposal] = std::move(*appended_.begin());
    appended_.erase(appended_.begin());
    if (position == LogPosition{entry.index, entry.term}) {
      proposal.callback(Bytes(response.begin(), response.end()));
    } else {
      // An entry of another leader was committed at this index.
      proposal.callback(MakeUnavailable(
          "leadership changed before the change was committed"));
    }
  }
}

void ProposalTracker::HandleSnapshotInstalled(LogIndex index) {
  while (!appended_.empty() && appended_.begin()->first.index <= index) {
    const Proposal proposal = std::move(appended_.begin()->second);
    appended_.erase(appended_.begin());
    proposal.callback(
        MakeOutcomeUnknown("the state was replaced by a snapshot"));
  }
}

void ProposalTracker::Expire(MonotonicTime now) {
  std::vector<std::pair<ProposeCallback, Error>> failed;
  std::erase_if(waiting_, [&](WaitingProposal& waiting) {
    if (now < waiting.proposal.deadline) {
      return false;
    }
    failed.emplace_back(
        std::move(waiting.proposal.callback),
        MakeUnavailable("no leader could be reached before the deadline"));
    return true;
  });
  const auto expire = [&](const Proposal& proposal) {
    if (now < proposal.deadline) {
      return false;
    }
    failed.emplace_back(
        proposal.callback,
        MakeOutcomeUnknown("the outcome was not known before the deadline"));
    return true;
  };
  std::erase_if(forwarded_,
                [&](const auto& item) { return expire(item.second); });
  std::erase_if(appended_,
                [&](const auto& item) { return expire(item.second); });
  for (const auto& [callback, error] : failed) {
    callback(error);
  }
}

void ProposalTracker::Stop() {
  for (const WaitingProposal& waiting : std::exchange(waiting_, {})) {
    waiting.proposal.callback(MakeUnavailable("the instance is stopping"));
  }
  for (const auto& [call, proposal] : std::exchange(forwarded_, {})) {
    proposal.callback(MakeOutcomeUnknown("the instance is stopping"));
  }
  for (const auto& [position, proposal] : std::exchange(appended_, {})) {
    proposal.callback(MakeOutcomeUnknown("the instance is stopping"));
  }
}

}  // namespace bramleyrail
