#include "packages/target/bounded_thread_pool.h"

#include <utility>

namespace bramleyrail {

bool BoundedThreadPool::TrySubmit(std::function<void()> job) {
  absl::MutexLock lock(&mutex_);
  if (stopping_) {
    return false;
  }
  // Each job in the queue is going to occupy one of the idle threads.
  const bool has_idle_thread = idle_threads_ > queue_.size();
  const bool may_start_thread = threads_.size() < options_.maximum_threads;
  if (!has_idle_thread && !may_start_thread &&
      queue_.size() >= idle_threads_ + options_.maximum_queue) {
    return false;
  }
  queue_.push_back(std::move(job));
  if (!has_idle_thread && may_start_thread) {
    threads_.emplace_back([this] { RunThread(); });
  }
  work_available_.Signal();
  return true;
}

void BoundedThreadPool::RunThread() {
  while (true) {
    std::function<void()> job;
    {
      absl::MutexLock lock(&mutex_);
      ++idle_threads_;
      while (queue_.empty() && !stopping_) {
        work_available_.Wait(&mutex_);
      }
      --idle_threads_;
      if (queue_.empty()) {
        return;
      }
      job = std::move(queue_.front());
      queue_.pop_front();
    }
    job();
  }
}

void BoundedThreadPool::Stop() {
  std::vector<std::thread> threads;
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    threads.swap(threads_);
    work_available_.SignalAll();
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

size_t BoundedThreadPool::queued_jobs() const {
  absl::MutexLock lock(&mutex_);
  return queue_.size();
}

}  // namespace bramleyrail
