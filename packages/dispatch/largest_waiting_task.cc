#include "packages/dispatch/largest_waiting_task.h"

#include <algorithm>

namespace bramleyrail {

namespace {

// Covers the time between two steps of the same kind in a steady load.
constexpr Milliseconds kMemory{5'000};

}  // namespace

void LargestWaitingTask::Add(std::string_view pool,
                             int64_t processor_millis,
                             MonotonicTime now) {
  auto found = pools_.find(pool);
  if (found == pools_.end()) {
    found = pools_.emplace(std::string(pool), Entry{}).first;
  }
  Entry& entry = found->second;
  if (processor_millis >= entry.processor_millis ||
      now - entry.last_wait > kMemory) {
    entry = {processor_millis, now};
  }
}

int64_t LargestWaitingTask::Find(std::string_view pool,
                                 MonotonicTime now) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() || now - found->second.last_wait > kMemory
             ? 0
             : found->second.processor_millis;
}

int64_t CountLostParts(int64_t free, int64_t taken, int64_t part) {
  if (part <= 0) {
    return 0;
  }
  return std::max<int64_t>(free, 0) / part -
         std::max<int64_t>(free - taken, 0) / part;
}

}  // namespace bramleyrail
