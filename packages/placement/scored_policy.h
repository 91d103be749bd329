#ifndef PACKAGES_PLACEMENT_SCORED_POLICY_H_
#define PACKAGES_PLACEMENT_SCORED_POLICY_H_

#include <cstdint>
#include <random>
#include <vector>

#include "packages/placement/interference_model.h"
#include "packages/placement/placement_policy.h"

namespace bramleyrail {

// The placement policy: scores a sample of workers that certainly fit by
// expected interference, load and spread. Looks at all workers only when the
// index has none that certainly fits.
class ScoredPolicy {
 public:
  ScoredPolicy(const InterferenceModel* interference, uint64_t seed);

  std::optional<PlacementChoice> operator()(const PlacementRequest& request,
                                            const Fleet& fleet);

 private:
  struct Group {
    const FreeCapacityIndex* index = nullptr;
    size_t count = 0;  // Workers of the group that certainly fit.
  };

  void CollectGroups(const PlacementRequest& request,
                     const Fleet& fleet,
                     bool with_accelerators);
  void Sample(const PlacementRequest& request, const Fleet& fleet);
  void Consider(const PlacementRequest& request,
                const Fleet& fleet,
                uint32_t worker);
  void ScanAll(const PlacementRequest& request, const Fleet& fleet);
  // True when services of the worker, disturbed already, would run too slowly.
  bool Disturbs(const PlacementRequest& request,
                const FleetWorker& worker) const;
  double Score(const PlacementRequest& request,
               const Fleet& fleet,
               const FleetWorker& worker) const;

  const InterferenceModel* interference_;
  std::mt19937_64 random_;
  std::vector<Group> groups_;         // Reused between calls.
  std::vector<uint32_t> candidates_;  // Reused between calls.
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_SCORED_POLICY_H_
