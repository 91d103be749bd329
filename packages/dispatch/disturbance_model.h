#ifndef PACKAGES_DISPATCH_DISTURBANCE_MODEL_H_
#define PACKAGES_DISPATCH_DISTURBANCE_MODEL_H_

#include <cstdint>
#include <string>

#include "packages/dispatch/worker_track.h"
#include "packages/placement/placement.h"

namespace bramleyrail {

// Learns from the figures of the workers how much runs of spare capacity raise
// the tail latency of runs with a target beside them, by pairs of images. A
// disturbance of 1 takes a run from a calm tail to its target.
class DisturbanceModel {
 public:
  // Takes over the newest figures of a worker.
  void Observe(const WorkerTrack& worker, MonotonicTime now);

  // What one more run of the step would do to the runs with targets there.
  double ToNeighbours(const JobStep& spare_step,
                      const WorkerTrack& worker) const;
  // The highest disturbance of a run with a target there after one more run of
  // the step at that pace.
  double HighestWith(const JobStep& spare_step,
                     const WorkerTrack& worker,
                     int64_t percent) const;
  // What the runs of spare capacity there do to a run of this step.
  double FromNeighbours(const JobStep& step, const WorkerTrack& worker) const;
  // What a run at full pace of one step does to a run of another.
  double Effect(const JobStep& disturbed, const JobStep& spare_step) const;

 private:
  InterferenceModel model_;
};

// The run has figures that are over its target, or close to it.
bool IsOverTarget(const TrackedRun& run);
bool HasRunOverTarget(const WorkerTrack& worker);

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_DISTURBANCE_MODEL_H_
