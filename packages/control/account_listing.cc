#include "packages/control/account_listing.h"

#include <map>
#include <string_view>
#include <utility>

namespace bramleyrail {

namespace {

Json AmountsToJson(const ResourceAmounts& amounts) {
  return {{"processor_millis", amounts.processor_millis},
          {"memory_mib", amounts.memory_mib},
          {"accelerators", amounts.accelerators}};
}

}  // namespace

Json ListAccounts(const QueueConfiguration& configuration,
                  std::span<const AccountReport> reports) {
  std::map<std::string_view, const AccountReport*> report_of;
  for (const AccountReport& report : reports) {
    report_of.emplace(report.account, &report);
  }
  Json accounts = Json::array();
  for (const ClientAccount& account : configuration.accounts) {
    // An account that has sent nothing yet has no report.
    const auto found = report_of.find(account.name);
    const AccountReport report =
        found == report_of.end() ? AccountReport() : *found->second;
    accounts.push_back({{"name", account.name},
                        {"priority", account.priority},
                        {"weight", account.weight},
                        {"keys", account.keys.size()},
                        {"limit", AmountsToJson(account.limit)},
                        {"used", AmountsToJson(report.used)},
                        {"share", report.share},
                        {"waiting_for_limit", report.waiting_for_limit},
                        {"waiting_for_share", report.waiting_for_share},
                        {"waiting_for_room", report.waiting_for_room}});
  }
  return {{"version", configuration.version},
          {"accounts", std::move(accounts)}};
}

}  // namespace bramleyrail
