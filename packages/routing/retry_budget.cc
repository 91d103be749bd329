#include "packages/routing/retry_budget.h"

#include <algorithm>

namespace bramleyrail {

namespace {

constexpr int64_t kRequestsPerRetry = 10;
constexpr int64_t kMinimumRetries = 3;

int64_t SecondOf(MonotonicTime now) {
  return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
      .count();
}

}  // namespace

RetryBudget::SecondCounts& RetryBudget::CountsForSecond(Window* window,
                                                        int64_t number) {
  SecondCounts& second =
      (*window)[static_cast<size_t>(number % kWindowSeconds)];
  if (second.number != number) {
    second = SecondCounts{number, 0, 0};
  }
  return second;
}

void RetryBudget::CountRequest(std::string_view service, MonotonicTime now) {
  absl::MutexLock lock(&mutex_);
  ++CountsForSecond(&windows_[std::string(service)], SecondOf(now)).requests;
}

bool RetryBudget::TryConsumeRetry(std::string_view service, MonotonicTime now) {
  const int64_t number = SecondOf(now);
  absl::MutexLock lock(&mutex_);
  Window& window = windows_[std::string(service)];
  SecondCounts& current = CountsForSecond(&window, number);
  int64_t requests = 0;
  int64_t retries = 0;
  for (const SecondCounts& second : window) {
    if (second.number > number - kWindowSeconds) {
      requests += second.requests;
      retries += second.retries;
    }
  }
  if (retries >= std::max(kMinimumRetries, requests / kRequestsPerRetry)) {
    return false;
  }
  ++current.retries;
  return true;
}

}  // namespace bramleyrail
