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

// Makes room for urgent work and services by evicting batch work of lower
// rank. Pure.
class Preemptor {
 public:
  Preemptor(const Fleet* fleet, OwnerCatalog* owners);

  // Plans evictions for one task that found no worker. Looks at all workers.
  // Returns false when there is nothing more to evict for it now.
  bool MakeRoom(const ClusterState& state,
                const PlacementRequest& request,
                MonotonicTime now,
                std::vector<DesiredAttempt>* changes);

  // Plans for an owner that are under way.
  size_t PlansFor(const std::string& owner_uid) const;

  // Stops attempts whose checkpoint is complete or late.
  void Step(const ClusterState& state,
            MonotonicTime now,
            std::vector<DesiredAttempt>* changes);

 private:
  struct Plan {
    std::string owner_uid;
    ResourceAmounts size;  // Room that the plan makes.
    MonotonicTime end;     // Then it has failed.
    std::vector<AttemptEscalation> victims;
  };
  using Plans = std::vector<Plan>;

  static void StepPlan(const ClusterState& state,
                       MonotonicTime now,
                       Plan* plan,
                       std::vector<DesiredAttempt>* changes);
  std::vector<AttemptEscalation> ChooseVictims(const ClusterState& state,
                                               const PlacementRequest& request,
                                               uint32_t worker) const;

  const Fleet* fleet_;
  OwnerCatalog* owners_;
  // Room that the plans for a worker have promised to others.
  ResourceAmounts PromisedOn(uint32_t worker) const;
  bool IsVictim(uint32_t worker, const std::string& task_id) const;

  absl::flat_hash_map<uint32_t, Plans> plans_;  // By worker.
  uint32_t first_worker_ = 0;                   // Where the next search begins.
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_PREEMPTOR_H_
