#ifndef PACKAGES_DISPATCH_SHORT_WORK_HISTORY_H_
#define PACKAGES_DISPATCH_SHORT_WORK_HISTORY_H_

#include <array>
#include <cstdint>

#include "packages/base/base.h"
#include "packages/dispatch/short_work_need.h"

namespace bramleyrail {

// The short work of one pool and priority in the last minute. Uses the same
// memory however much work arrives.
class ShortWorkHistory {
 public:
  // Tasks of one step have become ready; each takes about `duration`.
  void AddReadyTasks(const ResourceAmounts& size,
                     int64_t tasks,
                     Milliseconds duration,
                     MonotonicTime now);
  void AddFinishedRun(Milliseconds estimate,
                      Milliseconds duration,
                      MonotonicTime now);

  // The expected duration of a task with this submitted estimate; 0: none.
  Milliseconds ExpectedDuration(Milliseconds estimate, MonotonicTime now);
  ShortWorkNeed Need(MonotonicTime now);
  // Whether no work is remembered any more.
  bool IsEmpty(MonotonicTime now);

 private:
  static constexpr int kBlocks = 4;
  static constexpr int kClasses = 64;
  // Covers the window, and as much time after it for tasks that run then.
  static constexpr int64_t kRingSize = 512;

  // Tasks whose processors differ by less than a fifth.
  struct SizeClass {
    double work = 0;       // Processor time.
    ResourceAmounts size;  // The largest of each amount.
  };
  // Sums over a part of the window.
  struct Block {
    double width = 0;  // Processors of the steps that became ready.
    double work = 0;
    double squared_width_time = 0;  // (Processors of a step)^2 * duration.
    double estimated_ms = 0;        // Of finished runs.
    double actual_ms = 0;           // Of finished runs with an estimate.
    double duration_ms = 0;         // Of all finished runs.
    int64_t finished_runs = 0;
    std::array<SizeClass, kClasses> classes{};
  };

  Block& Advance(MonotonicTime now);
  int64_t PeakOccupancy() const;
  static int64_t& At(std::array<int64_t, kRingSize>* ring, int64_t bucket);

  std::array<Block, kBlocks> blocks_{};
  int64_t block_ = -1;  // Number of the newest block.
  // Processor time that tasks would use in each interval if they never waited.
  std::array<int64_t, kRingSize> occupancy_{};
  int64_t bucket_ = -1;        // Number of the newest interval.
  int64_t first_bucket_ = -1;  // Of the first work that is remembered.
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_SHORT_WORK_HISTORY_H_
