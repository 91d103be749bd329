#include "packages/placement/proposal_gate.h"

namespace bramleyrail {

ProposalGate::ProposalGate(Milliseconds retry_interval)
    : retry_interval_(retry_interval) {}

bool ProposalGate::Allow(std::string_view key, MonotonicTime now) {
  RemoveOld(now);
  const auto [entry, is_new] =
      proposed_at_.try_emplace(absl::string_view(key.data(), key.size()), now);
  if (is_new) {
    return true;
  }
  if (now - entry->second < retry_interval_) {
    return false;
  }
  entry->second = now;
  return true;
}

void ProposalGate::Forget(std::string_view key) {
  proposed_at_.erase(absl::string_view(key.data(), key.size()));
}

void ProposalGate::RemoveOld(MonotonicTime now) {
  if (now < next_cleanup_) {
    return;
  }
  absl::erase_if(proposed_at_, [&](const auto& entry) {
    return now - entry.second >= retry_interval_;
  });
  next_cleanup_ = now + retry_interval_;
}

}  // namespace bramleyrail
