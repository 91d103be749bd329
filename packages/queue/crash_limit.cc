#include "packages/queue/crash_limit.h"

namespace bramleyrail {

namespace {

// The rules allow a job to be given up after two crashes, and require it before
// the third start that follows three crashes. A leader that ends may not have
// recorded the last crash, which the limit below three leaves room for.
constexpr int64_t kCrashLimit = 3;
// The limit when one of the crashes had no other possible cause on the worker.
constexpr int64_t kCrashLimitWithAttribution = 2;
// Workers also crash for other reasons, and a long-running task meets many of
// these crashes in its time.
constexpr int64_t kAttributedCrashesOfLongRunningTask = 2;

}  // namespace

bool IsCrashLimitReached(const JobStep& step, CrashCount crashes) {
  if (step.long_running) {
    return crashes.all >= kCrashLimit &&
           crashes.attributed >= kAttributedCrashesOfLongRunningTask;
  }
  return crashes.all >= kCrashLimit ||
         (crashes.all >= kCrashLimitWithAttribution && crashes.attributed > 0);
}

}  // namespace bramleyrail
