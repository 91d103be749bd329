#ifndef PACKAGES_DISPATCH_DISPATCH_BATCHES_H_
#define PACKAGES_DISPATCH_DISPATCH_BATCHES_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "packages/dispatch/tracked_worker.h"
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

// A batch of placements whose start orders are not sent yet.
struct UnsentStarts {
  bool durable = false;
  uint64_t last_finished_batch = 0;  // When the batch was taken.
  std::vector<std::pair<std::string, RunKey>> runs;  // With their workers.
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_DISPATCH_BATCHES_H_
