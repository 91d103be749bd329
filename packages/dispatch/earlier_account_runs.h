#ifndef PACKAGES_DISPATCH_EARLIER_ACCOUNT_RUNS_H_
#define PACKAGES_DISPATCH_EARLIER_ACCOUNT_RUNS_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "packages/dispatch/worker_selector.h"

namespace bramleyrail {

// What a new leader knows about the runs that earlier leaders started and no
// worker has reported to it yet. Their tasks are not known, so each account is
// charged an upper bound.
class EarlierAccountRuns {
 public:
  // Call at the takeover, with the state of that time.
  void Begin(const QueueState& state);
  // A job has ended while workers that have not reported may still run it.
  void AddEndedJob(std::shared_ptr<const QueuedJob> job);
  // All workers have reported, or their leases have expired.
  void End();
  bool has_ended() const { return has_ended_; }

  // What the silent workers may run for the account at most.
  ResourceAmounts BoundFor(const std::string& account,
                           const ResourceAmounts& silent_capacity) const;
  // Returns the job, if it has ended and belongs to an account.
  std::shared_ptr<const QueuedJob> FindEndedJob(std::string_view id) const;

  // What unknown runs may reserve on the workers that have not reported.
  static ResourceAmounts SilentCapacity(const TrackedWorkers& workers);

 private:
  // By account, the sum of all tasks that may run unknown.
  std::map<std::string, ResourceAmounts> sums_;
  std::map<std::string, std::shared_ptr<const QueuedJob>, std::less<>>
      ended_jobs_;
  bool has_ended_ = false;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_EARLIER_ACCOUNT_RUNS_H_
