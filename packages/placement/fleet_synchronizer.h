#ifndef PACKAGES_PLACEMENT_FLEET_SYNCHRONIZER_H_
#define PACKAGES_PLACEMENT_FLEET_SYNCHRONIZER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "packages/placement/fleet.h"
#include "packages/placement/owner_catalog.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Keeps the fleet synchronized with the replicated state. Starts that are
// proposed but not yet applied stay reserved on their workers and in their
// teams.
class FleetSynchronizer {
 public:
  FleetSynchronizer(Fleet* fleet, OwnerCatalog* owners);

  void Synchronize(const ClusterState& state, MonotonicTime now);

  void AddProposed(std::string_view task_id,
                   uint32_t worker,
                   FleetTask task,
                   const std::string& team,
                   MonotonicTime now);
  bool IsProposed(std::string_view task_id) const;
  size_t proposed_count() const { return proposed_.size(); }

  // Sum of the reservations of proposed starts that the state does not include
  // yet.
  ResourceAmounts ProposedFor(std::string_view team) const;

 private:
  struct ProposedStart {
    uint32_t worker = 0;
    int64_t attempt = 0;
    std::string team;
    ResourceAmounts reserved;
    MonotonicTime deadline;
  };
  // State of a worker when its tasks were last compared in full.
  struct SynchronizedWorker {
    int64_t resource_revision = -1;
    ResourceAmounts reserved;
    size_t task_count = 0;
  };

  void ResolveProposed(const ClusterState& state, MonotonicTime now);
  void SynchronizeWorker(const ClusterState& state,
                         const std::string& name,
                         const WorkerState& worker_state,
                         bool compare_tasks);
  void SynchronizeTasks(const ClusterState& state,
                        uint32_t worker,
                        const WorkerState& worker_state);
  void PutTask(const ClusterState& state, uint32_t worker, const Task& task);
  void RemoveMissingWorkers(const ClusterState& state);

  Fleet* fleet_;
  OwnerCatalog* owners_;
  int64_t synchronized_revision_ = -1;
  uint64_t step_ = 0;
  absl::flat_hash_map<std::string, SynchronizedWorker> synchronized_workers_;
  absl::flat_hash_map<std::string, ProposedStart> proposed_;
  absl::flat_hash_map<std::string, ResourceAmounts> proposed_by_team_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_FLEET_SYNCHRONIZER_H_
