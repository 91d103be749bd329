#include "packages/dispatch/fakes/recorded_step.h"

#include <utility>

namespace bramleyrail {

namespace {

std::vector<WorkerOrder> Step(Dispatcher* dispatcher,
                              const QueueState& state,
                              QueueState* record,
                              MonotonicTime now,
                              int64_t unix_ms) {
  std::vector<WorkerOrder> orders = dispatcher->Step(state, now, unix_ms);
  const Dispatcher::PlacementBatch batch = dispatcher->TakePlacements();
  if (batch.number == 0) {
    return orders;
  }
  if (record != nullptr) {
    record->Apply({unix_ms, batch.command});
  }
  for (WorkerOrder& order :
       dispatcher->MarkPlacementsDurable(batch.number, now)) {
    orders.push_back(std::move(order));
  }
  return orders;
}

}  // namespace

std::vector<WorkerOrder> StepAndRecord(Dispatcher* dispatcher,
                                       const QueueState& state,
                                       MonotonicTime now,
                                       int64_t unix_ms) {
  return Step(dispatcher, state, nullptr, now, unix_ms);
}

std::vector<WorkerOrder> StepAndRecord(Dispatcher* dispatcher,
                                       QueueState* state,
                                       MonotonicTime now,
                                       int64_t unix_ms) {
  return Step(dispatcher, *state, state, now, unix_ms);
}

}  // namespace bramleyrail
