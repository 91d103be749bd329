#include "packages/placement/baselines.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

namespace bramleyrail {

namespace {

double LoadOf(const FleetWorker& worker) {
  const auto ratio = [](int64_t part, int64_t whole) {
    return whole == 0 ? 0.0
                      : static_cast<double>(part) / static_cast<double>(whole);
  };
  return std::max(
      ratio(worker.reserved.processor_millis, worker.capacity.processor_millis),
      ratio(worker.reserved.memory_mib, worker.capacity.memory_mib));
}

std::optional<PlacementChoice> LeastLoaded(
    const PlacementRequest& request,
    const Fleet& fleet,
    const std::function<bool(uint32_t)>& may_use) {
  std::optional<PlacementChoice> best;
  int64_t candidates = 0;
  for (uint32_t index = 0; index < fleet.worker_count(); ++index) {
    const FleetWorker& worker = fleet.worker(index);
    if (!may_use(index) || !Fits(request, worker)) {
      continue;
    }
    ++candidates;
    const double load = LoadOf(worker);
    if (!best || load < best->score) {
      best = PlacementChoice{index, load, 0};
    }
  }
  if (best) {
    best->candidates = candidates;
  }
  return best;
}

}  // namespace

PlacementPolicy MakeRandomPolicy(uint64_t seed) {
  auto random = std::make_shared<std::mt19937_64>(seed);
  return [random](const PlacementRequest& request, const Fleet& fleet) {
    std::optional<PlacementChoice> choice;
    int64_t candidates = 0;
    for (uint32_t index = 0; index < fleet.worker_count(); ++index) {
      if (!Fits(request, fleet.worker(index))) {
        continue;
      }
      ++candidates;
      if ((*random)() % candidates == 0) {
        choice = PlacementChoice{index, 0, 0};
      }
    }
    if (choice) {
      choice->candidates = candidates;
    }
    return choice;
  };
}

PlacementPolicy MakeLeastLoadedPolicy() {
  return [](const PlacementRequest& request, const Fleet& fleet) {
    return LeastLoaded(request, fleet, [](uint32_t) { return true; });
  };
}

PlacementPolicy MakeSeparateWorkersPolicy(int64_t service_permille) {
  return [service_permille](const PlacementRequest& request,
                            const Fleet& fleet) {
    const bool for_service = request.capacity_class == CapacityClass::kService;
    return LeastLoaded(request, fleet, [&](uint32_t index) {
      // Multiplying by a prime spreads both parts evenly over the racks, whose
      // workers register in order.
      const bool is_service_worker = index * 7919 % 1000 < service_permille;
      return is_service_worker == for_service;
    });
  };
}

}  // namespace bramleyrail
