#include "packages/base/clock.h"

namespace bramleyrail {

MonotonicClock SystemMonotonicClock() {
  return [] { return std::chrono::steady_clock::now(); };
}

int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace bramleyrail
