#ifndef PACKAGES_DISPATCH_CPU_LIMIT_POLICY_H_
#define PACKAGES_DISPATCH_CPU_LIMIT_POLICY_H_

#include <cstdint>
#include <vector>

#include "packages/dispatch/latency_interference_model.h"

namespace bramleyrail {

// Protects latency-sensitive runs from best-effort runs on the same worker.
// Lowers the CPU limits of interfering runs as far as needed, or moves these
// runs to other workers, and raises the limits again as far as the headroom
// allows.
class CpuLimitPolicy {
 public:
  struct Change {
    RunKey run;
    int64_t cpu_limit_percent = 100;
    // Expected loss of headroom of the run that is over its target; 0 when the
    // limit is raised.
    double expected_loss = 0;
    // Stop the run, so that its task starts on another worker.
    bool move = false;
  };

  // Returns the changes that the latest measurements of the worker require.
  std::vector<Change> Decide(const TrackedWorker& worker,
                             const LatencyInterferenceModel& model,
                             MonotonicTime now) const;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_CPU_LIMIT_POLICY_H_
