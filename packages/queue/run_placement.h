#ifndef PACKAGES_QUEUE_RUN_PLACEMENT_H_
#define PACKAGES_QUEUE_RUN_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "packages/queue/task_name.h"

namespace bramleyrail {

// One incarnation of a worker.
struct WorkerIncarnation {
  std::string id;
  int64_t started_unix_ms = 0;

  bool operator==(const WorkerIncarnation&) const = default;
};

// A run of a task, and the worker that is ordered to start it; without a
// worker, the run is known to have ended without a report.
struct RunPlacement {
  TaskName task;
  uint64_t run = 0;
  std::optional<WorkerIncarnation> worker;

  bool operator==(const RunPlacement&) const = default;
};

// Placements of tasks of one step. The lists have one entry for each of them.
struct StepPlacements {
  std::string job;
  int64_t occurrence = 0;
  int64_t step = 0;
  std::vector<int64_t> indexes;
  std::vector<uint64_t> runs;
  std::vector<int64_t> workers;  // Positions in a list of workers; -1: none.
};

// Placements in their order, without repetitions of what neighbours share.
struct PlacementList {
  std::vector<WorkerIncarnation> workers;
  std::vector<StepPlacements> steps;
};

PlacementList MakePlacementList(const std::vector<RunPlacement>& placements);
// nullopt when the lists of a step differ in length or refer to no worker.
std::optional<std::vector<RunPlacement>> PlacementsOf(
    const PlacementList& list);

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_RUN_PLACEMENT_H_
