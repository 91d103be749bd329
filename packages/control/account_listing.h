#ifndef PACKAGES_CONTROL_ACCOUNT_LISTING_H_
#define PACKAGES_CONTROL_ACCOUNT_LISTING_H_

#include <span>

#include "packages/dispatch/dispatch.h"
#include "packages/queue/queue.h"

namespace bramleyrail {

// The accounts as operators see them: limit, use, share, and how many tasks
// wait for which of these. Contains the number of keys, but no key.
Json ListAccounts(const QueueConfiguration& configuration,
                  std::span<const AccountReport> reports);

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_ACCOUNT_LISTING_H_
