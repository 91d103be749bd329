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

// Queues of requests that wait for capacity, one queue for each service, served
// in the order of arrival.
class CapacityQueue {
 public:
  static constexpr size_t kMaximumWaitingPerService = 64;

  // A request in the queue of its service. Leaves the queue on destruction.
  class Waiter {
   public:
    ~Waiter();
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;

    // Waits until this request is the first in its queue and capacity may have
    // become free. Returns false when `until` is reached before.
    bool WaitForTurn(MonotonicTime until);

   private:
    friend class CapacityQueue;
    Waiter(CapacityQueue* queue, std::string service)
        : queue_(queue), service_(std::move(service)) {}

    CapacityQueue* queue_;
    std::string service_;
    // capacity_version_ at the last attempt; 0 allows another attempt at once.
    uint64_t last_attempt_version_ = 0;
    absl::CondVar changed_;
  };

  // Joins the queue of a service. Returns nullptr when the queue is full.
  std::unique_ptr<Waiter> Enter(std::string_view service);
  bool HasWaiting(std::string_view service) const;
  size_t Waiting() const { return waiting_.load(); }

  // Wakes the first request of each queue, since capacity may have become free.
  // Costs one atomic load when no request waits.
  void Notify();

 private:
  using Waiters = std::list<Waiter*>;

  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, Waiters> waiters_ ABSL_GUARDED_BY(mutex_);
  // Incremented by Notify().
  uint64_t capacity_version_ ABSL_GUARDED_BY(mutex_) = 1;
  std::atomic<size_t> waiting_{0};
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_CAPACITY_QUEUE_H_
