#ifndef PACKAGES_CALLER_LOCAL_REQUEST_EXECUTOR_H_
#define PACKAGES_CALLER_LOCAL_REQUEST_EXECUTOR_H_

#include <functional>

#include "packages/routing/routing.h"
#include "packages/target/target.h"

namespace bramleyrail {

// Runs requests on the targets of this instance, for local callers and for
// other instances: selects a target, sends the request and records the outcome.
class LocalRequestExecutor {
 public:
  struct Options {
    RoutingTable* table = nullptr;
    RequestTable* requests = nullptr;
    TargetClient* client = nullptr;
    // Called after a request has released its slot. `was_full` is true if the
    // target had no free slot before.
    std::function<void(bool was_full)> on_capacity_freed = [](bool) {};
  };

  explicit LocalRequestExecutor(Options options)
      : options_(std::move(options)) {}

  // Runs a request. `entry` is the instance that accepted it from the caller.
  ForwardedResponse Run(const ForwardedRequest& request,
                        std::string_view entry);

  // Records the success or failure of a target, and logs an ejection.
  void RecordOutcome(TargetSession* session,
                     const ForwardedResponse& response,
                     Milliseconds latency);

 private:
  const Options options_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_LOCAL_REQUEST_EXECUTOR_H_
