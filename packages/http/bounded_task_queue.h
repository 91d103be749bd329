#ifndef PACKAGES_HTTP_BOUNDED_TASK_QUEUE_H_
#define PACKAGES_HTTP_BOUNDED_TASK_QUEUE_H_

#include <httplib.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace bramleyrail {

// Thread pool of a cpp-httplib server with a short queue. Connections beyond
// it go to one more thread that only refuses them.
class BoundedTaskQueue : public httplib::TaskQueue {
 public:
  BoundedTaskQueue(size_t thread_count, size_t queue_limit);

  // Blocks the accepting thread when too many connections wait for refusal, so
  // that further ones stay in the backlog of the socket.
  void enqueue(std::function<void()> job) override;
  void shutdown() override;

  // True on the thread that refuses connections.
  static bool IsRefusing();

 private:
  using Jobs = std::deque<std::function<void()>>;

  void Run(Jobs* jobs);

  const size_t connection_limit_;
  absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  size_t busy_threads_ ABSL_GUARDED_BY(mutex_) = 0;
  Jobs jobs_ ABSL_GUARDED_BY(mutex_);
  Jobs refused_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_BOUNDED_TASK_QUEUE_H_
