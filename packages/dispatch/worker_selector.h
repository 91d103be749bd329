#ifndef PACKAGES_DISPATCH_WORKER_SELECTOR_H_
#define PACKAGES_DISPATCH_WORKER_SELECTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "packages/dispatch/latency_interference_model.h"
#include "packages/dispatch/short_work_need.h"
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
  // Time for which no worker was found for the step.
  Milliseconds waited{0};
  // A worker has crashed under the task.
  bool suspected = false;
  // The worker may have no run that could be taken for the cause of a crash.
  bool isolated = false;
  MonotonicTime now;
  // A high estimate; nullopt: the task doesn't end by itself, or unknown.
  std::optional<Milliseconds> longest_duration;
  // The room for a task of this size is kept, if possible; 0: none waits.
  int64_t largest_waiting_millis = 0;
  // Short work that needs room beside a long-running task; null: none.
  const ShortWorkNeed* short_work = nullptr;
};

// How many workers could not run a task, by the first reason that was found.
struct WorkerRejections {
  int64_t ineligible = 0;  // See IsEligible().
  // See WorkerRequest::isolated, and TrackedWorker::suspect_until.
  int64_t not_isolated = 0;
  int64_t planned = 0;           // The task would delay a planned start.
  int64_t no_capacity = 0;       // Memory, accelerators or reserved processors.
  int64_t best_effort_full = 0;  // Best-effort runs request all that is unused.
  int64_t label_missing = 0;
  int64_t task_limit = 0;     // See JobStep::maximum_tasks_per_worker.
  int64_t target_missed = 0;  // A run is over its target latency.
  int64_t low_headroom = 0;   // A run would come too close to its target.
};

// How far the protection of targets yields to a best-effort task that waits.
enum class TargetProtection {
  kFull,
  kThrottled,   // The headroom has to suffice for the lowest CPU limit only.
  kAfterStart,  // Left to the CPU limits, which follow what is measured.
};

struct WorkerSelection {
  TrackedWorker* worker = nullptr;  // Null when no worker can run the task.
  WorkerRejections rejections;
  TargetProtection protection = TargetProtection::kFull;
};

// The workers of a pool that accept new runs, in the order of their ids.
struct EligibleWorkers {
  std::vector<TrackedWorker*> workers;
  // Workers that would accept them, but have failed several times in a row.
  std::vector<TrackedWorker*> failing;
  int64_t ineligible = 0;  // Number of all workers but those in `workers`.
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

  // When more registered workers of the pool are failing than not, the failures
  // say little about the workers, and all of them are in `workers`.
  static EligibleWorkers FindEligible(const TrackedWorkers& workers,
                                      const std::string& pool,
                                      const std::set<std::string>& evacuated,
                                      MonotonicTime now);
  // Selects the best worker for the task; the first one of equal workers.
  WorkerSelection Select(const WorkerRequest& request,
                         const EligibleWorkers& eligible,
                         const LatencyInterferenceModel& model) const;
  // Rates an eligible worker for the task; the lowest score is the best.
  // Returns nullopt and counts the reason when the worker cannot run the task.
  std::optional<double> Rate(const WorkerRequest& request,
                             TrackedWorker* worker,
                             const LatencyInterferenceModel& model,
                             WorkerRejections* rejections) const;

  static TargetProtection ProtectionAfter(Milliseconds waited);
  // CPU limit, in percent, that a best-effort run starts with on the worker.
  static int64_t InitialCpuLimit(const JobStep& step,
                                 const TrackedWorker& worker,
                                 const LatencyInterferenceModel& model);

  // Whether the worker has room for one more run of the step now.
  static bool HasCapacityFor(const TrackedWorker& worker, const JobStep& step);
  static bool HasRequiredLabel(const TrackedWorker& worker,
                               const JobStep& step);
  // Whether the worker has as many runs of the step as it may have. `task` is
  // any task of the step.
  static bool IsAtTaskLimit(const TrackedWorker& worker,
                            const JobStep& step,
                            const TaskName& task);

  bool IsInOtherRegion(const std::string& failure_domain) const;

  // Whether the worker accepts new runs of this pool, unless it is failing.
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
