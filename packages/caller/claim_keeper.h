#ifndef PACKAGES_CALLER_CLAIM_KEEPER_H_
#define PACKAGES_CALLER_CLAIM_KEEPER_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"
#include "packages/caller/caller_request.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Commits claims for non-idempotent requests and resolves them afterwards.
class ClaimKeeper {
 public:
  struct Options {
    std::string instance;
    std::string boot_id;
    std::function<void(Command, StateAccess::ProposeCallback)> propose;
    MonotonicClock clock = SystemMonotonicClock();
  };

  struct Decision {
    bool won = false;  // This instance may send the request.
    Claim claim;       // The claim in force.
  };

  explicit ClaimKeeper(Options options);

  // Commits a claim. An error means that the request must not be sent; it was
  // not run, since nothing is sent before the claim is won.
  Result<Decision> Acquire(const CallerRequest& request, Milliseconds timeout);

  // Records the outcome of a claim that was won. Does not block; repeated by
  // RetryDue() until it is committed.
  void Resolve(Claim claim);

  // Repeats resolutions that failed. To be called about every 200 ms.
  void RetryDue();

  // Resolutions that are not committed yet.
  size_t Unresolved() const;

 private:
  struct Resolution {
    Claim claim;
    MonotonicTime due;
    MonotonicTime give_up;
    Milliseconds delay{0};  // Before the next repetition.
  };
  // Shared with the callbacks, which may outlive the keeper.
  struct Pending {
    mutable absl::Mutex mutex;
    std::deque<Resolution> waiting ABSL_GUARDED_BY(mutex);
    size_t in_flight ABSL_GUARDED_BY(mutex) = 0;
  };

  void Propose(Resolution resolution);

  const Options options_;
  std::shared_ptr<Pending> pending_ = std::make_shared<Pending>();
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_CLAIM_KEEPER_H_
