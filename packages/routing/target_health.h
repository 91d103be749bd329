#ifndef PACKAGES_ROUTING_TARGET_HEALTH_H_
#define PACKAGES_ROUTING_TARGET_HEALTH_H_

#include <atomic>
#include <cstdint>

#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"

namespace bramleyrail {

// Latency, failures and ejection of one target. Reads take no lock.
class TargetHealth {
 public:
  // Records an answer of the target.
  void RecordSuccess(Milliseconds latency);

  // Records a failure; true when the target should now be ejected.
  bool RecordFailure();

  // Ejects for 1 s, doubled with each ejection in a row up to 30 s, plus up to
  // 20% by `jitter` in [0, 1). Returns the duration.
  Milliseconds Eject(MonotonicTime now, double jitter);

  bool IsEjected(MonotonicTime now) const;

  // Share of its usual traffic that the target takes: below 1 for the first
  // 10 s after an ejection.
  double Share(MonotonicTime now) const;

  // Moving average in milliseconds, at least 1.
  double LatencyMilliseconds() const;

 private:
  mutable absl::Mutex mutex_;
  int consecutive_failures_ ABSL_GUARDED_BY(mutex_) = 0;
  uint32_t recent_failures_ ABSL_GUARDED_BY(mutex_) = 0;  // One bit a request.
  int recent_requests_ ABSL_GUARDED_BY(mutex_) = 0;
  Milliseconds last_ejection_ ABSL_GUARDED_BY(mutex_){0};
  int successes_since_return_ ABSL_GUARDED_BY(mutex_) = 0;
  std::atomic<int64_t> ejected_until_ns_{0};  // 0: never ejected.
  std::atomic<double> latency_ms_{0};
};

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_TARGET_HEALTH_H_
