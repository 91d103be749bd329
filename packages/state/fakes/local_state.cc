#include "packages/state/fakes/local_state.h"

#include <utility>

#include "absl/time/time.h"

namespace bramleyrail {

StateAccess LocalState::Access() {
  StateAccess access;
  access.propose = [this](Command command,
                          const StateAccess::ProposeCallback& callback) {
    absl::ReleasableMutexLock lock(&mutex_);
    if (proposal_error_) {
      const Error error = *proposal_error_;
      lock.Release();
      return callback(error);
    }
    CommandOutcome outcome = driver_.state().Apply(command);
    lock.Release();
    callback(std::move(outcome));
  };
  access.read = [this](const std::function<void(const ClusterState&)>& reader) {
    const absl::MutexLock lock(&mutex_);
    reader(driver_.state());
  };
  access.state_age = [this] {
    const absl::MutexLock lock(&mutex_);
    return age_;
  };
  access.wait_for_revision = [this](int64_t after_revision,
                                    Milliseconds timeout) {
    const absl::MutexLock lock(&mutex_);
    const auto newer = [this, after_revision] {
      return driver_.state().revision() > after_revision;
    };
    mutex_.AwaitWithTimeout(absl::Condition(&newer), absl::FromChrono(timeout));
    return driver_.state().revision();
  };
  return access;
}

void LocalState::Change(const std::function<void(StateDriver&)>& change) {
  const absl::MutexLock lock(&mutex_);
  change(driver_);
}

void LocalState::FailProposals(std::optional<Error> error) {
  const absl::MutexLock lock(&mutex_);
  proposal_error_ = std::move(error);
}

void LocalState::SetAge(std::optional<Milliseconds> age) {
  const absl::MutexLock lock(&mutex_);
  age_ = age;
}

}  // namespace bramleyrail
