#ifndef PACKAGES_BRAMLEYRAILD_REPLICATED_STATE_H_
#define PACKAGES_BRAMLEYRAILD_REPLICATED_STATE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"
#include "packages/replication/replication.h"
#include "packages/state/state.h"

namespace bramleyrail {

// The ClusterState of this instance, kept up to date by its Replica. All
// threads may call it.
class ReplicatedState {
 public:
  // The apply, snapshot and restore hooks of `options` are set here.
  static Result<std::unique_ptr<ReplicatedState>> Create(
      Replica::Options options);
  ~ReplicatedState();
  ReplicatedState(const ReplicatedState&) = delete;
  ReplicatedState& operator=(const ReplicatedState&) = delete;

  Replica& replica() { return *replica_; }
  StateAccess Access();

  // Wakes everyone who waits for a revision, for a planned stop.
  void StopWaiting();

 private:
  ReplicatedState();

  std::vector<std::byte> Apply(std::span<const std::byte> data);
  std::vector<std::byte> EncodeSnapshot() const;
  void Restore(std::span<const std::byte> data);
  void Propose(Command command, StateAccess::ProposeCallback callback);
  int64_t WaitForRevision(int64_t after_revision, Milliseconds timeout);
  void PublishRevision(int64_t revision);

  mutable absl::Mutex state_mutex_;
  std::unique_ptr<ClusterState> state_ ABSL_GUARDED_BY(state_mutex_);

  // A mutex of its own, so that a thousand waiting watches do not delay apply.
  absl::Mutex revision_mutex_;
  absl::CondVar revision_changed_;
  int64_t revision_ ABSL_GUARDED_BY(revision_mutex_) = 0;
  bool stopping_ ABSL_GUARDED_BY(revision_mutex_) = false;

  // Last member: its thread calls the hooks until it is destroyed.
  std::unique_ptr<Replica> replica_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_REPLICATED_STATE_H_
