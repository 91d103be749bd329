#ifndef PACKAGES_STATE_DOMINANT_SHARE_H_
#define PACKAGES_STATE_DOMINANT_SHARE_H_

#include <cstdint>

#include "packages/state/resource.h"

namespace bramleyrail {

// The largest of the shares that the amounts of `used` have in those of
// `capacity`.
double DominantShare(const ResourceAmounts& used,
                     const ResourceAmounts& capacity);

// The dominant share divided by the weight. A weight below 1 counts as 1.
double WeightedDominantShare(const ResourceAmounts& used,
                             const ResourceAmounts& capacity,
                             int64_t weight);

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_DOMINANT_SHARE_H_
