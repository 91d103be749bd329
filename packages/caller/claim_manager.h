#ifndef PACKAGES_CALLER_CLAIM_MANAGER_H_
#define PACKAGES_CALLER_CLAIM_MANAGER_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"
#include "packages/caller/caller_request.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Manages the replicated claims of non-idempotent requests: commits a claim
// before the request is sent, and records the outcome afterwards.
class ClaimManager {
 public:
  struct Options {
    std::string instance;
    std::string boot_id;
    std::function<void(Command, StateAccess::ProposeCallback)> propose;
    MonotonicClock clock = SystemMonotonicClock();
  };

  struct Acquisition {
    // True when this call created the claim, so this instance may send the
    // request.
    bool acquired = false;
    Claim claim;  // The committed claim, of this or an earlier request.
  };

  explicit ClaimManager(Options options);

  // Commits a claim and blocks until it is committed. After an error the
  // request must not be sent; this instance has not run it, since nothing is
  // sent before the claim is acquired.
  Result<Acquisition> Acquire(const CallerRequest& request,
                              Milliseconds timeout);

  // Records the outcome of a claim that was acquired. Does not block.
  // RetryDueResolutions() retries until the record is committed.
  void Resolve(Claim claim);

  // Retries failed resolutions. Call it about every 200 ms.
  void RetryDueResolutions();

  // Number of resolutions that are not committed yet.
  size_t UnresolvedCount() const;

 private:
  struct Resolution {
    Claim claim;
    MonotonicTime next_attempt;
    MonotonicTime retry_until;
    Milliseconds delay{0};  // Between the next attempt and the one after it.
  };
  // Shared with the callbacks of proposals, which may outlive the manager.
  struct PendingResolutions {
    mutable absl::Mutex mutex;
    std::deque<Resolution> waiting ABSL_GUARDED_BY(mutex);
    size_t in_flight ABSL_GUARDED_BY(mutex) = 0;
  };

  void Propose(Resolution resolution);

  const Options options_;
  std::shared_ptr<PendingResolutions> pending_ =
      std::make_shared<PendingResolutions>();
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_CLAIM_MANAGER_H_
