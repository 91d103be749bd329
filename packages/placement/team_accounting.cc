#include "packages/placement/team_accounting.h"

namespace bramleyrail {

TeamAccounting::TeamAccounting(const ClusterState& state,
                               const Fleet& fleet,
                               const FleetSynchronizer& synchronizer)
    : state_(state),
      synchronizer_(synchronizer),
      fleet_capacity_(fleet.total_capacity()) {}

TeamAccounting::TeamUsage& TeamAccounting::UsageOf(const std::string& team) {
  const auto [usage, is_new] = usage_by_team_.try_emplace(team);
  if (is_new) {
    usage->second.reserved = state_.ReservedBy(team);
    usage->second.reserved += synchronizer_.ProposedFor(team);
    const Resource* resource = state_.FindResource(ResourceKind::kTeam, team);
    if (resource != nullptr) {
      usage->second.spec = &std::get<TeamSpec>(resource->spec);
    }
  }
  return usage->second;
}

double TeamAccounting::Share(const std::string& team) {
  const TeamUsage& usage = UsageOf(team);
  return WeightedDominantShare(usage.reserved, fleet_capacity_,
                               usage.spec == nullptr ? 1 : usage.spec->weight);
}

QuotaStatus TeamAccounting::Check(const std::string& team,
                                  const ResourceAmounts& size) {
  const TeamUsage& usage = UsageOf(team);
  if (usage.spec == nullptr) {
    return QuotaStatus::kUnknownTeam;
  }
  if (!size.FitsInto(usage.spec->quota)) {
    return QuotaStatus::kLargerThanQuota;
  }
  ResourceAmounts total = usage.reserved;
  total += size;
  return total.FitsInto(usage.spec->quota) ? QuotaStatus::kWithinQuota
                                           : QuotaStatus::kExhausted;
}

void TeamAccounting::Charge(const std::string& team,
                            const ResourceAmounts& size) {
  UsageOf(team).reserved += size;
}

}  // namespace bramleyrail
