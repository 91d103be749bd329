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
#include "packages/placement/proposal_rate_limiter.h"
#include "packages/placement/team_accounting.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Chooses which pending tasks start and in which order, and asks the policy for
// the worker of each. Does no I/O.
class TaskPlacer {
 public:
  struct Hooks {
    PlacementPolicy policy;
    // Returns the amounts to reserve for a task of a kind with the declared
    // size.
    std::function<ResourceAmounts(int32_t task_kind,
                                  const ResourceAmounts& declared)>
        estimate;
    // Called for urgent work and services that found no worker, with the number
    // of waiting tasks (at most kMaximumEvictionRequests).
    std::function<void(const ClusterState& state,
                       const PlacementRequest& request,
                       size_t waiting,
                       MonotonicTime now)>
        request_evictions;
  };
  static constexpr size_t kMaximumEvictionRequests = 16;

  TaskPlacer(Fleet* fleet,
             OwnerCatalog* owners,
             FleetSynchronizer* synchronizer,
             Hooks hooks);

  void Step(const ClusterState& state,
            MonotonicTime now,
            std::vector<CommandBody>* commands);

 private:
  // An owner with pending tasks, ordered by rank and then by share.
  struct WaitingOwner {
    int rank = 0;  // Smaller ranks are served first.
    double share =
        0;  // Of the team; the smallest is served first within a rank.
    std::shared_ptr<const OwnerProfile> profile;
    std::set<std::string>::const_iterator next;
    std::set<std::string>::const_iterator end;
  };
  // A request that found no worker in this step; larger requests of the same
  // kind cannot find one either.
  struct FailedRequest {
    int32_t task_kind;
    CapacityClass capacity_class;
    ResourceAmounts size;
    std::vector<int32_t> failure_domains;
  };

  // The reason why an owner's request found no worker, valid for one shape of
  // the fleet and one generation of the owner.
  struct CachedReason {
    int64_t shape_count = -1;
    int64_t generation = -1;
    PendingReason reason;
  };

  std::vector<WaitingOwner> CollectWaiting(const ClusterState& state,
                                           TeamAccounting* accounting);
  // Returns false when the owner can start nothing more in this step.
  bool PlaceNext(const ClusterState& state,
                 MonotonicTime now,
                 TeamAccounting* accounting,
                 WaitingOwner* waiting,
                 std::vector<AttemptStart>* starts,
                 std::vector<CommandBody>* commands);
  std::optional<PlacementChoice> Choose(const PlacementRequest& request);
  PlacementRequest RequestFor(const OwnerProfile& profile,
                              TeamAccounting* accounting) const;
  void RequestEvictions(const ClusterState& state,
                        MonotonicTime now,
                        const PlacementRequest& request,
                        const WaitingOwner& waiting);
  void Start(const Task& task,
             const WaitingOwner& waiting,
             const PlacementRequest& request,
             const PlacementChoice& choice,
             MonotonicTime now,
             std::vector<AttemptStart>* starts);
  void SetReason(const ClusterState& state,
                 MonotonicTime now,
                 const OwnerProfile& profile,
                 PendingReason reason,
                 std::vector<CommandBody>* commands);
  const PendingReason& PendingReasonFor(const OwnerProfile& profile,
                                        const PlacementRequest& request);

  Fleet* fleet_;
  OwnerCatalog* owners_;
  FleetSynchronizer* synchronizer_;
  Hooks hooks_;
  ProposalRateLimiter proposal_limiter_;
  std::vector<FailedRequest> failed_requests_;
  // Keyed by owner uid. Cached since computing a reason examines all workers.
  absl::flat_hash_map<std::string, CachedReason> reasons_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_TASK_PLACER_H_
