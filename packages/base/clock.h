#ifndef PACKAGES_BASE_CLOCK_H_
#define PACKAGES_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <functional>

namespace bramleyrail {

// Leases and timeouts use this clock only: it never jumps.
using MonotonicTime = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

// Hook that returns the current monotonic time; tests pass a fake.
using MonotonicClock = std::function<MonotonicTime()>;

MonotonicClock SystemMonotonicClock();

// CLOCK_BOOTTIME. Unlike CLOCK_MONOTONIC it counts the time that the machine
// was suspended, so a lease cannot outlive a suspension. Never mixed with the
// times of SystemMonotonicClock().
MonotonicTime BootTimeNow();

// Milliseconds since the Unix epoch, for display and records only.
int64_t UnixMilliseconds();

}  // namespace bramleyrail

#endif  // PACKAGES_BASE_CLOCK_H_
