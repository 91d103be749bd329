#include "packages/operator/bounded_task_queue.h"

#include <utility>

namespace bramleyrail {

namespace {

// A rejected client may send its request slowly, so that more wait. Beyond
// this, the accepting thread waits and the kernel's backlog fills.
constexpr size_t kMaximumRejected = 64;

thread_local bool rejecting = false;

}  // namespace

OperatorTaskQueue::OperatorTaskQueue(size_t threads, size_t queue)
    : thread_count_(threads), queue_limit_(queue) {
  for (size_t i = 0; i < threads; ++i) {
    threads_.emplace_back([this] { RunConnections(); });
  }
  threads_.emplace_back([this] { RejectConnections(); });
}

bool OperatorTaskQueue::IsRejecting() {
  return rejecting;
}

bool OperatorTaskQueue::HasRoom() const {
  return busy_threads_ + queue_.size() < thread_count_ + queue_limit_;
}

void OperatorTaskQueue::enqueue(std::function<void()> connection) {
  const absl::MutexLock lock(&mutex_);
  const auto can_take = [this] {
    return HasRoom() || rejected_.size() < kMaximumRejected;
  };
  mutex_.Await(absl::Condition(&can_take));
  Connections& connections = HasRoom() ? queue_ : rejected_;
  connections.push_back(std::move(connection));
}

void OperatorTaskQueue::RunConnections() {
  const auto has_work = [this] { return stopping_ || !queue_.empty(); };
  const absl::MutexLock lock(&mutex_);
  while (true) {
    mutex_.Await(absl::Condition(&has_work));
    if (queue_.empty()) {
      return;
    }
    std::function<void()> connection = std::move(queue_.front());
    queue_.pop_front();
    ++busy_threads_;
    mutex_.Unlock();
    connection();
    connection = nullptr;
    mutex_.Lock();
    --busy_threads_;
  }
}

void OperatorTaskQueue::RejectConnections() {
  rejecting = true;
  const auto has_work = [this] { return stopping_ || !rejected_.empty(); };
  const absl::MutexLock lock(&mutex_);
  while (true) {
    mutex_.Await(absl::Condition(&has_work));
    if (rejected_.empty()) {
      return;
    }
    std::function<void()> connection = std::move(rejected_.front());
    rejected_.pop_front();
    mutex_.Unlock();
    connection();
    connection = nullptr;
    mutex_.Lock();
  }
}

void OperatorTaskQueue::shutdown() {
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

}  // namespace bramleyrail
