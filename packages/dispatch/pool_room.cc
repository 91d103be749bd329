#include "packages/dispatch/pool_room.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>

namespace bramleyrail {

namespace {

int64_t CountParts(int64_t free, int64_t part, int64_t maximum) {
  return part <= 0 ? maximum : std::clamp<int64_t>(free / part, 0, maximum);
}

// How many tasks of this size fit, and at most `maximum`.
int64_t CountFitting(const ResourceAmounts& free,
                     const ResourceAmounts& size,
                     int64_t maximum) {
  const int64_t by_processors =
      CountParts(free.processor_millis, size.processor_millis, maximum);
  const int64_t by_memory =
      CountParts(free.memory_mib, size.memory_mib, by_processors);
  return CountParts(free.accelerators, size.accelerators, by_memory);
}

void Take(const ResourceAmounts& size, int64_t tasks, ResourceAmounts* free) {
  free->processor_millis -= tasks * size.processor_millis;
  free->memory_mib -= tasks * size.memory_mib;
  free->accelerators -= tasks * size.accelerators;
}

bool HasLabel(std::span<const std::string> labels, const std::string& label) {
  return label.empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

}  // namespace

void PoolRoom::AddWorker(const ResourceAmounts& capacity,
                         const ResourceAmounts& reserved,
                         std::span<const std::string> labels) {
  ResourceAmounts free = capacity;
  free -= reserved;
  workers_.push_back({capacity, free, labels});
  capacity_millis_ += capacity.processor_millis;
  reserved_millis_ += reserved.processor_millis;
}

int64_t PoolRoom::PlaceLongRunning(const JobStep& step,
                                   int64_t tasks,
                                   const ShortWorkNeed& short_work) {
  ResourceAmounts size = step.size;
  if (step.best_effort) {
    size.processor_millis = 0;
  }
  // The loss of usable room, the free processors, the index of the worker and
  // the tasks that were placed there.
  using Candidate = std::tuple<double, int64_t, size_t, int64_t>;
  std::priority_queue<Candidate, std::vector<Candidate>, std::greater<>> best;
  const int64_t limit =
      step.maximum_tasks_per_worker > 0 ? step.maximum_tasks_per_worker : tasks;
  int64_t possible = 0;
  const auto add = [&](size_t index, int64_t placed) {
    const Worker& worker = workers_[index];
    if (placed >= limit || CountFitting(worker.free, size, 1) == 0) {
      return;
    }
    const int64_t free = worker.free.processor_millis;
    const double loss =
        short_work.UsableProcessorMillis(free) -
        short_work.UsableProcessorMillis(free - size.processor_millis);
    best.emplace(loss, free, index, placed);
  };
  for (size_t index = 0; index < workers_.size(); ++index) {
    if (HasLabel(workers_[index].labels, step.required_label)) {
      possible += CountFitting(workers_[index].capacity, size, limit);
      add(index, 0);
    }
  }
  tasks = std::min(tasks, possible);
  for (; tasks > 0 && !best.empty(); --tasks) {
    const auto [loss, free, index, placed] = best.top();
    best.pop();
    Take(size, 1, &workers_[index].free);
    reserved_millis_ += size.processor_millis;
    add(index, placed + 1);
  }
  return tasks;
}

int64_t PoolRoom::MissingFor(const ShortWorkNeed& short_work,
                             int64_t limit_millis) const {
  const double scale =
      std::min(1.0, static_cast<double>(limit_millis) /
                        static_cast<double>(std::max<int64_t>(
                            short_work.peak_processor_millis, 1)));
  std::vector<Worker> workers = workers_;
  int64_t missing = 0;
  for (const ShortWorkNeed::Group& group : short_work.groups) {
    auto tasks = static_cast<int64_t>(static_cast<double>(group.tasks) * scale);
    for (Worker& worker : workers) {
      if (tasks == 0) {
        break;
      }
      const int64_t fitting = CountFitting(worker.free, group.size, tasks);
      Take(group.size, fitting, &worker.free);
      tasks -= fitting;
    }
    missing += tasks * group.size.processor_millis;
  }
  return missing;
}

}  // namespace bramleyrail
