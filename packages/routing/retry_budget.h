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

// Limits the retries of each service to the larger of 3 and 10% of its requests
// in the last 10 s, so that retries cannot amplify an overload.
class RetryBudget {
 public:
  void CountRequest(std::string_view service, MonotonicTime now);

  // Consumes one retry of the budget. Returns false when none is left.
  bool TryConsumeRetry(std::string_view service, MonotonicTime now);

 private:
  static constexpr int kWindowSeconds = 10;

  struct SecondCounts {
    int64_t number = -1;  // Seconds of the monotonic clock.
    int64_t requests = 0;
    int64_t retries = 0;
  };
  using Window = std::array<SecondCounts, kWindowSeconds>;

  static SecondCounts& CountsForSecond(Window* window, int64_t number);

  absl::Mutex mutex_;
  absl::flat_hash_map<std::string, Window> windows_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_RETRY_BUDGET_H_
