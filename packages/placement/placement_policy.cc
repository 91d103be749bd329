#include "packages/placement/placement_policy.h"

#include <algorithm>

namespace bramleyrail {

namespace {

bool IsAllowed(const PlacementRequest& request, const FleetWorker& worker) {
  const auto& allowed = request.failure_domains;
  return allowed.empty() || std::find(allowed.begin(), allowed.end(),
                                      worker.failure_domain) != allowed.end();
}

}  // namespace

bool IsEligible(const PlacementRequest& request, const FleetWorker& worker) {
  return worker.usable && worker.present && IsAllowed(request, worker);
}

bool Fits(const PlacementRequest& request, const FleetWorker& worker) {
  return IsEligible(request, worker) &&
         request.size.FitsInto(worker.FreeFor(request.capacity_class));
}

EmptyFleetCapacity EvaluateEmptyFleet(const PlacementRequest& request,
                                      const Fleet& fleet) {
  EmptyFleetCapacity capacity;
  for (uint32_t index = 0; index < fleet.worker_count(); ++index) {
    const FleetWorker& worker = fleet.worker(index);
    if (!worker.present || !IsAllowed(request, worker)) {
      continue;
    }
    ResourceAmounts offer = worker.capacity;
    if (request.capacity_class == CapacityClass::kBatch) {
      offer -= worker.headroom;
    }
    capacity.any_worker = true;
    capacity.fits = capacity.fits || request.size.FitsInto(offer);
    capacity.largest = {
        std::max(capacity.largest.processor_millis, offer.processor_millis),
        std::max(capacity.largest.memory_mib, offer.memory_mib),
        std::max(capacity.largest.accelerators, offer.accelerators)};
  }
  return capacity;
}

void ForEachDomain(const PlacementRequest& request,
                   const Fleet& fleet,
                   const std::function<void(int32_t)>& function) {
  if (!request.failure_domains.empty()) {
    std::for_each(request.failure_domains.begin(),
                  request.failure_domains.end(), function);
    return;
  }
  for (size_t domain = 0; domain < fleet.failure_domain_count(); ++domain) {
    function(static_cast<int32_t>(domain));
  }
}

}  // namespace bramleyrail
