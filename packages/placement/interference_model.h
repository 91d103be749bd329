#ifndef PACKAGES_PLACEMENT_INTERFERENCE_MODEL_H_
#define PACKAGES_PLACEMENT_INTERFERENCE_MODEL_H_

#include <cstdint>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "packages/base/base.h"

namespace bramleyrail {

// Number of tasks of each kind on one worker.
using KindCounts = absl::flat_hash_map<int32_t, int32_t>;

// Estimates how much one task of a kind slows down a task of another kind on
// the same worker. Effects are additive. Does no I/O; not thread-safe.
class InterferenceModel {
 public:
  // `neighbours` counts all tasks of the worker, including the measured one.
  void Observe(int32_t measured_kind,
               const KindCounts& neighbours,
               int64_t slowdown_permille,
               MonotonicTime now);

  // Expected increase of the time that a unit of work of `kind` takes, caused
  // by one task of `neighbour` (0.2: 20% more time). 0 without observations.
  double Effect(int32_t kind, int32_t neighbour) const;

  // Sum of the effects of all neighbours on one more task of `kind`.
  double ExpectedSlowdown(int32_t kind, const KindCounts& neighbours) const;
  // Sum of the effects of one more task of `kind` on all neighbours.
  double ExpectedInterference(int32_t kind, const KindCounts& neighbours) const;

 private:
  struct Pair {
    double effect = 0;
    double weight = 0;  // Number of observations, decayed over time.
    MonotonicTime updated;
  };

  static int32_t CountOthers(int32_t measured_kind,
                             int32_t kind,
                             int32_t count);

  absl::flat_hash_map<std::pair<int32_t, int32_t>, Pair> pairs_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_INTERFERENCE_MODEL_H_
