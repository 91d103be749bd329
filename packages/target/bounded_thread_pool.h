#ifndef PACKAGES_TARGET_BOUNDED_THREAD_POOL_H_
#define PACKAGES_TARGET_BOUNDED_THREAD_POOL_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"

namespace bramleyrail {

// A pool of at most `maximum_threads` threads, started as needed, with a queue
// of at most `maximum_queue` jobs. Rejects jobs instead of growing further.
class BoundedThreadPool {
 public:
  struct Options {
    size_t maximum_threads = 16;
    size_t maximum_queue = 16;
  };

  explicit BoundedThreadPool(Options options) : options_(options) {}
  ~BoundedThreadPool() { Stop(); }
  BoundedThreadPool(const BoundedThreadPool&) = delete;
  BoundedThreadPool& operator=(const BoundedThreadPool&) = delete;

  // Queues the job for a thread of the pool. Returns false, without running the
  // job, when all threads are busy and the queue is full, or after Stop().
  bool TrySubmit(std::function<void()> job);

  // Finishes the queued jobs and joins the threads. Must not be called from a
  // thread of the pool.
  void Stop();

  size_t queued_jobs() const;

 private:
  void RunThread();

  const Options options_;
  mutable absl::Mutex mutex_;
  absl::CondVar work_available_;
  std::deque<std::function<void()>> queue_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
  size_t idle_threads_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace bramleyrail

#endif  // PACKAGES_TARGET_BOUNDED_THREAD_POOL_H_
