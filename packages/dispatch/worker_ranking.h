#ifndef PACKAGES_DISPATCH_WORKER_RANKING_H_
#define PACKAGES_DISPATCH_WORKER_RANKING_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "packages/dispatch/worker_selector.h"

namespace bramleyrail {

// Selects workers for the tasks of one job step, one after the other, as
// WorkerSelector::Select() does for each of them. Each worker is rated once,
// and again when it got a task. Valid while nothing else changes the workers.
class WorkerRanking {
 public:
  // The arguments outlive the ranking. The request names any task of the step.
  // Adds the number of ratings to `ratings`.
  WorkerRanking(const WorkerSelector* selector,
                const EligibleWorkers* eligible,
                const LatencyInterferenceModel* model,
                WorkerRequest request,
                uint64_t* ratings);

  // Returns the best worker. Call Update() once the task was added to it.
  WorkerSelection Select();
  // Rates the worker of the last selection again.
  void Update();

 private:
  // Score and position in the list of eligible workers.
  using Entry = std::pair<double, size_t>;

  void Rate(size_t position);

  const WorkerSelector* const selector_;
  const EligibleWorkers* const eligible_;
  const LatencyInterferenceModel* const model_;
  const WorkerRequest request_;
  uint64_t* const ratings_;
  WorkerRejections rejections_;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> best_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_WORKER_RANKING_H_
