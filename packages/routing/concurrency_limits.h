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
// refuses those above the limit.
class ConcurrencyLimits {
 public:
  // Holds one place until destruction. The limits must outlive it.
  class Place {
   public:
    Place(ConcurrencyLimits* limits, std::string key)
        : limits_(limits), key_(std::move(key)) {}
    ~Place() {
      if (limits_ != nullptr) {
        limits_->Release(key_);
      }
    }
    Place(Place&& other) noexcept
        : limits_(std::exchange(other.limits_, nullptr)),
          key_(std::move(other.key_)) {}
    Place& operator=(Place&&) = delete;
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

   private:
    ConcurrencyLimits* limits_;
    std::string key_;
  };

  // nullopt when `limit` places of the key are taken.
  std::optional<Place> TryEnter(std::string_view key, int64_t limit);

  int64_t Count(std::string_view key) const;

 private:
  void Release(std::string_view key);

  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, int64_t> counts_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_CONCURRENCY_LIMITS_H_
