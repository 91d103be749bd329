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

// The replicated log of one instance: a thread that drives consensus, storage
// and the state machine behind the hooks. All threads may call it.
class Replica {
 public:
  using Options = ReplicaOptions;

  // Opens the data folder. kDataLoss when it is damaged; kFailedPrecondition
  // when another process uses it or it belongs to another instance.
  static Result<std::unique_ptr<Replica>> Create(Options options);
  ~Replica();

  // Restores the stored snapshot through the hook, on the calling thread, and
  // starts the thread.
  void Start();
  // Fails all open proposals and joins the thread. Must not be called from a
  // hook or callback.
  void Stop();

  // Takes a message that `peer` passed to its `send` hook. Never blocks;
  // messages are dropped while too many wait.
  void ReceiveMessage(std::string_view peer, std::span<const std::byte> bytes);

  // Proposes a command through the leader, wherever it is. The callback runs
  // exactly once, on the thread of the replica or, when it does not run, on
  // the calling one. It receives what `apply` returned at the leader.
  // kUnavailable: certainly not applied, now or later. kOutcomeUnknown: may
  // have been applied, or may still be.
  void Propose(Bytes command, ProposeCallback callback);

  // Age of the local state, or nullopt when it was never fresh.
  std::optional<Milliseconds> StateAge() const;
  // This instance leads, holds the lease at this moment, and has applied
  // everything that earlier leaders committed.
  bool IsLeader() const;
  // Asks the most complete other voter to take over. Returns at once.
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
  // Used by Start() and then by the thread only.
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
