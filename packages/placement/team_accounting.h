#ifndef PACKAGES_PLACEMENT_TEAM_ACCOUNTING_H_
#define PACKAGES_PLACEMENT_TEAM_ACCOUNTING_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "packages/placement/fleet.h"
#include "packages/placement/fleet_synchronizer.h"
#include "packages/state/state.h"

namespace bramleyrail {

enum class QuotaStatus {
  kWithinQuota,
  kExhausted,
  kLargerThanQuota,
  kUnknownTeam
};

// Reservations of each team, for fair shares and quotas. Valid for one step.
class TeamAccounting {
 public:
  TeamAccounting(const ClusterState& state,
                 const Fleet& fleet,
                 const FleetSynchronizer& synchronizer);

  // The team's share of its dominant resource (the largest of its shares of the
  // fleet's resources), divided by its weight.
  double Share(const std::string& team);
  QuotaStatus Check(const std::string& team, const ResourceAmounts& size);
  void Charge(const std::string& team, const ResourceAmounts& size);

 private:
  struct TeamUsage {
    ResourceAmounts reserved;
    const TeamSpec* spec = nullptr;  // nullptr: the team is not declared.
  };

  TeamUsage& UsageOf(const std::string& team);

  const ClusterState& state_;
  const FleetSynchronizer& synchronizer_;
  ResourceAmounts fleet_capacity_;
  absl::flat_hash_map<std::string, TeamUsage> usage_by_team_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_TEAM_ACCOUNTING_H_
