#include "packages/state/state_access.h"

#include <memory>
#include <utility>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace bramleyrail {

namespace {

// Shared with the callback, which may run after the caller's timeout.
struct PendingOutcome {
  absl::Mutex mutex;
  std::optional<Result<CommandOutcome>> outcome;
};

}  // namespace

Result<CommandOutcome> StateAccess::ProposeAndWait(Command command,
                                                   Milliseconds timeout) const {
  auto pending = std::make_shared<PendingOutcome>();
  propose(std::move(command), [pending](Result<CommandOutcome> outcome) {
    const absl::MutexLock lock(&pending->mutex);
    pending->outcome = std::move(outcome);
  });

  const absl::MutexLock lock(&pending->mutex);
  const auto completed = [&pending] { return pending->outcome.has_value(); };
  if (!pending->mutex.AwaitWithTimeout(absl::Condition(&completed),
                                       absl::FromChrono(timeout))) {
    return MakeError(ErrorKind::kOutcomeUnknown,
                     "the change was not confirmed before the timeout",
                     "send the same change again with the same change id; it "
                     "is applied at most once");
  }
  return std::move(*pending->outcome);
}

bool StateAccess::IsFresh() const {
  const std::optional<Milliseconds> age = state_age();
  return age && *age <= kMaximumFreshStateAge;
}

}  // namespace bramleyrail
