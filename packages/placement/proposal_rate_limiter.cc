#include "packages/placement/proposal_rate_limiter.h"

namespace bramleyrail {

ProposalRateLimiter::ProposalRateLimiter(Milliseconds retry_interval)
    : retry_interval_(retry_interval) {}

bool ProposalRateLimiter::Allow(std::string_view key, MonotonicTime now) {
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

void ProposalRateLimiter::Remove(std::string_view key) {
  proposed_at_.erase(absl::string_view(key.data(), key.size()));
}

void ProposalRateLimiter::RemoveOld(MonotonicTime now) {
  if (now < next_cleanup_) {
    return;
  }
  absl::erase_if(proposed_at_, [&](const auto& entry) {
    return now - entry.second >= retry_interval_;
  });
  next_cleanup_ = now + retry_interval_;
}

}  // namespace bramleyrail
