#ifndef PACKAGES_ROUTING_SELECTION_H_
#define PACKAGES_ROUTING_SELECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "packages/routing/random_source.h"
#include "packages/routing/target_session.h"

namespace bramleyrail {

// Distance of an owner from the local instance, nearest first.
enum class OwnerDistance {
  kLocalInstance,
  kSameFailureDomain,
  kSameRegion,
  kOtherRegion,
};

std::string_view OwnerDistanceName(OwnerDistance distance);

struct OwnerCandidate {
  std::string instance;
  OwnerDistance distance = OwnerDistance::kLocalInstance;
  int64_t free_capacity = 0;  // Slots for a request, connections for a watch.
  double latency_ms = 1;
};

// The work for which a target policy selects a target.
struct TargetQuery {
  WorkKind kind = WorkKind::kRequest;
  MonotonicTime now;
};

// Returns the index of the target to use, or nullopt when none is usable.
using TargetPolicy = std::function<std::optional<size_t>(
    std::span<const std::shared_ptr<TargetSession>>,
    const TargetQuery&,
    RandomSource*)>;

// Returns the index of the owner to use, or nullopt when none has capacity.
// `remaining` is the time until the deadline of the request.
using OwnerPolicy =
    std::function<std::optional<size_t>(std::span<const OwnerCandidate>,
                                        Milliseconds remaining,
                                        RandomSource*)>;

// True when the target may be selected: its lease is valid, it is not leaving,
// drained or ejected, and it has free capacity.
bool IsUsable(const TargetSession& session, const TargetQuery& query);

// Power of two choices: of two random targets, selects the one with the lower
// (in use + 1) / slots x latency. A target that recovers from an ejection is
// skipped at random, so that it gets its TrafficShare().
TargetPolicy PowerOfTwoChoicesTargetPolicy();
// Baselines for comparisons.
TargetPolicy RandomTargetPolicy();
TargetPolicy LeastInUseTargetPolicy();

// Power of two choices among the owners at the nearest distance that has free
// capacity and an expected latency within the deadline. When no owner meets the
// deadline, the deadline is ignored.
OwnerPolicy NearestPowerOfTwoChoicesOwnerPolicy();
OwnerPolicy RandomOwnerPolicy();
OwnerPolicy LeastInUseOwnerPolicy();

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_SELECTION_H_
