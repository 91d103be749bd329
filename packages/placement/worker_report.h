#ifndef PACKAGES_PLACEMENT_WORKER_REPORT_H_
#define PACKAGES_PLACEMENT_WORKER_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "packages/state/state.h"

namespace bramleyrail {

// One attempt that a worker holds, as its poll describes it.
struct HeldAttempt {
  AttemptReport report;
  int64_t ran_ms = 0;  // Run time so far, or until the attempt ended.
};

// What one attempt used, measured by the worker some seconds ago.
struct AttemptUsage {
  std::string task_id;
  int64_t attempt = 0;
  ResourceAmounts used;
  // Time that a unit of work takes, relative to an undisturbed run, in
  // thousandths (1000: undisturbed). 0: not measured.
  int64_t slowdown_permille = 0;
};

// One poll of a worker, on its way to the leader.
struct WorkerReport {
  std::string worker;
  std::string boot_id;
  WorkerSpec spec;  // `drained` is ignored.
  std::vector<HeldAttempt> attempts;
  std::vector<AttemptUsage> usage;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_WORKER_REPORT_H_
