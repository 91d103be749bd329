#ifndef PACKAGES_DISPATCH_LARGEST_WAITING_TASK_H_
#define PACKAGES_DISPATCH_LARGEST_WAITING_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "packages/base/base.h"

namespace bramleyrail {

// The processors of the largest task that waits for room in each pool, or did
// so a short time ago.
class LargestWaitingTask {
 public:
  void Add(std::string_view pool, int64_t processor_millis, MonotonicTime now);
  // Returns 0 when no task has waited.
  int64_t Find(std::string_view pool, MonotonicTime now) const;

 private:
  struct Entry {
    int64_t processor_millis = 0;
    MonotonicTime last_wait;
  };

  std::map<std::string, Entry, std::less<>> pools_;
};

// How many parts of this size fit into what is free, but no more once `taken`
// of it is in use; at least 0.
int64_t CountLostParts(int64_t free, int64_t taken, int64_t part);

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_LARGEST_WAITING_TASK_H_
