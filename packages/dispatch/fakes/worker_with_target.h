#ifndef PACKAGES_DISPATCH_FAKES_WORKER_WITH_TARGET_H_
#define PACKAGES_DISPATCH_FAKES_WORKER_WITH_TARGET_H_

#include <string>

#include "packages/dispatch/disturbance_model.h"

namespace bramleyrail {

// A worker of 16 cores with one run that has a target of 20 ms, and spare runs
// of 2 cores beside it.
class WorkerWithTarget {
 public:
  static constexpr int64_t kTargetMs = 20;

  explicit WorkerWithTarget(std::string id = "w",
                            std::string serving_image = "serving");

  RunKey AddSpare(const std::string& job,
                  const JobStep* step,
                  int64_t pace,
                  int64_t percent);
  void RemoveSpare(const RunKey& key) { worker_.RemoveRun(key); }
  void SetTail(int64_t tail_ms);
  // When the run missed its target first.
  void SetOverSince(MonotonicTime time);

  // A step of spare runs of the image; the caller keeps it.
  static JobStep SpareStep(std::string image);

  const JobStep& serving() const { return serving_; }
  WorkerTrack& track() { return worker_; }

  // Long after every change of the worker.
  static MonotonicTime Now() { return MonotonicTime(std::chrono::hours(1)); }

  // Shows the model that runs of one image disturb those of the worker, and
  // that runs of the other do not.
  static void Teach(const JobStep& disturber,
                    const JobStep& harmless,
                    DisturbanceModel* model);

 private:
  RunKey serving_key_;
  JobStep serving_;
  WorkerTrack worker_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_FAKES_WORKER_WITH_TARGET_H_
