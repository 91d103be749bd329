#include "packages/queue/run_placement.h"

#include <map>
#include <string_view>
#include <utility>

namespace bramleyrail {

namespace {

constexpr int64_t kNoWorker = -1;

}  // namespace

PlacementList MakePlacementList(const std::vector<RunPlacement>& placements) {
  PlacementList list;
  std::map<std::pair<std::string_view, int64_t>, int64_t> positions;
  for (const RunPlacement& placement : placements) {
    const TaskName& task = placement.task;
    if (list.steps.empty() || list.steps.back().job != task.job.View() ||
        list.steps.back().occurrence != task.occurrence ||
        list.steps.back().step != task.step) {
      StepPlacements& added = list.steps.emplace_back();
      added.job = std::string(task.job.View());
      added.occurrence = task.occurrence;
      added.step = task.step;
    }
    int64_t worker = kNoWorker;
    if (placement.worker) {
      const auto [position, inserted] = positions.try_emplace(
          {placement.worker->id, placement.worker->started_unix_ms},
          static_cast<int64_t>(list.workers.size()));
      if (inserted) {
        list.workers.push_back(*placement.worker);
      }
      worker = position->second;
    }
    StepPlacements& step = list.steps.back();
    step.indexes.push_back(task.index);
    step.runs.push_back(placement.run);
    step.workers.push_back(worker);
  }
  return list;
}

std::optional<std::vector<RunPlacement>> PlacementsOf(
    const PlacementList& list) {
  std::vector<RunPlacement> placements;
  for (const StepPlacements& step : list.steps) {
    if (step.runs.size() != step.indexes.size() ||
        step.workers.size() != step.indexes.size()) {
      return std::nullopt;
    }
    const SharedText job(step.job);
    for (size_t i = 0; i < step.indexes.size(); ++i) {
      RunPlacement& placement = placements.emplace_back();
      placement.task = {job, step.occurrence, step.step, step.indexes[i]};
      placement.run = step.runs[i];
      const int64_t worker = step.workers[i];
      if (worker == kNoWorker) {
        continue;
      }
      if (worker < 0 || worker >= static_cast<int64_t>(list.workers.size())) {
        return std::nullopt;
      }
      placement.worker = list.workers[worker];
    }
  }
  return placements;
}

}  // namespace bramleyrail
