#ifndef PACKAGES_DISPATCH_WORKER_SELECTOR_H_
#define PACKAGES_DISPATCH_WORKER_SELECTOR_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "packages/dispatch/latency_interference_model.h"
#include "packages/dispatch/tracked_worker.h"

namespace bramleyrail {

using TrackedWorkers = std::map<std::string, std::unique_ptr<TrackedWorker>>;

// Requirements and preferences of a task for its worker.
struct WorkerRequest {
  const QueuedJob* job = nullptr;
  const JobStep* step = nullptr;
  TaskName task;
  std::string avoid_worker;    // See TrackedTask; empty: none.
  std::string preferred_rack;  // Empty: none.
  // Time since the latest start that meets the objective of the job; negative
  // before it.
  Milliseconds lateness{0};
};

// Selects workers by capacity, labels, rack, region, recent failures and
// latency interference.
class WorkerSelector {
 public:
  struct Options {
    std::string local_region;
    std::map<std::string, std::string> region_of_failure_domain;
  };

  explicit WorkerSelector(Options options) : options_(std::move(options)) {}

  // Returns the best worker for the task, or nullptr when none can run it.
  TrackedWorker* Select(const WorkerRequest& request,
                        const TrackedWorkers& workers,
                        const std::set<std::string>& evacuated,
                        const LatencyInterferenceModel& model,
                        MonotonicTime now) const;

  // CPU limit, in percent, that a best-effort run starts with on the worker.
  static int64_t InitialCpuLimit(const JobStep& step,
                                 const TrackedWorker& worker,
                                 const LatencyInterferenceModel& model);

  bool IsInOtherRegion(const std::string& failure_domain) const;

  // Whether the worker accepts new runs of this pool.
  static bool IsEligible(const TrackedWorker& worker,
                         const std::string& pool,
                         const std::set<std::string>& evacuated,
                         MonotonicTime now);

 private:
  double Score(const WorkerRequest& request,
               const TrackedWorker& worker,
               const LatencyInterferenceModel& model) const;

  const Options options_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_WORKER_SELECTOR_H_
