#include "packages/caller/capacity_queue.h"

#include <algorithm>

namespace bramleyrail {

namespace {

// The first in the queue also looks on its own: capacity becomes free by time
// as well, for example when an ejection ends.
constexpr absl::Duration kLookInterval = absl::Milliseconds(10);

absl::string_view ToKey(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::unique_ptr<CapacityQueue::Place> CapacityQueue::Enter(
    std::string_view service) {
  absl::MutexLock lock(&mutex_);
  Places& places = places_[std::string(service)];
  if (places.size() >= kMaximumWaiting) {
    return nullptr;
  }
  std::unique_ptr<Place> place(new Place(this, std::string(service)));
  places.push_back(place.get());
  waiting_.fetch_add(1);
  return place;
}

bool CapacityQueue::HasWaiting(std::string_view service) const {
  if (waiting_.load(std::memory_order_relaxed) == 0) {
    return false;
  }
  absl::MutexLock lock(&mutex_);
  return places_.contains(ToKey(service));
}

void CapacityQueue::Notify() {
  if (waiting_.load() == 0) {
    return;
  }
  absl::MutexLock lock(&mutex_);
  ++version_;
  for (const auto& [service, places] : places_) {
    places.front()->changed_.Signal();
  }
}

CapacityQueue::Place::~Place() {
  absl::MutexLock lock(&queue_->mutex_);
  const auto found = queue_->places_.find(service_);
  Places& places = found->second;
  places.erase(std::find(places.begin(), places.end(), this));
  queue_->waiting_.fetch_sub(1);
  if (places.empty()) {
    queue_->places_.erase(found);
  } else {
    places.front()->changed_.Signal();
  }
}

bool CapacityQueue::Place::WaitForTurn(MonotonicTime until) {
  absl::MutexLock lock(&queue_->mutex_);
  while (std::chrono::steady_clock::now() < until) {
    const bool first = queue_->places_[service_].front() == this;
    if (first && attempted_version_ != queue_->version_) {
      attempted_version_ = queue_->version_;
      return true;
    }
    const auto remaining =
        absl::FromChrono(until - std::chrono::steady_clock::now());
    const bool timed_out = changed_.WaitWithTimeout(
        &queue_->mutex_,
        first ? std::min(remaining, kLookInterval) : remaining);
    if (timed_out) {
      attempted_version_ = 0;
    }
  }
  return false;
}

}  // namespace bramleyrail
