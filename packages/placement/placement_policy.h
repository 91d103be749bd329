#ifndef PACKAGES_PLACEMENT_PLACEMENT_POLICY_H_
#define PACKAGES_PLACEMENT_PLACEMENT_POLICY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "packages/placement/fleet.h"

namespace bramleyrail {

// One task that looks for a worker.
struct PlacementRequest {
  std::string owner_uid;
  int32_t task_kind = 0;
  CapacityClass capacity_class = CapacityClass::kBatch;
  Priority priority = Priority::kNormal;
  ResourceAmounts size;  // To be reserved: declared, or estimated.
  std::vector<int32_t> failure_domains;  // Allowed; empty means all.
};

struct PlacementChoice {
  uint32_t worker = 0;
  double score = 0;  // Lower is better; comparable within one policy only.
  int64_t candidates = 0;  // Workers that were looked at.
};

// Chooses a usable worker that the request fits, or nullopt when there is
// none.
using PlacementPolicy =
    std::function<std::optional<PlacementChoice>(const PlacementRequest&,
                                                 const Fleet&)>;

// True when the worker is usable and in an allowed failure domain.
bool MayHold(const PlacementRequest& request, const FleetWorker& worker);

// True when the worker may hold the request and has room for the request.
bool Fits(const PlacementRequest& request, const FleetWorker& worker);

// What the workers could offer if they were all empty and usable.
struct EmptyFleetVerdict {
  bool any_worker = false;  // In an allowed failure domain.
  bool fits = false;        // Some allowed worker could hold the request.
  ResourceAmounts largest;  // Of each resource, on any allowed worker.
};

// Looks at every worker.
EmptyFleetVerdict JudgeEmptyFleet(const PlacementRequest& request,
                                  const Fleet& fleet);

// Calls the function for every allowed failure domain.
void ForEachDomain(const PlacementRequest& request,
                   const Fleet& fleet,
                   const std::function<void(int32_t)>& function);

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_PLACEMENT_POLICY_H_
