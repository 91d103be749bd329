#ifndef PACKAGES_ROUTING_TARGET_SESSION_H_
#define PACKAGES_ROUTING_TARGET_SESSION_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"
#include "packages/routing/target_health.h"

namespace bramleyrail {

inline constexpr Milliseconds kTargetLeaseDuration{3'000};
inline constexpr Milliseconds kTargetRenewalInterval{500};
// Sending stops a tenth of the lease before its end, since the target's clock
// may run faster.
inline constexpr Milliseconds kTargetSendWindow{2'700};

// A request takes a slot and a connection; a watch takes a connection only.
enum class WorkKind { kRequest, kWatch };

// Work that a target reports as still in progress.
struct WorkInProgress {
  std::vector<std::string> requests;  // Request ids.
  std::vector<std::string> watches;   // Request ids of watches.
};

struct TargetAnnouncement {
  std::string name;
  std::string service;
  std::string host;
  int port = 0;
  int64_t session = 0;   // Number, incremented by the target per announcement.
  int64_t sequence = 0;  // Increases with each message of the target.
  int64_t slots = 0;
  int64_t connections = 0;
  WorkInProgress in_progress;
};

// Permission to use the capacity of one target while its lease is valid, and
// the accounting of that capacity. Thread-safe.
class TargetSession {
 public:
  TargetSession(TargetAnnouncement announcement, MonotonicTime now);

  const std::string& name() const { return announcement_.name; }
  const std::string& service() const { return announcement_.service; }
  const std::string& host() const { return announcement_.host; }
  int port() const { return announcement_.port; }
  int64_t session() const { return announcement_.session; }
  int64_t slots() const { return announcement_.slots; }
  int64_t connections() const { return announcement_.connections; }

  // True while work may be sent: the lease is valid at `now`, and the target is
  // not leaving, is not drained and has no newer session. Callers check this
  // again immediately before they send.
  bool MaySend(MonotonicTime now) const;
  bool IsExpired(MonotonicTime now) const;

  // Acquires capacity. Returns false when the target has none free or may not
  // receive work.
  bool TryAcquire(WorkKind kind, MonotonicTime now);
  void Release(WorkKind kind);

  // Retains the capacity of work whose connection broke, until a renewal that
  // the target composed after the break no longer lists the work.
  void RetainCharge(WorkKind kind, std::string_view request_id);

  // Extends the lease and releases the charges of work that has ended. Returns
  // false when a later message of the target was already handled.
  bool Renew(int64_t sequence, const WorkInProgress& work, MonotonicTime now);

  // Stops sending work to the target.
  void Close() { closed_.store(true); }
  bool closed() const { return closed_.load(); }
  void SetDrained(bool drained) { drained_.store(drained); }
  bool drained() const { return drained_.load(); }

  int64_t slots_in_use() const { return slots_in_use_.load(); }
  int64_t connections_in_use() const { return connections_in_use_.load(); }
  int64_t FreeSlots() const;
  int64_t FreeConnections() const;
  bool HasCapacity(WorkKind kind) const;

  TargetHealth& health() { return health_; }
  const TargetHealth& health() const { return health_; }

 private:
  // Capacity in use by work without a connection to this instance.
  struct Charge {
    WorkKind kind = WorkKind::kRequest;
    // Number of the first renewal that may release the charge.
    int64_t releasable_from = 0;
    int64_t count = 1;  // Above 1 after a resend of the same id.
  };

  void CountUsage(WorkKind kind);
  void AddCharge(WorkKind kind, const std::string& id, int64_t releasable_from)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RestoreReleasedCharges(const WorkInProgress& work)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const TargetAnnouncement announcement_;
  std::atomic<int64_t> last_renewal_ns_;
  std::atomic<bool> closed_{false};
  std::atomic<bool> drained_{false};
  std::atomic<int64_t> slots_in_use_{0};
  std::atomic<int64_t> connections_in_use_{0};
  TargetHealth health_;

  absl::Mutex mutex_;
  int64_t last_sequence_ ABSL_GUARDED_BY(mutex_);
  int64_t renewals_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::flat_hash_map<std::string, Charge> charges_ ABSL_GUARDED_BY(mutex_);
  std::deque<std::string> released_ids_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_TARGET_SESSION_H_
