#ifndef PACKAGES_DISPATCH_SHORT_WORK_NEED_H_
#define PACKAGES_DISPATCH_SHORT_WORK_NEED_H_

#include <cstdint>
#include <vector>

#include "packages/state/state.h"

namespace bramleyrail {

// What short work (neither long-running nor best-effort) needs at the same time
// to start without waiting, except in rare peaks.
struct ShortWorkNeed {
  // Tasks of about the same size.
  struct Group {
    ResourceAmounts size;  // The largest of the group.
    int64_t tasks = 0;
    double share = 0;  // Of the processor time of all groups.
  };

  bool empty() const { return groups.empty(); }
  // Adds the need of other work that may run at the same time.
  void Add(const ShortWorkNeed& other);
  // The mean processors that tasks of these sizes can use of free ones. What is
  // left over is too small for them.
  double UsableProcessorMillis(int64_t free_millis) const;

  std::vector<Group> groups;  // Largest first.
  // Processors of all tasks: on average, and in peaks.
  int64_t mean_processor_millis = 0;
  int64_t peak_processor_millis = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_SHORT_WORK_NEED_H_
