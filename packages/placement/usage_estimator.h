#ifndef PACKAGES_PLACEMENT_USAGE_ESTIMATOR_H_
#define PACKAGES_PLACEMENT_USAGE_ESTIMATOR_H_

#include <cstdint>
#include <memory>

#include "absl/container/flat_hash_map.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Estimates from usage reports which part of its declared size each kind of
// task uses. Does no I/O; not thread-safe.
class UsageEstimator {
 public:
  UsageEstimator();
  ~UsageEstimator();

  void Observe(int32_t task_kind,
               const ResourceAmounts& declared,
               const ResourceAmounts& used);

  // Returns the declared size until there are enough reports, then a high
  // quantile of the reported usage. Accelerators are never estimated.
  ResourceAmounts Estimate(int32_t task_kind,
                           const ResourceAmounts& declared) const;

 private:
  class Distribution;
  struct Kind {
    std::unique_ptr<Distribution> processor;
    std::unique_ptr<Distribution> memory;
  };

  absl::flat_hash_map<int32_t, Kind> kinds_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_USAGE_ESTIMATOR_H_
