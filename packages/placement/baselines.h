#ifndef PACKAGES_PLACEMENT_BASELINES_H_
#define PACKAGES_PLACEMENT_BASELINES_H_

#include <cstdint>

#include "packages/placement/placement_policy.h"

namespace bramleyrail {

// Plain policies, for comparison with the scored policy. Each looks at every
// worker.

// Any worker that fits, with equal probability.
PlacementPolicy MakeRandomPolicy(uint64_t seed);

// The worker with the smallest reserved part of its scarcest resource.
PlacementPolicy MakeLeastLoadedPolicy();

// Services on about `service_permille` of the workers, batch work on the
// others; least loaded within each part.
PlacementPolicy MakeSeparateWorkersPolicy(int64_t service_permille);

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_BASELINES_H_
