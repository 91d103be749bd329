#include "packages/state/state_access.h"

#include <memory>
#include <utility>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace bramleyrail {

namespace {

// Outlives a caller that stopped waiting, since the callback may come later.
struct PendingAnswer {
  absl::Mutex mutex;
  std::optional<Result<CommandOutcome>> answer;
};

}  // namespace

Result<CommandOutcome> StateAccess::ProposeAndWait(Command command,
                                                   Milliseconds timeout) const {
  auto pending = std::make_shared<PendingAnswer>();
  propose(std::move(command), [pending](Result<CommandOutcome> answer) {
    const absl::MutexLock lock(&pending->mutex);
    pending->answer = std::move(answer);
  });

  const absl::MutexLock lock(&pending->mutex);
  const auto answered = [&pending] { return pending->answer.has_value(); };
  if (!pending->mutex.AwaitWithTimeout(absl::Condition(&answered),
                                       absl::FromChrono(timeout))) {
    return MakeError(ErrorKind::kOutcomeUnknown,
                     "the change was not confirmed in time",
                     "send the same change again with the same change id; it "
                     "is applied at most once");
  }
  return std::move(*pending->answer);
}

bool StateAccess::IsFresh() const {
  const std::optional<Milliseconds> age = state_age();
  return age && *age <= kFreshnessLimit;
}

}  // namespace bramleyrail
