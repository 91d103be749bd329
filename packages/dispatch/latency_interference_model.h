#ifndef PACKAGES_DISPATCH_LATENCY_INTERFERENCE_MODEL_H_
#define PACKAGES_DISPATCH_LATENCY_INTERFERENCE_MODEL_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "packages/dispatch/headroom_regression.h"
#include "packages/dispatch/tracked_worker.h"

namespace bramleyrail {

// Learns from the measurements of workers which images of best-effort runs
// raise the tail latency of which images of latency-sensitive runs (runs with a
// target latency) on the same worker. The headroom of a run is its target
// latency divided by its tail latency: below 1 the target is missed.
class LatencyInterferenceModel {
 public:
  // Headroom that a latency-sensitive run loses to a best-effort run.
  struct Effect {
    double loss = 0;       // Expected value; never negative.
    double deviation = 0;  // Standard deviation of the expected value.
  };

  // Adds the latest measurements of a worker to the model.
  void Observe(const TrackedWorker& worker, MonotonicTime now);

  // Effect of a run of the best-effort step at this CPU limit, in percent, on a
  // worker of this capacity. A run in a light phase interferes less than in a
  // busy one.
  Effect EffectOf(const JobStep& affected_step,
                  const JobStep& best_effort_step,
                  BestEffortPhase phase,
                  int64_t limit_percent,
                  int64_t capacity_millis) const;

  // The lowest expected headroom, less one standard deviation, among the
  // latency-sensitive runs on the worker after one more run of the best-effort
  // step starts at this CPU limit, in percent. Infinite when it affects no run.
  double MinimumHeadroomWith(const JobStep& best_effort_step,
                             const TrackedWorker& worker,
                             int64_t limit_percent) const;
  // The same from an estimate of the worker. `share` is the share of the
  // worker's processors that the new run requests.
  double MinimumHeadroomWith(size_t source,
                             const BestEffortEstimate& estimate,
                             double share) const;
  BestEffortEstimate EstimateFor(const TrackedWorker& worker) const;
  // The source number of the image's busy phase, for MinimumHeadroomWith().
  size_t BusySourceOf(const std::string& image) const {
    return SourceOf(image, BestEffortPhase::kBusy);
  }
  // Headroom that one more run of the step would have beside the best-effort
  // runs on the worker.
  double HeadroomForNewRun(const TrackedWorker& worker,
                           const JobStep& step) const;

 private:
  size_t SourceOf(const std::string& image, BestEffortPhase phase) const;
  const HeadroomRegression* FindRegression(const std::string& image) const;
  // Headroom lost while all best-effort runs on the worker are busy.
  double LossFromBestEffortRuns(const HeadroomRegression& regression,
                                const TrackedWorker& worker) const;

  // Images are numbered in order of appearance.
  std::map<std::string, size_t> best_effort_images_;
  std::map<std::string, size_t> latency_sensitive_images_;
  // By number of the latency-sensitive image.
  std::vector<HeadroomRegression> regressions_;
};

// Share of the worker's processors that a run of the step requests.
double RequestedShare(const JobStep& best_effort_step,
                      const TrackedWorker& worker);
// Target latency over tail latency, or nullopt without a measurement.
std::optional<double> HeadroomOf(const TrackedRun& run);
// Whether the tail latency exceeds the target latency, or nearly does.
bool IsOverTarget(const TrackedRun& run);
bool HasRunOverTarget(const TrackedWorker& worker);

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_LATENCY_INTERFERENCE_MODEL_H_
