#ifndef PACKAGES_PLACEMENT_PROPOSAL_GATE_H_
#define PACKAGES_PLACEMENT_PROPOSAL_GATE_H_

#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "packages/base/base.h"

namespace bramleyrail {

// Keeps the controller from proposing the same command again while the first
// one is on its way through the log. A command that was lost is proposed again
// after the retry interval; the state machine refuses duplicates.
class ProposalGate {
 public:
  explicit ProposalGate(Milliseconds retry_interval);

  // True at most once in a retry interval for a key.
  bool Allow(std::string_view key, MonotonicTime now);
  void Forget(std::string_view key);

 private:
  void RemoveOld(MonotonicTime now);

  Milliseconds retry_interval_;
  absl::flat_hash_map<std::string, MonotonicTime> proposed_at_;
  MonotonicTime next_cleanup_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_PROPOSAL_GATE_H_
