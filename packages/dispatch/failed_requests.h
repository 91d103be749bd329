#ifndef PACKAGES_DISPATCH_FAILED_REQUESTS_H_
#define PACKAGES_DISPATCH_FAILED_REQUESTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "packages/dispatch/worker_selector.h"

namespace bramleyrail {

// The requests of one pass over the ready tasks for which no worker was found.
// Workers only become fuller during a pass, so a request that needs at least as
// much as one of them fails too, and need not rate the workers again.
class FailedRequests {
 public:
  // The job of the request outlives the pass.
  void Add(const WorkerRequest& request, const WorkerRejections& rejections);
  // Returns why the request fails, or null when that is not known. It may not
  // fail on the workers on which its own step has planned starts.
  const WorkerRejections* Find(const WorkerRequest& request) const;

 private:
  struct Entry {
    const std::string* pool = nullptr;
    const JobStep* step = nullptr;
    TargetProtection protection = TargetProtection::kFull;
    Milliseconds lateness{0};
    int64_t priority = 0;
    std::optional<Milliseconds> longest_duration;
    WorkerRejections rejections;
  };

  // Whether all plans that have held the failed request hold this one, unless
  // they are its own.
  static bool IsHeldAsMuch(const WorkerRequest& request, const Entry& failed);
  static bool NeedsAsMuch(const WorkerRequest& request, const Entry& failed);

  std::vector<Entry> entries_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_FAILED_REQUESTS_H_
