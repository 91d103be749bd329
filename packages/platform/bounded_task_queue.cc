#include "packages/platform/bounded_task_queue.h"

#include <utility>

namespace bramleyrail {

namespace {

constexpr size_t kRefusedLimit = 64;

thread_local bool refusing = false;

}  // namespace

BoundedTaskQueue::BoundedTaskQueue(size_t thread_count, size_t queue_limit)
    : queue_limit_(queue_limit) {
  threads_.reserve(thread_count + 1);
  for (size_t i = 0; i < thread_count; ++i) {
    threads_.emplace_back([this] { Run(&jobs_); });
  }
  threads_.emplace_back([this] {
    refusing = true;
    Run(&refused_);
  });
}

bool BoundedTaskQueue::IsRefusing() {
  return refusing;
}

void BoundedTaskQueue::enqueue(std::function<void()> job) {
  absl::MutexLock lock(&mutex_);
  if (jobs_.size() < idle_threads_ + queue_limit_) {
    jobs_.push_back(std::move(job));
    return;
  }
  const auto has_room = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return refused_.size() < kRefusedLimit || stopping_;
  };
  mutex_.Await(absl::Condition(&has_room));
  refused_.push_back(std::move(job));
}

void BoundedTaskQueue::shutdown() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void BoundedTaskQueue::Run(Jobs* jobs) {
  const bool counts_as_idle = !refusing;
  while (true) {
    std::function<void()> job;
    {
      absl::MutexLock lock(&mutex_);
      const auto has_job = [this, jobs]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(
                               mutex_) { return !jobs->empty() || stopping_; };
      idle_threads_ += counts_as_idle ? 1 : 0;
      mutex_.Await(absl::Condition(&has_job));
      idle_threads_ -= counts_as_idle ? 1 : 0;
      if (jobs->empty()) {
        return;
      }
      job = std::move(jobs->front());
      jobs->pop_front();
    }
    job();
  }
}

}  // namespace bramleyrail
