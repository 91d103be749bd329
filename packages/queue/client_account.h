#ifndef PACKAGES_QUEUE_CLIENT_ACCOUNT_H_
#define PACKAGES_QUEUE_CLIENT_ACCOUNT_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "packages/base/base.h"
#include "packages/state/state.h"

namespace bramleyrail {

// An account of callers. Its keys identify the calls of its clients; they are
// secrets and stand in no log line, metric or message.
struct ClientAccount {
  std::string name;
  std::vector<std::string> keys;
  int64_t priority = 0;  // 0 is the highest priority.
  // Share of the workers when there is not room for all, relative to the other
  // accounts of the priority.
  int64_t weight = 1;
  // What the runs of the account may reserve together on all workers; an amount
  // of 0 is not limited.
  ResourceAmounts limit;
};

// Adds a fault for a key that two accounts hold or that cannot stand in an HTTP
// field, and for a name that is missing or used twice. No fault contains a key.
void CheckAccounts(std::span<const ClientAccount> accounts,
                   std::vector<FieldFault>* faults);

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_CLIENT_ACCOUNT_H_
