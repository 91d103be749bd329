#include "packages/placement/team_accounting.h"

#include <algorithm>

namespace bramleyrail {

namespace {

double Ratio(int64_t part, int64_t whole) {
  return whole == 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

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
  // Uses the dominant resource, so that a team cannot reserve all the memory
  // while its share of the processors is small.
  const double dominant = std::max(
      {Ratio(usage.reserved.processor_millis, fleet_capacity_.processor_millis),
       Ratio(usage.reserved.memory_mib, fleet_capacity_.memory_mib),
       Ratio(usage.reserved.accelerators, fleet_capacity_.accelerators)});
  const int64_t weight = usage.spec == nullptr ? 1 : usage.spec->weight;
  return dominant / static_cast<double>(std::max<int64_t>(weight, 1));
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
