#include "packages/caller/capacity_queue.h"

#include <algorithm>

namespace bramleyrail {

namespace {

// The first request in a queue also checks for capacity at this interval:
// capacity can become free without Notify(), for example when an ejection ends.
constexpr absl::Duration kCapacityRecheckInterval = absl::Milliseconds(10);

absl::string_view ToKey(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::unique_ptr<CapacityQueue::Waiter> CapacityQueue::Enter(
    std::string_view service) {
  absl::MutexLock lock(&mutex_);
  Waiters& waiters = waiters_[std::string(service)];
  if (waiters.size() >= kMaximumWaitingPerService) {
    return nullptr;
  }
  std::unique_ptr<Waiter> waiter(new Waiter(this, std::string(service)));
  waiters.push_back(waiter.get());
  waiting_.fetch_add(1);
  return waiter;
}

bool CapacityQueue::HasWaiting(std::string_view service) const {
  if (waiting_.load(std::memory_order_relaxed) == 0) {
    return false;
  }
  absl::MutexLock lock(&mutex_);
  return waiters_.contains(ToKey(service));
}

void CapacityQueue::Notify() {
  if (waiting_.load() == 0) {
    return;
  }
  absl::MutexLock lock(&mutex_);
  ++capacity_version_;
  for (const auto& [service, waiters] : waiters_) {
    waiters.front()->changed_.Signal();
  }
}

CapacityQueue::Waiter::~Waiter() {
  absl::MutexLock lock(&queue_->mutex_);
  const auto found = queue_->waiters_.find(service_);
  Waiters& waiters = found->second;
  waiters.erase(std::find(waiters.begin(), waiters.end(), this));
  queue_->waiting_.fetch_sub(1);
  if (waiters.empty()) {
    queue_->waiters_.erase(found);
  } else {
    waiters.front()->changed_.Signal();
  }
}

bool CapacityQueue::Waiter::WaitForTurn(MonotonicTime until) {
  absl::MutexLock lock(&queue_->mutex_);
  while (std::chrono::steady_clock::now() < until) {
    const bool is_first = queue_->waiters_[service_].front() == this;
    if (is_first && last_attempt_version_ != queue_->capacity_version_) {
      last_attempt_version_ = queue_->capacity_version_;
      return true;
    }
    const auto remaining =
        absl::FromChrono(until - std::chrono::steady_clock::now());
    const bool timed_out = changed_.WaitWithTimeout(
        &queue_->mutex_,
        is_first ? std::min(remaining, kCapacityRecheckInterval) : remaining);
    if (timed_out) {
      last_attempt_version_ = 0;
    }
  }
  return false;
}

}  // namespace bramleyrail
