#ifndef PACKAGES_DISPATCH_SHORT_WORK_DEMAND_H_
#define PACKAGES_DISPATCH_SHORT_WORK_DEMAND_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "packages/dispatch/short_work_history.h"
#include "packages/queue/queue.h"

namespace bramleyrail {

// Measures for each pool the room that its short work needs, by priority, from
// what has become ready and has finished in the last minute. Soft state: after
// a takeover it begins with what is open then.
class ShortWorkDemand {
 public:
  static bool IsShort(const JobStep& step) {
    return !step.long_running && !step.best_effort;
  }

  // Tasks of the step have become ready. Ignores steps that are not short.
  void AddReadyTasks(const QueuedJob& job,
                     const JobStep& step,
                     int64_t tasks,
                     MonotonicTime now);
  void AddFinishedRun(const QueuedJob& job,
                      const JobStep& step,
                      Milliseconds duration,
                      MonotonicTime now);
  // Measures the needs anew from time to time.
  void Refresh(MonotonicTime now);

  // The need, as last measured, of short work of the pool that has this
  // priority or a more urgent one; null: none.
  const ShortWorkNeed* Find(std::string_view pool, int64_t priority) const;

 private:
  struct Pool {
    std::map<int64_t, ShortWorkHistory> histories;  // By priority.
    std::map<int64_t, ShortWorkNeed> needs;  // With those of lower numbers.
  };

  ShortWorkHistory& HistoryOf(const QueuedJob& job);

  std::map<std::string, Pool, std::less<>> pools_;
  MonotonicTime next_refresh_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_SHORT_WORK_DEMAND_H_
