#ifndef PACKAGES_PLACEMENT_PROPOSAL_RATE_LIMITER_H_
#define PACKAGES_PLACEMENT_PROPOSAL_RATE_LIMITER_H_

#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "packages/base/base.h"

namespace bramleyrail {

// Prevents the controller from proposing the same command again while the first
// proposal is still being committed. A command that was lost is proposed again
// after the retry interval; the state machine refuses duplicates.
class ProposalRateLimiter {
 public:
  explicit ProposalRateLimiter(Milliseconds retry_interval);

  // Returns true at most once per retry interval and key.
  bool Allow(std::string_view key, MonotonicTime now);
  void Remove(std::string_view key);

 private:
  void RemoveOld(MonotonicTime now);

  Milliseconds retry_interval_;
  absl::flat_hash_map<std::string, MonotonicTime> proposed_at_;
  MonotonicTime next_cleanup_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_PROPOSAL_RATE_LIMITER_H_
