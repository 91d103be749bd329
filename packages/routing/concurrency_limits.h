#ifndef PACKAGES_ROUTING_CONCURRENCY_LIMITS_H_
#define PACKAGES_ROUTING_CONCURRENCY_LIMITS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

namespace bramleyrail {

// Counts concurrent requests by key (a service, or a service and caller) and
// rejects those above the limit.
class ConcurrencyLimits {
 public:
  // Counts as one concurrent request until destruction. The ConcurrencyLimits
  // must outlive the permit.
  class Permit {
   public:
    Permit(ConcurrencyLimits* limits, std::string key)
        : limits_(limits), key_(std::move(key)) {}
    ~Permit() {
      if (limits_ != nullptr) {
        limits_->Release(key_);
      }
    }
    Permit(Permit&& other) noexcept
        : limits_(std::exchange(other.limits_, nullptr)),
          key_(std::move(other.key_)) {}
    Permit& operator=(Permit&&) = delete;
    Permit(const Permit&) = delete;
    Permit& operator=(const Permit&) = delete;

   private:
    ConcurrencyLimits* limits_;
    std::string key_;
  };

  // Returns nullopt when `limit` permits of the key are held already.
  std::optional<Permit> TryAcquirePermit(std::string_view key, int64_t limit);

  int64_t Count(std::string_view key) const;

 private:
  void Release(std::string_view key);

  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, int64_t> counts_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_CONCURRENCY_LIMITS_H_
