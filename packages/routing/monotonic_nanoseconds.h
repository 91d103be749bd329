#ifndef PACKAGES_ROUTING_MONOTONIC_NANOSECONDS_H_
#define PACKAGES_ROUTING_MONOTONIC_NANOSECONDS_H_

#include <cstdint>

#include "packages/base/base.h"

namespace bramleyrail {

// Converts times and durations to integers, which atomics can store.
inline int64_t ToNanoseconds(MonotonicTime time) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             time.time_since_epoch())
      .count();
}

inline constexpr int64_t ToNanoseconds(Milliseconds duration) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(duration).count();
}

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_MONOTONIC_NANOSECONDS_H_
