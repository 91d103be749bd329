#ifndef PACKAGES_PLACEMENT_WORKER_REPORT_H_
#define PACKAGES_PLACEMENT_WORKER_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "packages/state/state.h"

namespace bramleyrail {

// An attempt on a worker as described by the worker's poll.
struct HeldAttempt {
  AttemptReport report;
  int64_t ran_ms = 0;  // Run time so far, or until the attempt ended.
};

// Resource usage of one attempt, measured by the worker some seconds ago.
struct AttemptUsage {
  std::string task_id;
  int64_t attempt = 0;
  ResourceAmounts used;
  // Time that a unit of work takes, relative to a run without interference, in
  // thousandths (1000: no interference). 0: not measured.
  int64_t slowdown_permille = 0;
};

// The contents of one poll of a worker, as sent to the leader.
struct WorkerReport {
  std::string worker;
  std::string boot_id;
  WorkerSpec spec;  // `drained` is ignored.
  std::vector<HeldAttempt> attempts;
  std::vector<AttemptUsage> usage;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_WORKER_REPORT_H_
