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
#include "packages/placement/owner_catalog.h"
#include "packages/placement/placement_policy.h"
#include "packages/placement/proposal_gate.h"
#include "packages/placement/task_placer.h"
#include "packages/placement/worker_monitor.h"
#include "packages/placement/worker_report.h"

namespace bramleyrail {

// The leader's job controller. It belongs to one term: the owner makes a new
// one whenever this instance becomes leader, and calls Step about every 50 ms
// while it leads. It starts with no knowledge beside the replicated state.
class Controller {
 public:
  struct Options {
    // Where a task goes. Default: MakeLeastLoadedPolicy.
    PlacementPolicy policy;
    // Part of each worker that batch work leaves free for services.
    int64_t headroom_permille = 100;
    // Uids for workers that register; default: NewUniqueId.
    std::function<std::string()> new_uid;
    // For Command::proposed_unix_ms; default: UnixMilliseconds.
    std::function<int64_t()> unix_clock;
  };

  explicit Controller(Options options);

  // Takes the report of a poll. Any thread may call it, at any time.
  void Observe(WorkerReport report);

  // Returns the commands to propose now. One thread at a time; `now` never
  // goes back.
  std::vector<Command> Step(const ClusterState& state, MonotonicTime now);

 private:
  std::vector<WorkerReport> TakeReports();
  void ApplyReport(const ClusterState& state,
                   const WorkerReport& report,
                   MonotonicTime now,
                   std::vector<CommandBody>* commands);
  void ReconcileOwners(const ClusterState& state,
                       MonotonicTime now,
                       std::vector<CommandBody>* commands);

  Options options_;
  Fleet fleet_;
  OwnerCatalog owners_;
  FleetSynchronizer synchronizer_;
  WorkerMonitor monitor_;
  TaskPlacer placer_;
  ProposalGate gate_;
  absl::Mutex mutex_;
  std::vector<WorkerReport> reports_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_CONTROLLER_H_
