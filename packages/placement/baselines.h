#ifndef PACKAGES_PLACEMENT_BASELINES_H_
#define PACKAGES_PLACEMENT_BASELINES_H_

#include <cstdint>

#include "packages/placement/placement_policy.h"

namespace bramleyrail {

// Simple placement policies, used as baselines for the scored policy. Each one
// examines every worker.

// Chooses among all workers that fit with equal probability.
PlacementPolicy MakeRandomPolicy(uint64_t seed);

// Chooses the worker whose scarcest resource has the smallest reserved
// fraction.
PlacementPolicy MakeLeastLoadedPolicy();

// Dedicates about `service_permille` of the workers to services and the rest to
// batch work, and chooses the least loaded worker within each part.
PlacementPolicy MakeSeparateWorkersPolicy(int64_t service_permille);

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_BASELINES_H_
