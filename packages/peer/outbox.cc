#include "packages/peer/outbox.h"

#include <algorithm>

#include "packages/peer/peer_limits.h"

namespace bramleyrail {

Outbox::PushOutcome Outbox::Push(std::vector<std::byte> frame) {
  bool was_empty = false;
  {
    absl::MutexLock lock(&mutex_);
    if (!open_) {
      return PushOutcome::kClosed;
    }
    if (!HasRoomFor(frame.size())) {
      return PushOutcome::kFull;
    }
    was_empty = queue_.empty();
    Enqueue({std::move(frame), 0});
  }
  // The epoll thread writes until the queue is empty, so only the first frame
  // has to wake it.
  if (was_empty) {
    wake_();
  }
  return PushOutcome::kQueued;
}

Outbox::PushOutcome Outbox::PushCall(uint64_t call_number,
                                     std::vector<std::byte> frame,
                                     MonotonicTime deadline,
                                     PeerCallCallback* callback) {
  bool must_wake = false;
  {
    absl::MutexLock lock(&mutex_);
    if (!open_) {
      return PushOutcome::kClosed;
    }
    if (!HasRoomFor(frame.size()) || calls_.size() >= kMaximumCallsInProgress) {
      return PushOutcome::kFull;
    }
    const bool was_empty = queue_.empty();
    Enqueue({std::move(frame), call_number});
    calls_.emplace(call_number,
                   PendingCall{std::move(*callback), deadline, false});
    deadlines_.emplace(deadline, call_number);
    must_wake = was_empty || deadlines_.begin()->second == call_number;
  }
  if (must_wake) {
    wake_();
  }
  return PushOutcome::kQueued;
}

void Outbox::PushAnswer(std::vector<std::byte> frame) {
  {
    absl::MutexLock lock(&mutex_);
    if (!open_) {
      return;
    }
    if (HasRoomFor(frame.size())) {
      Enqueue({std::move(frame), 0});
    } else {
      overflowed_ = true;
    }
  }
  wake_();
}

void Outbox::PushControl(std::vector<std::byte> frame) {
  absl::MutexLock lock(&mutex_);
  Enqueue({std::move(frame), 0});
}

void Outbox::Open() {
  absl::MutexLock lock(&mutex_);
  open_ = true;
}

std::vector<Outbox::FailedCall> Outbox::Close() {
  std::vector<FailedCall> failed;
  absl::MutexLock lock(&mutex_);
  open_ = false;
  overflowed_ = false;
  queue_.clear();
  queued_bytes_ = 0;
  front_written_ = 0;
  failed.reserve(calls_.size());
  for (auto& [number, call] : calls_) {
    failed.push_back({std::move(call.callback), call.sent});
  }
  calls_.clear();
  deadlines_.clear();
  return failed;
}

size_t Outbox::Gather(std::span<iovec> buffers) {
  absl::MutexLock lock(&mutex_);
  size_t count = 0;
  size_t offset = front_written_;
  for (QueuedFrame& frame : queue_) {
    if (count == buffers.size()) {
      break;
    }
    buffers[count] = {frame.bytes.data() + offset, frame.bytes.size() - offset};
    ++count;
    offset = 0;
  }
  return count;
}

void Outbox::MarkWritten(size_t bytes) {
  absl::MutexLock lock(&mutex_);
  while (bytes > 0) {
    QueuedFrame& frame = queue_.front();
    MarkSent(frame.call_number);
    const size_t remaining = frame.bytes.size() - front_written_;
    if (bytes < remaining) {
      front_written_ += bytes;
      return;
    }
    bytes -= remaining;
    queued_bytes_ -= frame.bytes.size();
    front_written_ = 0;
    queue_.pop_front();
  }
}

std::optional<PeerCallCallback> Outbox::TakeAnswered(uint64_t call_number) {
  absl::MutexLock lock(&mutex_);
  const auto found = calls_.find(call_number);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  PeerCallCallback callback = std::move(found->second.callback);
  deadlines_.erase({found->second.deadline, call_number});
  calls_.erase(found);
  return callback;
}

std::vector<Outbox::FailedCall> Outbox::TakeExpired(MonotonicTime now) {
  std::vector<FailedCall> expired;
  std::set<uint64_t> unsent;
  absl::MutexLock lock(&mutex_);
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const uint64_t call_number = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const auto found = calls_.find(call_number);
    if (!found->second.sent) {
      unsent.insert(call_number);
    }
    expired.push_back({std::move(found->second.callback), found->second.sent});
    calls_.erase(found);
  }
  if (!unsent.empty()) {
    RemoveUnsentFrames(unsent);
  }
  return expired;
}

std::optional<MonotonicTime> Outbox::NextDeadline() const {
  absl::MutexLock lock(&mutex_);
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  return deadlines_.begin()->first;
}

bool Outbox::open() const {
  absl::MutexLock lock(&mutex_);
  return open_;
}

bool Outbox::empty() const {
  absl::MutexLock lock(&mutex_);
  return queue_.empty();
}

bool Outbox::overflowed() const {
  absl::MutexLock lock(&mutex_);
  return overflowed_;
}

bool Outbox::HasRoomFor(size_t bytes) const {
  return queue_.size() < kMaximumQueuedFrames &&
         queued_bytes_ + bytes <= kMaximumQueuedBytes;
}

void Outbox::Enqueue(QueuedFrame frame) {
  queued_bytes_ += frame.bytes.size();
  queue_.push_back(std::move(frame));
}

void Outbox::MarkSent(uint64_t call_number) {
  const auto found = calls_.find(call_number);
  if (found != calls_.end()) {
    found->second.sent = true;
  }
}

// A call that failed as not sent must never be written later, since its caller
// may have repeated it elsewhere.
void Outbox::RemoveUnsentFrames(const std::set<uint64_t>& call_numbers) {
  const auto removed = std::remove_if(
      queue_.begin(), queue_.end(), [&](const QueuedFrame& frame) {
        return call_numbers.contains(frame.call_number);
      });
  queue_.erase(removed, queue_.end());
  queued_bytes_ = 0;
  for (const QueuedFrame& frame : queue_) {
    queued_bytes_ += frame.bytes.size();
  }
}

}  // namespace bramleyrail
