#include "packages/state/dominant_share.h"

#include <algorithm>

namespace bramleyrail {

namespace {

double Ratio(int64_t part, int64_t whole) {
  return whole == 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

// The dominant resource decides, so that nobody reserves all the memory while
// their share of the processors is small.
double DominantShare(const ResourceAmounts& used,
                     const ResourceAmounts& capacity) {
  return std::max({Ratio(used.processor_millis, capacity.processor_millis),
                   Ratio(used.memory_mib, capacity.memory_mib),
                   Ratio(used.accelerators, capacity.accelerators)});
}

double WeightedDominantShare(const ResourceAmounts& used,
                             const ResourceAmounts& capacity,
                             int64_t weight) {
  return DominantShare(used, capacity) /
         static_cast<double>(std::max<int64_t>(weight, 1));
}

}  // namespace bramleyrail
