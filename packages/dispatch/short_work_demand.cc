#include "packages/dispatch/short_work_demand.h"

#include <iterator>
#include <utility>

namespace bramleyrail {

namespace {

constexpr Milliseconds kRefreshInterval{500};
// Priorities of a pool that are measured apart. Each takes about 10 KB, and a
// configuration may use any number.
constexpr size_t kMaximumPriorities = 16;

}  // namespace

ShortWorkHistory& ShortWorkDemand::HistoryOf(const QueuedJob& job) {
  auto& histories = pools_[job.pool].histories;
  const auto found = histories.find(job.priority);
  if (found != histories.end()) {
    return found->second;
  }
  if (histories.size() < kMaximumPriorities) {
    return histories[job.priority];
  }
  const auto next = histories.lower_bound(job.priority);
  return next == histories.end() ? std::prev(next)->second : next->second;
}

void ShortWorkDemand::AddReadyTasks(const QueuedJob& job,
                                    const JobStep& step,
                                    int64_t tasks,
                                    MonotonicTime now) {
  if (!IsShort(step)) {
    return;
  }
  ShortWorkHistory& history = HistoryOf(job);
  history.AddReadyTasks(
      step.size, tasks,
      history.ExpectedDuration(Milliseconds(step.estimated_task_ms), now), now);
}

void ShortWorkDemand::AddFinishedRun(const QueuedJob& job,
                                     const JobStep& step,
                                     Milliseconds duration,
                                     MonotonicTime now) {
  if (IsShort(step)) {
    HistoryOf(job).AddFinishedRun(Milliseconds(step.estimated_task_ms),
                                  duration, now);
  }
}

void ShortWorkDemand::Refresh(MonotonicTime now) {
  if (now < next_refresh_) {
    return;
  }
  next_refresh_ = now + kRefreshInterval;
  for (auto position = pools_.begin(); position != pools_.end();) {
    Pool& pool = position->second;
    pool.needs.clear();
    ShortWorkNeed total;
    for (auto item = pool.histories.begin(); item != pool.histories.end();) {
      if (item->second.IsEmpty(now)) {
        item = pool.histories.erase(item);
        continue;
      }
      total.Add(item->second.Need(now));
      pool.needs[item->first] = total;
      ++item;
    }
    position =
        pool.histories.empty() ? pools_.erase(position) : std::next(position);
  }
}

const ShortWorkNeed* ShortWorkDemand::Find(std::string_view pool,
                                           int64_t priority) const {
  const auto found = pools_.find(pool);
  if (found == pools_.end()) {
    return nullptr;
  }
  const auto& needs = found->second.needs;
  const auto next = needs.upper_bound(priority);
  if (next == needs.begin() || std::prev(next)->second.empty()) {
    return nullptr;
  }
  return &std::prev(next)->second;
}

}  // namespace bramleyrail
