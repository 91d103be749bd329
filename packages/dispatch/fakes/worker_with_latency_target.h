#ifndef PACKAGES_DISPATCH_FAKES_WORKER_WITH_LATENCY_TARGET_H_
#define PACKAGES_DISPATCH_FAKES_WORKER_WITH_LATENCY_TARGET_H_

#include <string>

#include "packages/dispatch/latency_interference_model.h"

namespace bramleyrail {

// A worker of 16 cores with one run whose target latency is 20 ms, and optional
// best-effort runs of 2 cores each.
class WorkerWithLatencyTarget {
 public:
  static constexpr int64_t kTargetMs = 20;

  explicit WorkerWithLatencyTarget(std::string id = "w",
                                   std::string serving_image = "serving");

  RunKey AddBestEffortRun(const std::string& job,
                          const JobStep* step,
                          int64_t cpu_limit_percent,
                          int64_t progress_percent);
  void RemoveBestEffortRun(const RunKey& key) { worker_.RemoveRun(key); }
  void SetTailLatency(int64_t tail_ms);
  // Sets the time since when the latency-sensitive run has been over its
  // target.
  void SetOverTargetSince(MonotonicTime time);

  // A step of best-effort runs of the image. The caller must keep the step
  // while its runs are on the worker.
  static JobStep BestEffortStep(std::string image);

  const JobStep& serving() const { return serving_; }
  TrackedWorker& tracked_worker() { return worker_; }

  // A time long after every change of the worker.
  static MonotonicTime Now() { return MonotonicTime(std::chrono::hours(1)); }

  // Trains the model with measurements in which runs of one image interfere
  // with the latency-sensitive image "serving", and runs of the other do not.
  static void TrainModel(const JobStep& interfering,
                         const JobStep& harmless,
                         LatencyInterferenceModel* model);

 private:
  RunKey serving_key_;
  JobStep serving_;
  TrackedWorker worker_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_FAKES_WORKER_WITH_LATENCY_TARGET_H_
