#ifndef PACKAGES_DISPATCH_FAKES_RECORDED_STEP_H_
#define PACKAGES_DISPATCH_FAKES_RECORDED_STEP_H_

#include <cstdint>
#include <vector>

#include "packages/dispatch/dispatch.h"

namespace bramleyrail {

// Steps the dispatcher and makes its placements durable at once, so that the
// orders that it returns include the starts that wait for that.
std::vector<WorkerOrder> StepAndRecord(Dispatcher* dispatcher,
                                       const QueueState& state,
                                       MonotonicTime now,
                                       int64_t unix_ms);
// The same, and records them in the state.
std::vector<WorkerOrder> StepAndRecord(Dispatcher* dispatcher,
                                       QueueState* state,
                                       MonotonicTime now,
                                       int64_t unix_ms);

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_FAKES_RECORDED_STEP_H_
