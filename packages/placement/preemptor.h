#ifndef PACKAGES_PLACEMENT_PREEMPTOR_H_
#define PACKAGES_PLACEMENT_PREEMPTOR_H_

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "packages/placement/attempt_escalation.h"
#include "packages/placement/fleet.h"
#include "packages/placement/owner_catalog.h"
#include "packages/placement/placement_policy.h"

namespace bramleyrail {

// Frees capacity for urgent work and services by evicting batch work of lower
// rank. Does no I/O.
class Preemptor {
 public:
  Preemptor(const Fleet* fleet, OwnerCatalog* owners);

  // Plans evictions for one task that found no worker. Examines workers until
  // enough suitable ones were compared. Returns false when no further evictions
  // can help the task now.
  bool PlanEvictions(const ClusterState& state,
                     const PlacementRequest& request,
                     MonotonicTime now,
                     std::vector<DesiredStateChange>* changes);

  // Number of active plans for an owner.
  size_t PlanCount(const std::string& owner_uid) const;

  // Stops attempts whose checkpoint is complete or timed out.
  void Step(const ClusterState& state,
            MonotonicTime now,
            std::vector<DesiredStateChange>* changes);

 private:
  struct Plan {
    std::string owner_uid;
    ResourceAmounts size;    // Capacity that the plan frees.
    MonotonicTime deadline;  // The plan has failed when it is reached.
    std::vector<AttemptEscalation> victims;
  };
  using Plans = std::vector<Plan>;

  static void StepPlan(const ClusterState& state,
                       MonotonicTime now,
                       Plan* plan,
                       std::vector<DesiredStateChange>* changes);
  std::vector<AttemptEscalation> ChooseVictims(const ClusterState& state,
                                               const PlacementRequest& request,
                                               uint32_t worker) const;

  const Fleet* fleet_;
  OwnerCatalog* owners_;
  // Capacity of the worker that its plans free for other requests.
  ResourceAmounts PlannedOn(uint32_t worker) const;
  bool IsVictim(uint32_t worker, const std::string& task_id) const;

  absl::flat_hash_map<uint32_t, Plans> plans_;  // By worker.
  uint32_t first_worker_ = 0;                   // Start of the next search.
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_PREEMPTOR_H_
