#ifndef PACKAGES_DISPATCH_DISPATCH_BATCHES_H_
#define PACKAGES_DISPATCH_DISPATCH_BATCHES_H_

#include <cstdint>
#include <vector>

#include "packages/queue/queue.h"

namespace bramleyrail {

// Finished runs that must become durable before they are acknowledged to the
// workers.
struct DispatchedFinishedRuns {
  uint64_t number = 0;
  std::vector<FinishedRun> finished_runs;
};

// Long-running runs that must be recorded before the workers are ordered to
// start them, and such runs that have ended without a report.
struct DispatchedPlacements {
  uint64_t number = 0;
  RecordPlacements command;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_DISPATCH_BATCHES_H_
