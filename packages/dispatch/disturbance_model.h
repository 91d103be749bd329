#ifndef PACKAGES_DISPATCH_DISTURBANCE_MODEL_H_
#define PACKAGES_DISPATCH_DISTURBANCE_MODEL_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "packages/dispatch/headroom_regression.h"
#include "packages/dispatch/worker_track.h"

namespace bramleyrail {

// Learns from the figures of the workers which images of spare runs raise the
// tail latency of which images with a target beside them. The headroom of a run
// is its target over its tail latency: below 1 the target is missed.
class DisturbanceModel {
 public:
  // Headroom that a spare run takes from a run of another step.
  struct Effect {
    double loss = 0;       // Expected; never negative.
    double deviation = 0;  // Of the expectation.
  };

  // Takes over the newest figures of a worker.
  void Observe(const WorkerTrack& worker, MonotonicTime now);

  // Effect of a spare run of that step at a pace, in percent, on a worker of
  // that capacity. A run in its light phase disturbs less than a busy one.
  Effect EffectOf(const JobStep& disturbed,
                  const JobStep& spare,
                  SparePhase phase,
                  int64_t percent,
                  int64_t capacity_millis) const;

  // The lowest headroom among the runs with a target on the worker after one
  // more spare run at that pace, in the worse part of the time. Infinite when
  // none is disturbed.
  double LowestHeadroomWith(const JobStep& spare,
                            const WorkerTrack& worker,
                            int64_t percent) const;
  // The same for a known outlook; `share` of the worker's processors.
  double LowestHeadroomWith(size_t source,
                            const SpareOutlook& outlook,
                            double share) const;
  SpareOutlook OutlookOf(const WorkerTrack& worker) const;
  // Number of the image's busy phase for the function above.
  size_t BusySourceOf(const std::string& image) const {
    return SourceOf(image, SparePhase::kBusy);
  }
  // Headroom that the spare runs on the worker leave one more run of the step.
  double HeadroomBeside(const WorkerTrack& worker, const JobStep& step) const;

 private:
  size_t SourceOf(const std::string& image, SparePhase phase) const;
  const HeadroomRegression* FindRegression(const std::string& image) const;
  // Expected while all spare runs there are busy.
  double LossFromSpare(const HeadroomRegression& regression,
                       const WorkerTrack& worker) const;

  std::map<std::string, size_t> spare_images_;  // Numbered as they appear.
  std::map<std::string, size_t> images_with_target_;
  std::vector<HeadroomRegression> regressions_;  // By number of the image.
};

// Share of the processors that a spare run of the step asks for.
double SpareShareOf(const JobStep& spare, const WorkerTrack& worker);
// Target over tail latency, or nullopt without figures.
std::optional<double> HeadroomOf(const TrackedRun& run);
// The run misses its target, or almost.
bool IsOverTarget(const TrackedRun& run);
bool HasRunOverTarget(const WorkerTrack& worker);

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_DISTURBANCE_MODEL_H_
