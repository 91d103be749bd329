#include "packages/placement/team_ledger.h"

#include <algorithm>

namespace bramleyrail {

namespace {

double Ratio(int64_t part, int64_t whole) {
  return whole == 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

TeamLedger::TeamLedger(const ClusterState& state,
                       const Fleet& fleet,
                       const FleetSynchronizer& synchronizer)
    : state_(state),
      synchronizer_(synchronizer),
      fleet_capacity_(fleet.total_capacity()) {}

TeamLedger::Entry& TeamLedger::EntryOf(const std::string& team) {
  const auto [entry, is_new] = entries_.try_emplace(team);
  if (is_new) {
    entry->second.reserved = state_.ReservedBy(team);
    entry->second.reserved += synchronizer_.ProposedFor(team);
    const Resource* resource = state_.FindResource(ResourceKind::kTeam, team);
    if (resource != nullptr) {
      entry->second.spec = &std::get<TeamSpec>(resource->spec);
    }
  }
  return entry->second;
}

double TeamLedger::Share(const std::string& team) {
  const Entry& entry = EntryOf(team);
  // The share of the dominant resource, so that a team cannot take all the
  // memory while its processor share looks small.
  const double dominant = std::max(
      {Ratio(entry.reserved.processor_millis, fleet_capacity_.processor_millis),
       Ratio(entry.reserved.memory_mib, fleet_capacity_.memory_mib),
       Ratio(entry.reserved.accelerators, fleet_capacity_.accelerators)});
  const int64_t weight = entry.spec == nullptr ? 1 : entry.spec->weight;
  return dominant / static_cast<double>(std::max<int64_t>(weight, 1));
}

QuotaVerdict TeamLedger::Check(const std::string& team,
                               const ResourceAmounts& size) {
  const Entry& entry = EntryOf(team);
  if (entry.spec == nullptr) {
    return QuotaVerdict::kNoTeam;
  }
  if (!size.FitsInto(entry.spec->quota)) {
    return QuotaVerdict::kLargerThanQuota;
  }
  ResourceAmounts total = entry.reserved;
  total += size;
  return total.FitsInto(entry.spec->quota) ? QuotaVerdict::kWithin
                                           : QuotaVerdict::kUsedUp;
}

void TeamLedger::Charge(const std::string& team, const ResourceAmounts& size) {
  EntryOf(team).reserved += size;
}

}  // namespace bramleyrail
