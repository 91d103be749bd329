#ifndef PACKAGES_CALLER_OWNER_RUNNER_H_
#define PACKAGES_CALLER_OWNER_RUNNER_H_

#include <functional>

#include "packages/routing/routing.h"
#include "packages/target/target.h"

namespace bramleyrail {

// Runs requests on the targets of this instance, for its own callers and for
// other instances: selection, sending, and the record of the outcome.
class OwnerRunner {
 public:
  struct Options {
    RoutingTable* table = nullptr;
    RequestTable* requests = nullptr;
    TargetClient* client = nullptr;
    // Called when capacity has become free; `was_full` when the target had
    // none before.
    std::function<void(bool was_full)> on_capacity = [](bool) {};
  };

  explicit OwnerRunner(Options options) : options_(std::move(options)) {}

  // `entry` is the instance that accepted the request.
  ForwardedAnswer Run(const ForwardedRequest& request, std::string_view entry);

  // Records a success or failure of a target; logs an ejection.
  void RecordOutcome(TargetSession* session,
                     const ForwardedAnswer& answer,
                     Milliseconds latency);

 private:
  const Options options_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_OWNER_RUNNER_H_
