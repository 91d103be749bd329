#ifndef PACKAGES_DISPATCH_PACE_POLICY_H_
#define PACKAGES_DISPATCH_PACE_POLICY_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "packages/dispatch/worker_track.h"

namespace bramleyrail {

// Limits runs of spare capacity on a worker so that runs with a target latency
// beside them meet it: quickly down when one is over it, slowly up again.
class PacePolicy {
 public:
  struct Change {
    RunKey run;
    int64_t percent = 100;
  };

  // The changes that the newest figures of the worker call for.
  std::vector<Change> Decide(const WorkerTrack& worker) const;
  // Figures that keep further spare runs away.
  static bool IsOverTarget(const WorkerTrack& worker);
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_PACE_POLICY_H_
