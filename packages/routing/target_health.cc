#include "packages/routing/target_health.h"

#include <algorithm>
#include <bit>

#include "packages/routing/monotonic_nanoseconds.h"

namespace bramleyrail {

namespace {

constexpr int kConsecutiveFailureLimit = 5;
constexpr int kRecentRequests = 20;
constexpr uint32_t kRecentMask = (1U << kRecentRequests) - 1;
constexpr Milliseconds kInitialEjectionDuration{1'000};
constexpr Milliseconds kMaximumEjectionDuration{30'000};
constexpr double kEjectionJitter = 0.2;
constexpr std::chrono::nanoseconds kRampUpPeriod = std::chrono::seconds(10);
// A recovering target needs some traffic to show that it works.
constexpr double kInitialTrafficShare = 0.05;
constexpr double kLatencySmoothingFactor = 0.1;
// Differences below 1 ms are noise of the loopback interface or the network.
constexpr double kLatencyFloorMs = 1.0;

}  // namespace

void TargetHealth::RecordSuccess(Milliseconds latency) {
  const auto sample = static_cast<double>(latency.count());
  // Concurrent updates may drop a sample; the average tolerates this.
  const double average = latency_ms_.load(std::memory_order_relaxed);
  latency_ms_.store(
      average == 0 ? sample
                   : average + kLatencySmoothingFactor * (sample - average),
      std::memory_order_relaxed);
  absl::MutexLock lock(&mutex_);
  consecutive_failures_ = 0;
  recent_failures_ = (recent_failures_ << 1) & kRecentMask;
  recent_requests_ = std::min(recent_requests_ + 1, kRecentRequests);
  if (++successes_since_ejection_ >= kRecentRequests) {
    last_ejection_duration_ = Milliseconds(0);
  }
}

bool TargetHealth::RecordFailure() {
  absl::MutexLock lock(&mutex_);
  ++consecutive_failures_;
  recent_failures_ = ((recent_failures_ << 1) | 1) & kRecentMask;
  recent_requests_ = std::min(recent_requests_ + 1, kRecentRequests);
  const bool half_failed =
      recent_requests_ == kRecentRequests &&
      std::popcount(recent_failures_) * 2 >= kRecentRequests;
  return consecutive_failures_ >= kConsecutiveFailureLimit || half_failed;
}

Milliseconds TargetHealth::Eject(MonotonicTime now, double jitter) {
  absl::MutexLock lock(&mutex_);
  last_ejection_duration_ =
      last_ejection_duration_.count() == 0
          ? kInitialEjectionDuration
          : std::min(last_ejection_duration_ * 2, kMaximumEjectionDuration);
  const auto duration = Milliseconds(static_cast<int64_t>(
      static_cast<double>(last_ejection_duration_.count()) *
      (1.0 + kEjectionJitter * jitter)));
  ejected_until_ns_.store(ToNanoseconds(now + duration),
                          std::memory_order_relaxed);
  consecutive_failures_ = 0;
  recent_failures_ = 0;
  recent_requests_ = 0;
  successes_since_ejection_ = 0;
  return duration;
}

bool TargetHealth::IsEjected(MonotonicTime now) const {
  return ToNanoseconds(now) < ejected_until_ns_.load(std::memory_order_relaxed);
}

double TargetHealth::TrafficShare(MonotonicTime now) const {
  const int64_t until = ejected_until_ns_.load(std::memory_order_relaxed);
  if (until == 0) {
    return 1.0;
  }
  const double returned = static_cast<double>(ToNanoseconds(now) - until) /
                          static_cast<double>(kRampUpPeriod.count());
  return std::clamp(returned, kInitialTrafficShare, 1.0);
}

double TargetHealth::LatencyMilliseconds() const {
  return std::max(latency_ms_.load(std::memory_order_relaxed), kLatencyFloorMs);
}

}  // namespace bramleyrail
