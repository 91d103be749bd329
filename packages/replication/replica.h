#ifndef PACKAGES_REPLICATION_REPLICA_H_
#define PACKAGES_REPLICATION_REPLICA_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/replication/replica_driver.h"
#include "packages/replication/replica_options.h"
#include "packages/replication/replica_status.h"

namespace bramleyrail {

// The replicated log of one instance. Its thread drives consensus, storage and,
// through the hooks, the state machine. Thread-safe.
class Replica {
 public:
  using Options = ReplicaOptions;

  // Opens the data folder. Fails with kDataLoss when it is damaged, and with
  // kFailedPrecondition when another process uses it or it belongs to another
  // instance.
  static Result<std::unique_ptr<Replica>> Create(Options options);
  ~Replica();

  // Restores the stored snapshot through the hook, on the calling thread, and
  // starts the thread.
  void Start();
  // Fails all open proposals and joins the thread. Must not be called from a
  // hook or callback.
  void Stop();

  // Queues a message that `peer` passed to its `send` hook. Never blocks: when
  // the queue is full, the message is dropped.
  void ReceiveMessage(std::string_view peer, std::span<const std::byte> bytes);

  // Proposes a command, which is forwarded when another instance leads. The
  // callback runs exactly once: on the replica's thread or, when that is not
  // running, on the thread that calls Propose() or Stop(). It receives the
  // result of `apply` at the leader. kUnavailable: the command is not applied
  // and never will be. kOutcomeUnknown: the command may have been applied, or
  // may be later.
  void Propose(Bytes command, ProposeCallback callback);

  // Age of the local state, or nullopt when it was never known to be up to
  // date.
  std::optional<Milliseconds> StateAge() const;
  // True when this instance leads, its lease is valid now, and it has applied
  // everything that earlier leaders committed.
  bool IsLeader() const;
  // Requests that the other voter with the most complete log takes over the
  // leadership. Does not wait for it.
  void TransferLeadership();
  ReplicaStatus Status() const;

 private:
  enum class State { kCreated, kRunning, kStopped };

  Replica(MonotonicClock clock,
          Milliseconds propose_timeout,
          std::unique_ptr<ReplicaDriver> driver);

  void Run();
  void Publish();
  bool HasInput() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const MonotonicClock clock_;
  const Milliseconds propose_timeout_;
  // Used by Start() and afterwards only by the thread.
  const std::unique_ptr<ReplicaDriver> driver_;
  std::thread thread_;

  mutable absl::Mutex mutex_;
  State state_ ABSL_GUARDED_BY(mutex_) = State::kCreated;
  ReplicaDriver::Input input_ ABSL_GUARDED_BY(mutex_);
  size_t input_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  ReplicaStatus status_ ABSL_GUARDED_BY(mutex_);
  std::optional<MonotonicTime> lease_end_ ABSL_GUARDED_BY(mutex_);
  std::optional<MonotonicTime> fresh_as_of_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_REPLICATION_REPLICA_H_
