#ifndef PACKAGES_DISPATCH_POOL_ROOM_H_
#define PACKAGES_DISPATCH_POOL_ROOM_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "packages/dispatch/short_work_need.h"
#include "packages/queue/queue.h"

namespace bramleyrail {

// What the workers of a pool have left beside long-running tasks, to try out
// how further tasks would fit.
class PoolRoom {
 public:
  // `labels` outlive the object.
  void AddWorker(const ResourceAmounts& capacity,
                 const ResourceAmounts& reserved,
                 std::span<const std::string> labels);

  // Places long-running tasks of the step where they leave the most room that
  // short work can use. Returns how many have no room, of those that would have
  // room if the workers were empty.
  int64_t PlaceLongRunning(const JobStep& step,
                           int64_t tasks,
                           const ShortWorkNeed& short_work);
  // The processors of the short tasks that have no room at the same time, out
  // of those that need `limit_millis` processors in total.
  int64_t MissingFor(const ShortWorkNeed& short_work,
                     int64_t limit_millis) const;

  int64_t capacity_millis() const { return capacity_millis_; }
  int64_t reserved_millis() const { return reserved_millis_; }

 private:
  struct Worker {
    ResourceAmounts capacity;
    ResourceAmounts free;
    std::span<const std::string> labels;
  };

  std::vector<Worker> workers_;
  int64_t capacity_millis_ = 0;
  int64_t reserved_millis_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_POOL_ROOM_H_
