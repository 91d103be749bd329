#ifndef PACKAGES_DISPATCH_PACE_POLICY_H_
#define PACKAGES_DISPATCH_PACE_POLICY_H_

#include <cstdint>
#include <vector>

#include "packages/dispatch/disturbance_model.h"

namespace bramleyrail {

// Protects runs with a target latency from the runs of spare capacity beside
// them: those that take their headroom are slowed down as far as needed, or
// move away, and are sped up again as far as the headroom allows.
class PacePolicy {
 public:
  struct Change {
    RunKey run;
    int64_t percent = 100;
    // Expected loss of headroom of the run that is over its target; 0 on a
    // rise.
    double disturbance = 0;
    // The run should go to another worker instead.
    bool move = false;
  };

  // The changes that the newest figures of the worker call for.
  std::vector<Change> Decide(const WorkerTrack& worker,
                             const DisturbanceModel& model,
                             MonotonicTime now) const;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_PACE_POLICY_H_
