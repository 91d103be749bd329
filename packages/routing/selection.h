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

// Distance classes of owners, nearest first.
enum class OwnerDistance {
  kOwnInstance,
  kOwnFailureDomain,
  kOwnRegion,
  kOtherRegion,
};

std::string_view OwnerDistanceName(OwnerDistance distance);

struct OwnerCandidate {
  std::string instance;
  OwnerDistance distance = OwnerDistance::kOwnInstance;
  int64_t free = 0;  // Slots, or connections for a watch.
  double latency_ms = 1;
};

// The question that a target policy answers.
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
// `remaining` is the time left of the request's deadline.
using OwnerPolicy =
    std::function<std::optional<size_t>(std::span<const OwnerCandidate>,
                                        Milliseconds remaining,
                                        RandomSource*)>;

// True when the target may be selected: lease valid, not leaving, not drained,
// not ejected, capacity free.
bool IsUsable(const TargetSession& session, const TargetQuery& query);

// The better of two random targets by (in use + 1) / slots x latency; a target
// that returns from an ejection is passed over in proportion to its share.
TargetPolicy BetterOfTwoTargets();
// Baselines for comparison.
TargetPolicy RandomTarget();
TargetPolicy LeastInUseTarget();

// The better of two random owners within the nearest class that has capacity
// and answers in time.
OwnerPolicy NearestBetterOfTwoOwners();
OwnerPolicy RandomOwner();
OwnerPolicy LeastInUseOwner();

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_SELECTION_H_
