#include "packages/control/replicated_queue.h"

#include <utility>

namespace bramleyrail {

ReplicatedQueue::ReplicatedQueue(std::function<void()> changed)
    : changed_(std::move(changed)), state_(std::make_unique<QueueState>()) {}

ReplicatedQueue::~ReplicatedQueue() {
  if (replica_ != nullptr) {
    replica_->Stop();
  }
}

Result<std::unique_ptr<ReplicatedQueue>> ReplicatedQueue::Create(
    Replica::Options options,
    std::function<void()> changed) {
  std::unique_ptr<ReplicatedQueue> queue(
      new ReplicatedQueue(std::move(changed)));
  ReplicatedQueue* self = queue.get();
  options.apply = [self](uint64_t, std::span<const std::byte> data) {
    return self->Apply(data);
  };
  options.snapshot = [self] {
    return self->Read(
        [](const QueueState& state) { return state.EncodeSnapshot(); });
  };
  options.restore = [self](std::span<const std::byte> data) {
    auto decoded = QueueState::FromSnapshot(data);
    // The checksum is valid, so another version wrote the snapshot. Without its
    // state, later entries would be applied to the wrong base.
    BRAMLEYRAIL_ASSERT(decoded.has_value(),
                       "a snapshot with a valid checksum must be readable");
    absl::WriterMutexLock lock(&self->mutex_);
    self->state_ = std::move(decoded).value();
  };
  TRY(replica, Replica::Create(std::move(options)));
  queue->replica_ = std::move(replica);
  return queue;
}

std::vector<std::byte> ReplicatedQueue::Apply(std::span<const std::byte> data) {
  const auto command = DecodeQueueCommand(data);
  QueueOutcome outcome;
  if (command) {
    absl::WriterMutexLock lock(&mutex_);
    outcome = state_->Apply(command.value());
  }
  // A command that cannot be decoded has no effect, which is the same on every
  // replica.
  changed_();
  return EncodeQueueOutcome(outcome);
}

void ReplicatedQueue::Propose(QueueCommandBody body, ProposeCallback callback) {
  replica_->Propose(
      EncodeQueueCommand({UnixMilliseconds(), std::move(body)}),
      [callback = std::move(callback)](Result<std::vector<std::byte>> result) {
        if (!result) {
          callback(result.error());
          return;
        }
        callback(DecodeQueueOutcome(result.value()));
      });
}

}  // namespace bramleyrail
