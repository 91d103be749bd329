#ifndef PACKAGES_DISPATCH_PLACEMENT_PASS_H_
#define PACKAGES_DISPATCH_PLACEMENT_PASS_H_

#include <cstdint>
#include <map>
#include <string>

#include "packages/dispatch/failed_requests.h"
#include "packages/dispatch/worker_selector.h"

namespace bramleyrail {

// One pass over the ready tasks.
struct PlacementPass {
  bool IsOver() const { return starts_left <= 0 || attempts_left <= 0; }

  MonotonicTime now;
  // How many tasks, or gangs, may still start, and be tried.
  int64_t starts_left = 0;
  int64_t attempts_left = 0;
  // Eligible workers by pool, found once.
  std::map<std::string, EligibleWorkers> eligible;
  FailedRequests failed;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_PLACEMENT_PASS_H_
