#ifndef PACKAGES_PLACEMENT_SCORED_POLICY_H_
#define PACKAGES_PLACEMENT_SCORED_POLICY_H_

#include <cstdint>
#include <random>
#include <vector>

#include "packages/placement/interference_model.h"
#include "packages/placement/placement_policy.h"

namespace bramleyrail {

// Scores a sample of workers that are known to fit by expected interference,
// load and spread. Examines all workers only when the index has none that is
// known to fit.
class ScoredPolicy {
 public:
  ScoredPolicy(const InterferenceModel* interference, uint64_t seed);

  std::optional<PlacementChoice> operator()(const PlacementRequest& request,
                                            const Fleet& fleet);

 private:
  struct Group {
    const FreeCapacityIndex* index = nullptr;
    size_t count = 0;  // Workers of the group that are known to fit.
  };

  void CollectGroups(const PlacementRequest& request,
                     const Fleet& fleet,
                     bool with_accelerators);
  void Sample(const PlacementRequest& request, const Fleet& fleet);
  void AddCandidateIfFits(const PlacementRequest& request,
                          const Fleet& fleet,
                          uint32_t worker);
  void ScanAll(const PlacementRequest& request, const Fleet& fleet);
  // True when the request would raise the slowdown of a task that already
  // suffers interference above kMaximumSlowdown. Never for services and urgent
  // work.
  bool ExceedsSlowdownLimit(const PlacementRequest& request,
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
