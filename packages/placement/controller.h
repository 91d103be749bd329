#ifndef PACKAGES_PLACEMENT_CONTROLLER_H_
#define PACKAGES_PLACEMENT_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/placement/fleet.h"
#include "packages/placement/fleet_synchronizer.h"
#include "packages/placement/interference_model.h"
#include "packages/placement/owner_catalog.h"
#include "packages/placement/placement_policy.h"
#include "packages/placement/preemptor.h"
#include "packages/placement/pressure_relief.h"
#include "packages/placement/probation_tracker.h"
#include "packages/placement/proposal_rate_limiter.h"
#include "packages/placement/scored_policy.h"
#include "packages/placement/task_placer.h"
#include "packages/placement/usage_estimator.h"
#include "packages/placement/worker_monitor.h"
#include "packages/placement/worker_report.h"

namespace bramleyrail {

// The job controller of a leader. An instance belongs to one term: its owner
// creates a new one whenever this instance becomes leader, and calls Step about
// every 50 ms while it leads. It starts with nothing but the replicated state.
class Controller {
 public:
  enum class SizeSource { kEstimate, kDeclared };
  enum class Eviction { kOn, kOff };

  struct Options {
    // Chooses the worker of a task; default: ScoredPolicy.
    PlacementPolicy policy;
    // Amounts to reserve for a task: an estimate of its real use, or the
    // declared size.
    SizeSource size_source = SizeSource::kEstimate;
    // Whether batch work is evicted for services and urgent work. Off only when
    // baseline policies are compared.
    Eviction eviction = Eviction::kOn;
    uint64_t seed = 20261204;
    // Thousandths of each worker's capacity that batch work leaves free for
    // services.
    int64_t headroom_permille = 100;
    // Uids for workers that register; default: NewUniqueId.
    std::function<std::string()> new_uid;
    // For Command::proposed_unix_ms; default: UnixMilliseconds.
    std::function<int64_t()> unix_clock;
  };

  explicit Controller(Options options);
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // Queues the report of a poll for the next step. Thread-safe.
  void EnqueueReport(WorkerReport report);

  // Returns the commands to propose now. Must be called by one thread at a
  // time, and `now` must never decrease.
  std::vector<Command> Step(const ClusterState& state, MonotonicTime now);

 private:
  struct TaskSetVersion {
    int64_t count = -1;  // See FleetWorker::task_set_version.
    MonotonicTime since;
  };

  std::vector<WorkerReport> TakeReports();
  void ApplyReport(const ClusterState& state,
                   const WorkerReport& report,
                   MonotonicTime now,
                   std::vector<CommandBody>* commands);
  void RecordUsage(const ClusterState& state,
                   const WorkerReport& report,
                   MonotonicTime now);
  // True when the set of tasks on the worker has not changed for
  // kMaximumReportLag, so that a report describes the current tasks.
  bool HasStableTaskSet(uint32_t worker, MonotonicTime now);
  void PlanEvictions(const ClusterState& state,
                     const PlacementRequest& request,
                     size_t waiting,
                     MonotonicTime now);
  // Stops attempts that their worker has not started and may not start any more
  // (it is drained or on probation).
  void StopUnstartedAttempts(const ClusterState& state,
                             MonotonicTime now,
                             std::vector<DesiredStateChange>* changes);
  void ProposeDesired(const ClusterState& state,
                      std::vector<DesiredStateChange> changes,
                      std::vector<CommandBody>* commands);
  TaskPlacer::Hooks PlacerHooks();
  void ReconcileOwners(const ClusterState& state,
                       MonotonicTime now,
                       std::vector<CommandBody>* commands);

  Options options_;
  Fleet fleet_;
  OwnerCatalog owners_;
  FleetSynchronizer synchronizer_;
  WorkerMonitor monitor_;
  UsageEstimator estimator_;
  InterferenceModel interference_;
  ScoredPolicy scored_policy_;
  ProbationTracker probation_;
  PressureRelief relief_;
  Preemptor preemptor_;
  TaskPlacer placer_;
  std::vector<DesiredStateChange> desired_changes_;  // Of the current step.
  absl::flat_hash_map<uint32_t, TaskSetVersion>
      task_set_versions_;  // By worker.
  ProposalRateLimiter proposal_limiter_;
  absl::Mutex mutex_;
  std::vector<WorkerReport> reports_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_CONTROLLER_H_
