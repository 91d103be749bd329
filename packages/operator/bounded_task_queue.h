#ifndef PACKAGES_OPERATOR_BOUNDED_TASK_QUEUE_H_
#define PACKAGES_OPERATOR_BOUNDED_TASK_QUEUE_H_

#include <httplib.h>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"

namespace bramleyrail {

// Thread pool of an HTTP server with a short queue. Connections beyond the
// queue go to a thread that only rejects them; see IsRejecting().
class OperatorTaskQueue : public httplib::TaskQueue {
 public:
  OperatorTaskQueue(size_t threads, size_t queue);

  void enqueue(std::function<void()> connection) override;
  void shutdown() override;

  // True on the thread that rejects: the handler must answer 503 and close.
  static bool IsRejecting();

 private:
  using Connections = std::deque<std::function<void()>>;

  void RunConnections();
  void RejectConnections();
  bool HasRoom() const;

  const size_t thread_count_;
  const size_t queue_limit_;
  absl::Mutex mutex_;
  size_t busy_threads_ = 0;
  bool stopping_ = false;
  Connections queue_;
  Connections rejected_;
  std::vector<std::thread> threads_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_OPERATOR_BOUNDED_TASK_QUEUE_H_
