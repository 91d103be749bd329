#ifndef PACKAGES_PLACEMENT_TEAM_LEDGER_H_
#define PACKAGES_PLACEMENT_TEAM_LEDGER_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "packages/placement/fleet.h"
#include "packages/placement/fleet_synchronizer.h"
#include "packages/state/state.h"

namespace bramleyrail {

enum class QuotaVerdict { kWithin, kUsedUp, kLargerThanQuota, kNoTeam };

// What each team has reserved, for fair shares and quotas. Valid for one step.
class TeamLedger {
 public:
  TeamLedger(const ClusterState& state,
             const Fleet& fleet,
             const FleetSynchronizer& synchronizer);

  // The team's largest share of any resource of the fleet, over its weight.
  double Share(const std::string& team);
  QuotaVerdict Check(const std::string& team, const ResourceAmounts& size);
  void Charge(const std::string& team, const ResourceAmounts& size);

 private:
  struct Entry {
    ResourceAmounts reserved;
    const TeamSpec* spec = nullptr;  // nullptr: not declared.
  };

  Entry& EntryOf(const std::string& team);

  const ClusterState& state_;
  const FleetSynchronizer& synchronizer_;
  ResourceAmounts fleet_capacity_;
  absl::flat_hash_map<std::string, Entry> entries_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_TEAM_LEDGER_H_
