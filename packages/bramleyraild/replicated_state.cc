#include "packages/bramleyraild/replicated_state.h"

#include <utility>

#include "absl/time/time.h"

namespace bramleyrail {

ReplicatedState::ReplicatedState() : state_(std::make_unique<ClusterState>()) {}

ReplicatedState::~ReplicatedState() {
  StopWaiting();
  if (replica_ != nullptr) {
    replica_->Stop();
  }
}

Result<std::unique_ptr<ReplicatedState>> ReplicatedState::Create(
    Replica::Options options) {
  std::unique_ptr<ReplicatedState> state(new ReplicatedState());
  ReplicatedState* self = state.get();
  options.apply = [self](uint64_t, std::span<const std::byte> data) {
    return self->Apply(data);
  };
  options.snapshot = [self] { return self->EncodeSnapshot(); };
  options.restore = [self](std::span<const std::byte> data) {
    self->Restore(data);
  };
  TRY(replica, Replica::Create(std::move(options)));
  state->replica_ = std::move(replica);
  return state;
}

StateAccess ReplicatedState::Access() {
  StateAccess access;
  access.propose = [this](Command command,
                          StateAccess::ProposeCallback callback) {
    Propose(std::move(command), std::move(callback));
  };
  access.read = [this](const std::function<void(const ClusterState&)>& reader) {
    absl::ReaderMutexLock lock(&state_mutex_);
    reader(*state_);
  };
  access.state_age = [this] { return replica_->StateAge(); };
  access.wait_for_revision = [this](int64_t after, Milliseconds timeout) {
    return WaitForRevision(after, timeout);
  };
  return access;
}

std::vector<std::byte> ReplicatedState::Apply(std::span<const std::byte> data) {
  const auto command = DecodeCommand(data);
  CommandOutcome outcome;
  {
    absl::WriterMutexLock lock(&state_mutex_);
    if (command) {
      outcome = state_->Apply(command.value());
    } else {
      // A damaged command has no effect, the same on every replica.
      outcome.revision = state_->revision();
      outcome.refusal = command.error();
    }
  }
  PublishRevision(outcome.revision);
  return EncodeOutcome(outcome);
}

std::vector<std::byte> ReplicatedState::EncodeSnapshot() const {
  absl::ReaderMutexLock lock(&state_mutex_);
  return state_->EncodeSnapshot();
}

void ReplicatedState::Restore(std::span<const std::byte> data) {
  auto decoded = ClusterState::FromSnapshot(data);
  // The checksum held, so another version wrote it; going on without the state
  // would apply later entries to the wrong base.
  BRAMLEYRAIL_ASSERT(decoded.has_value(),
                     "a snapshot with a valid checksum must be readable");
  std::unique_ptr<ClusterState> restored = std::move(decoded).value();
  const int64_t revision = restored->revision();
  {
    absl::WriterMutexLock lock(&state_mutex_);
    BRAMLEYRAIL_ASSERT(revision >= state_->revision(),
                       "a snapshot must not take the configuration back");
    state_ = std::move(restored);
  }
  PublishRevision(revision);
}

void ReplicatedState::Propose(Command command,
                              StateAccess::ProposeCallback callback) {
  if (command.proposed_unix_ms == 0) {
    command.proposed_unix_ms = UnixMilliseconds();
  }
  replica_->Propose(
      EncodeCommand(command),
      [callback = std::move(callback)](Result<std::vector<std::byte>> answer) {
        if (!answer) {
          callback(answer.error());
          return;
        }
        callback(DecodeOutcome(answer.value()));
      });
}

int64_t ReplicatedState::WaitForRevision(int64_t after_revision,
                                         Milliseconds timeout) {
  const absl::Time deadline = absl::Now() + absl::FromChrono(timeout);
  absl::MutexLock lock(&revision_mutex_);
  while (revision_ <= after_revision && !stopping_) {
    if (revision_changed_.WaitWithDeadline(&revision_mutex_, deadline)) {
      break;
    }
  }
  return revision_;
}

void ReplicatedState::PublishRevision(int64_t revision) {
  absl::MutexLock lock(&revision_mutex_);
  revision_ = revision;
  revision_changed_.SignalAll();
}

void ReplicatedState::StopWaiting() {
  absl::MutexLock lock(&revision_mutex_);
  stopping_ = true;
  revision_changed_.SignalAll();
}

}  // namespace bramleyrail
