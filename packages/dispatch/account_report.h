#ifndef PACKAGES_DISPATCH_ACCOUNT_REPORT_H_
#define PACKAGES_DISPATCH_ACCOUNT_REPORT_H_

#include <cstdint>
#include <string>

#include "packages/queue/queue.h"

namespace bramleyrail {

// What a client account uses, and how many of its tasks wait for what.
struct AccountReport {
  std::string account;
  ResourceAmounts limit;  // An amount of 0 is not limited.
  ResourceAmounts used;
  int64_t weight = 1;
  double share = 0;  // Dominant share in the workers, without the weight.
  int64_t waiting_for_limit = 0;
  int64_t waiting_for_share = 0;  // The account is beyond its share.
  int64_t waiting_for_room = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_ACCOUNT_REPORT_H_
