#ifndef PACKAGES_ROUTING_OWNER_RECORD_H_
#define PACKAGES_ROUTING_OWNER_RECORD_H_

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <string>

#include "packages/base/base.h"
#include "packages/routing/monotonic_nanoseconds.h"
#include "packages/routing/routing_message.h"
#include "packages/routing/selection.h"

namespace bramleyrail {

// An owner whose last summary is older is not selected.
inline constexpr Milliseconds kSummaryLifetime{2'000};

// The last summary that another instance sent of its targets of one service.
class OwnerRecord {
 public:
  OwnerRecord(std::string instance, OwnerDistance distance)
      : instance_(std::move(instance)), distance_(distance) {}

  const std::string& instance() const { return instance_; }

  void Update(const ServiceSummary& summary, MonotonicTime now) {
    free_slots_.store(summary.free_slots);
    free_connections_.store(summary.free_connections);
    targets_.store(summary.targets);
    latency_ms_.store(summary.latency_ms);
    assigned_since_summary_.store(0);
    received_ns_.store(ToNanoseconds(now));
  }

  void Expire() { received_ns_.store(0); }

  bool IsCurrent(MonotonicTime now) const {
    const int64_t received = received_ns_.load();
    const int64_t age = ToNanoseconds(now) - received;
    return received != 0 && age < ToNanoseconds(kSummaryLifetime);
  }

  // Work sent since the last summary is subtracted from the reported capacity.
  void CountAssigned() { assigned_since_summary_.fetch_add(1); }

  // Called when the owner rejected work for lack of capacity; it counts as full
  // until its next summary.
  void MarkFull() {
    free_slots_.store(0);
    free_connections_.store(0);
  }

  OwnerCandidate ToCandidate(WorkKind kind) const {
    const int64_t free = kind == WorkKind::kRequest ? free_slots_.load()
                                                    : free_connections_.load();
    return {instance_, distance_,
            std::max<int64_t>(0, free - assigned_since_summary_.load()),
            std::max(1.0, latency_ms_.load())};
  }

  int64_t targets() const { return targets_.load(); }

 private:
  const std::string instance_;
  const OwnerDistance distance_;
  std::atomic<int64_t> free_slots_{0};
  std::atomic<int64_t> free_connections_{0};
  std::atomic<int64_t> targets_{0};
  std::atomic<int64_t> assigned_since_summary_{0};
  std::atomic<double> latency_ms_{1};
  std::atomic<int64_t> received_ns_{0};
};

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_OWNER_RECORD_H_
