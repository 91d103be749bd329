#ifndef PACKAGES_CONTROL_REPLICATED_QUEUE_H_
#define PACKAGES_CONTROL_REPLICATED_QUEUE_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/queue/queue.h"
#include "packages/replication/replication.h"

namespace bramleyrail {

// The QueueState of one instance, kept up to date by its replica of the log.
class ReplicatedQueue {
 public:
  using ProposeCallback = std::function<void(Result<QueueOutcome>)>;

  // Create sets the callbacks of `options` that apply, snapshot and restore the
  // state. `changed` runs after every applied command, on the thread of the
  // replica.
  static Result<std::unique_ptr<ReplicatedQueue>> Create(
      Replica::Options options,
      std::function<void()> changed);
  ~ReplicatedQueue();

  Replica& replica() { return *replica_; }
  const Replica& replica() const { return *replica_; }

  // The callback may run on any thread.
  void Propose(QueueCommandBody body, ProposeCallback callback);

  // Runs the reader under a lock that prevents changes of the state.
  template <typename Reader>
  auto Read(const Reader& reader) const {
    absl::ReaderMutexLock lock(&mutex_);
    return reader(*state_);
  }

 private:
  explicit ReplicatedQueue(std::function<void()> changed);

  std::vector<std::byte> Apply(std::span<const std::byte> data);

  const std::function<void()> changed_;
  mutable absl::Mutex mutex_;
  std::unique_ptr<QueueState> state_ ABSL_GUARDED_BY(mutex_);
  std::unique_ptr<Replica> replica_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_REPLICATED_QUEUE_H_
