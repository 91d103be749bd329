#ifndef PACKAGES_PLACEMENT_TASK_PLACER_H_
#define PACKAGES_PLACEMENT_TASK_PLACER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "packages/placement/fleet.h"
#include "packages/placement/fleet_synchronizer.h"
#include "packages/placement/owner_catalog.h"
#include "packages/placement/placement_policy.h"
#include "packages/placement/proposal_gate.h"
#include "packages/placement/team_ledger.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Chooses which pending tasks start, in which order, and asks the policy for
// the worker of each. Pure.
class TaskPlacer {
 public:
  struct Hooks {
    PlacementPolicy policy;
    // Size to reserve for a task of a kind with the declared size.
    std::function<ResourceAmounts(int32_t task_kind,
                                  const ResourceAmounts& declared)>
        estimate;
    // Called for urgent work and services that found no worker, with the
    // number of waiting tasks (kMaximumRoomRequests at most).
    std::function<void(const ClusterState& state,
                       const PlacementRequest& request,
                       size_t waiting,
                       MonotonicTime now)>
        make_room;
  };
  static constexpr size_t kMaximumRoomRequests = 16;

  TaskPlacer(Fleet* fleet,
             OwnerCatalog* owners,
             FleetSynchronizer* synchronizer,
             Hooks hooks);

  void Step(const ClusterState& state,
            MonotonicTime now,
            std::vector<CommandBody>* commands);

 private:
  // An owner with pending tasks, in the order of service.
  struct Waiting {
    int rank = 0;      // Urgent work first.
    double share = 0;  // Of the team; the smallest first within a rank.
    std::shared_ptr<const OwnerProfile> profile;
    std::set<std::string>::const_iterator next;
    std::set<std::string>::const_iterator end;
  };
  // A request that found no worker in this step; larger ones of the same kind
  // find none either.
  struct FailedRequest {
    int32_t task_kind;
    CapacityClass capacity_class;
    ResourceAmounts size;
    std::vector<int32_t> failure_domains;
  };

  // Why an owner's request found no worker, for one shape of the fleet.
  struct CachedReason {
    int64_t shape_count = -1;
    int64_t generation = -1;
    PendingReason reason;
  };

  std::vector<Waiting> CollectWaiting(const ClusterState& state,
                                      TeamLedger* ledger);
  // Returns false when the owner can start nothing more in this step.
  bool PlaceNext(const ClusterState& state,
                 MonotonicTime now,
                 TeamLedger* ledger,
                 Waiting* waiting,
                 std::vector<AttemptStart>* starts,
                 std::vector<CommandBody>* commands);
  std::optional<PlacementChoice> Choose(const PlacementRequest& request);
  PlacementRequest RequestFor(const OwnerProfile& profile,
                              TeamLedger* ledger) const;
  void MakeRoom(const ClusterState& state,
                MonotonicTime now,
                const PlacementRequest& request,
                const Waiting& waiting);
  void Start(const Task& task,
             const Waiting& waiting,
             const PlacementRequest& request,
             const PlacementChoice& choice,
             MonotonicTime now,
             std::vector<AttemptStart>* starts);
  void SetReason(const ClusterState& state,
                 MonotonicTime now,
                 const OwnerProfile& profile,
                 PendingReason reason,
                 std::vector<CommandBody>* commands);
  const PendingReason& ReasonFor(const OwnerProfile& profile,
                                 const PlacementRequest& request);

  Fleet* fleet_;
  OwnerCatalog* owners_;
  FleetSynchronizer* synchronizer_;
  Hooks hooks_;
  ProposalGate gate_;
  std::vector<FailedRequest> failed_;
  // By owner uid; computing one looks at all workers.
  absl::flat_hash_map<std::string, CachedReason> reasons_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_TASK_PLACER_H_
