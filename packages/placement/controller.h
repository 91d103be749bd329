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
#include "packages/placement/proposal_gate.h"
#include "packages/placement/scored_policy.h"
#include "packages/placement/task_placer.h"
#include "packages/placement/usage_estimator.h"
#include "packages/placement/worker_monitor.h"
#include "packages/placement/worker_report.h"

namespace bramleyrail {

// The leader's job controller. It belongs to one term: the owner makes a new
// one whenever this instance becomes leader, and calls Step about every 50 ms
// while it leads. It starts with no knowledge beside the replicated state.
class Controller {
 public:
  enum class SizeSource { kEstimate, kDeclared };
  enum class Eviction { kOn, kOff };

  struct Options {
    // Where a task goes; default: ScoredPolicy.
    PlacementPolicy policy;
    // What to reserve: an estimate of real use, or the declared size.
    SizeSource size_source = SizeSource::kEstimate;
    // Whether batch work gives way to services and urgent work; off only for
    // comparison with plain policies.
    Eviction eviction = Eviction::kOn;
    uint64_t seed = 20261204;
    // Part of each worker that batch work leaves free for services.
    int64_t headroom_permille = 100;
    // Uids for workers that register; default: NewUniqueId.
    std::function<std::string()> new_uid;
    // For Command::proposed_unix_ms; default: UnixMilliseconds.
    std::function<int64_t()> unix_clock;
  };

  explicit Controller(Options options);
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // Takes the report of a poll. Any thread may call it, at any time.
  void Observe(WorkerReport report);

  // Returns the commands to propose now. One thread at a time; `now` never
  // goes back.
  std::vector<Command> Step(const ClusterState& state, MonotonicTime now);

 private:
  struct Composition {
    int64_t count = -1;  // See FleetWorker::composition_count.
    MonotonicTime since;
  };

  std::vector<WorkerReport> TakeReports();
  void ApplyReport(const ClusterState& state,
                   const WorkerReport& report,
                   MonotonicTime now,
                   std::vector<CommandBody>* commands);
  void LearnUsage(const ClusterState& state,
                  const WorkerReport& report,
                  MonotonicTime now);
  // True when the worker has held the same tasks for as long as reports lag.
  bool IsSettled(uint32_t worker, MonotonicTime now);
  void MakeRoom(const ClusterState& state,
                const PlacementRequest& request,
                size_t waiting,
                MonotonicTime now);
  // Takes attempts off workers that may not start them any more.
  void WithdrawUnstarted(const ClusterState& state,
                         MonotonicTime now,
                         std::vector<DesiredAttempt>* changes);
  void ProposeDesired(const ClusterState& state,
                      std::vector<DesiredAttempt> changes,
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
  std::vector<DesiredAttempt> desired_;  // Collected in one step.
  absl::flat_hash_map<uint32_t, Composition> compositions_;  // By worker.
  ProposalGate gate_;
  absl::Mutex mutex_;
  std::vector<WorkerReport> reports_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_CONTROLLER_H_
