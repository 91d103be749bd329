#ifndef PACKAGES_PEER_OUTBOX_H_
#define PACKAGES_PEER_OUTBOX_H_

#include <sys/uio.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"
#include "packages/peer/peer_types.h"

namespace bramleyrail {

// The frames that wait to be written to one connection, and the calls that wait
// for an answer on it. One lock covers both, so that a call whose connection is
// lost is either queued on the next connection or failed, never both.
// All threads may push; the other functions belong to the epoll thread.
class Outbox {
 public:
  enum class PushOutcome { kQueued, kFull, kClosed };

  // A call that is not in progress any more without an answer.
  struct FailedCall {
    PeerCallCallback callback;
    bool sent = false;  // At least one byte of it was written.
  };

  explicit Outbox(std::function<void()> wake) : wake_(std::move(wake)) {}

  PushOutcome Push(std::vector<std::byte> frame);
  // Takes the callback only when the call is queued.
  PushOutcome PushCall(uint64_t call_number,
                       std::vector<std::byte> frame,
                       MonotonicTime deadline,
                       PeerCallCallback* callback);
  // An answer cannot be dropped: when the queue is full, the connection has to
  // be closed; see overflowed().
  void PushAnswer(std::vector<std::byte> frame);

  // Queues a hello or heartbeat, also while messages are not accepted.
  void PushControl(std::vector<std::byte> frame);
  // Accepts messages and calls from now on.
  void Open();
  // Drops what is queued and returns every call in progress.
  std::vector<FailedCall> Close();

  // Fills `buffers` with what to write next; returns how many were filled. They
  // stay valid until the next call of a function of the epoll thread.
  size_t Gather(std::span<iovec> buffers);
  void MarkWritten(size_t bytes);

  // Ends a call with an answer; nullopt when it is not in progress any more.
  std::optional<PeerCallCallback> TakeAnswered(uint64_t call_number);
  std::vector<FailedCall> TakeExpired(MonotonicTime now);
  std::optional<MonotonicTime> NextDeadline() const;

  bool open() const;
  bool empty() const;
  bool overflowed() const;
  // From any thread, without the lock.
  size_t queued_bytes() const { return queued_bytes_; }

 private:
  struct QueuedFrame {
    std::vector<std::byte> bytes;
    uint64_t call_number = 0;  // 0: not a call.
  };
  struct PendingCall {
    PeerCallCallback callback;
    MonotonicTime deadline;
    bool sent = false;
  };

  bool HasRoomFor(size_t bytes) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Enqueue(QueuedFrame frame) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void MarkSent(uint64_t call_number) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RemoveUnsentFrames(const std::set<uint64_t>& call_numbers)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const std::function<void()> wake_;
  mutable absl::Mutex mutex_;
  bool open_ ABSL_GUARDED_BY(mutex_) = false;
  bool overflowed_ ABSL_GUARDED_BY(mutex_) = false;
  std::deque<QueuedFrame> queue_ ABSL_GUARDED_BY(mutex_);
  // Changed under the lock only.
  std::atomic<size_t> queued_bytes_ = 0;
  size_t front_written_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::flat_hash_map<uint64_t, PendingCall> calls_ ABSL_GUARDED_BY(mutex_);
  std::set<std::pair<MonotonicTime, uint64_t>> deadlines_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_OUTBOX_H_
