#ifndef PACKAGES_CALLER_CAPACITY_QUEUE_H_
#define PACKAGES_CALLER_CAPACITY_QUEUE_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"

namespace bramleyrail {

// Requests that wait for capacity, first come first served within each
// service, at most 64 for a service.
class CapacityQueue {
 public:
  static constexpr size_t kMaximumWaiting = 64;

  // A place in the queue of one service, given up on destruction.
  class Place {
   public:
    ~Place();
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

    // Waits until this place is the first one and capacity may have become
    // free; false when `until` comes before that.
    bool WaitForTurn(MonotonicTime until);

   private:
    friend class CapacityQueue;
    Place(CapacityQueue* queue, std::string service)
        : queue_(queue), service_(std::move(service)) {}

    CapacityQueue* queue_;
    std::string service_;
    uint64_t attempted_version_ = 0;
    absl::CondVar changed_;
  };

  // nullptr when the queue of the service is full.
  std::unique_ptr<Place> Enter(std::string_view service);
  bool HasWaiting(std::string_view service) const;
  size_t Waiting() const { return waiting_.load(); }

  // Capacity may have become free. Costs one load when nobody waits.
  void Notify();

 private:
  using Places = std::list<Place*>;

  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, Places> places_ ABSL_GUARDED_BY(mutex_);
  uint64_t version_ ABSL_GUARDED_BY(mutex_) = 1;
  std::atomic<size_t> waiting_{0};
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_CAPACITY_QUEUE_H_
