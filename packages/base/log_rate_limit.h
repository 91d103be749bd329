#ifndef PACKAGES_BASE_LOG_RATE_LIMIT_H_
#define PACKAGES_BASE_LOG_RATE_LIMIT_H_

#include <cstdint>
#include <utility>

#include "packages/base/clock.h"

namespace bramleyrail {

// Bounds how many lines of one kind are logged in a second. For one thread.
class LogRateLimit {
 public:
  explicit LogRateLimit(int64_t lines_per_second)
      : lines_per_second_(lines_per_second) {}

  // Returns whether a line may be logged now, and counts those that may not.
  bool Allow(MonotonicTime now) {
    if (now - period_start_ >= std::chrono::seconds(1)) {
      period_start_ = now;
      lines_ = 0;
    }
    if (lines_ < lines_per_second_) {
      ++lines_;
      return true;
    }
    ++suppressed_;
    return false;
  }

  // Returns the number of lines that were suppressed since the last call.
  int64_t TakeSuppressed() { return std::exchange(suppressed_, 0); }

 private:
  const int64_t lines_per_second_;
  MonotonicTime period_start_;
  int64_t lines_ = 0;
  int64_t suppressed_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BASE_LOG_RATE_LIMIT_H_
