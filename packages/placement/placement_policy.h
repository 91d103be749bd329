#ifndef PACKAGES_PLACEMENT_PLACEMENT_POLICY_H_
#define PACKAGES_PLACEMENT_PLACEMENT_POLICY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "packages/placement/fleet.h"

namespace bramleyrail {

// A request for a worker for one task.
struct PlacementRequest {
  std::string owner_uid;
  int32_t task_kind = 0;
  CapacityClass capacity_class = CapacityClass::kBatch;
  Priority priority = Priority::kNormal;
  ResourceAmounts size;  // Amounts to reserve: declared or estimated.
  std::vector<int32_t> failure_domains;  // Allowed failure domains; empty: all.
};

struct PlacementChoice {
  uint32_t worker = 0;
  double score = 0;  // Lower is better; comparable within one policy only.
  int64_t candidates = 0;  // Number of workers examined.
};

// Chooses a usable worker that fits the request, or returns nullopt when there
// is none.
using PlacementPolicy =
    std::function<std::optional<PlacementChoice>(const PlacementRequest&,
                                                 const Fleet&)>;

// True when the worker is usable and in an allowed failure domain.
bool IsEligible(const PlacementRequest& request, const FleetWorker& worker);

// True when the worker is eligible and has enough free capacity.
bool Fits(const PlacementRequest& request, const FleetWorker& worker);

// Capacity that the workers would have for a request if all of them were empty
// and usable.
struct EmptyFleetCapacity {
  bool any_worker = false;  // Some worker is in an allowed failure domain.
  bool fits = false;        // Some allowed worker could hold the request.
  ResourceAmounts
      largest;  // Maximum of each resource over the allowed workers.
};

// Examines every worker.
EmptyFleetCapacity EvaluateEmptyFleet(const PlacementRequest& request,
                                      const Fleet& fleet);

// Calls the function for every allowed failure domain.
void ForEachDomain(const PlacementRequest& request,
                   const Fleet& fleet,
                   const std::function<void(int32_t)>& function);

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_PLACEMENT_POLICY_H_
