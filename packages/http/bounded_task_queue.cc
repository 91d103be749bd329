#include "packages/http/bounded_task_queue.h"

#include <utility>

namespace bramleyrail {

namespace {

constexpr size_t kRefusedLimit = 64;

thread_local bool refusing = false;

}  // namespace

BoundedTaskQueue::BoundedTaskQueue(size_t thread_count, size_t queue_limit)
    : connection_limit_(thread_count + queue_limit) {
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
  if (busy_threads_ + jobs_.size() < connection_limit_) {
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
  const size_t counted = refusing ? 0 : 1;
  while (true) {
    std::function<void()> job;
    {
      absl::MutexLock lock(&mutex_);
      const auto has_job = [this, jobs]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(
                               mutex_) { return !jobs->empty() || stopping_; };
      mutex_.Await(absl::Condition(&has_job));
      if (jobs->empty()) {
        return;
      }
      job = std::move(jobs->front());
      jobs->pop_front();
      busy_threads_ += counted;
    }
    job();
    absl::MutexLock lock(&mutex_);
    busy_threads_ -= counted;
  }
}

}  // namespace bramleyrail
