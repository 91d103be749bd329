#ifndef PACKAGES_ROUTING_RETRY_BUDGET_H_
#define PACKAGES_ROUTING_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"

namespace bramleyrail {

// Limits the retries of each service to 10% of its requests in the last 10 s,
// and at least 3, so that retries cannot multiply an overload.
class RetryBudget {
 public:
  void CountRequest(std::string_view service, MonotonicTime now);

  // Takes one retry out of the budget; false when it is used up.
  bool TryTake(std::string_view service, MonotonicTime now);

 private:
  static constexpr int kSeconds = 10;

  struct Second {
    int64_t number = -1;  // Of the monotonic clock.
    int64_t requests = 0;
    int64_t retries = 0;
  };
  using Window = std::array<Second, kSeconds>;

  static Second& Current(Window* window, int64_t number);

  absl::Mutex mutex_;
  absl::flat_hash_map<std::string, Window> windows_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_RETRY_BUDGET_H_
