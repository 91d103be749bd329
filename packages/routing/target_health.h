#ifndef PACKAGES_ROUTING_TARGET_HEALTH_H_
#define PACKAGES_ROUTING_TARGET_HEALTH_H_

#include <atomic>
#include <cstdint>

#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"

namespace bramleyrail {

// Latency, failures and ejection of one target. Thread-safe; the const methods
// take no lock.
class TargetHealth {
 public:
  // Records a response of the target.
  void RecordSuccess(Milliseconds latency);

  // Records a failure. Returns true when the target should be ejected.
  bool RecordFailure();

  // Ejects the target for 1 s, doubled with each consecutive ejection up to
  // 30 s, plus `jitter` (in [0, 1)) times 20%. Returns the duration.
  Milliseconds Eject(MonotonicTime now, double jitter);

  bool IsEjected(MonotonicTime now) const;

  // Fraction of its usual traffic that the target may receive: below 1 for the
  // first 10 s after an ejection.
  double TrafficShare(MonotonicTime now) const;

  // Exponential moving average in milliseconds, at least 1.
  double LatencyMilliseconds() const;

 private:
  mutable absl::Mutex mutex_;
  int consecutive_failures_ ABSL_GUARDED_BY(mutex_) = 0;
  // One bit per request; 1: failed.
  uint32_t recent_failures_ ABSL_GUARDED_BY(mutex_) = 0;
  int recent_requests_ ABSL_GUARDED_BY(mutex_) = 0;
  Milliseconds last_ejection_duration_ ABSL_GUARDED_BY(mutex_){0};
  int successes_since_ejection_ ABSL_GUARDED_BY(mutex_) = 0;
  std::atomic<int64_t> ejected_until_ns_{0};  // 0: never ejected.
  std::atomic<double> latency_ms_{0};
};

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_TARGET_HEALTH_H_
