#include "packages/base/clock.h"

#include <time.h>

namespace bramleyrail {

MonotonicTime BootTimeNow() {
  timespec now;
  clock_gettime(CLOCK_BOOTTIME, &now);
  return MonotonicTime(std::chrono::seconds(now.tv_sec) +
                       std::chrono::nanoseconds(now.tv_nsec));
}

MonotonicClock SystemMonotonicClock() {
  return [] { return std::chrono::steady_clock::now(); };
}

int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace bramleyrail
