#ifndef PACKAGES_QUEUE_CRASH_LIMIT_H_
#define PACKAGES_QUEUE_CRASH_LIMIT_H_

#include <cstdint>

#include "packages/queue/job_specification.h"

namespace bramleyrail {

// Crashes of workers while a run of one task, or of one gang, was on them.
struct CrashCount {
  int64_t all = 0;
  int64_t attributed = 0;  // See RunOutcome::kCrashAttributed.
};

// Whether the job is given up because its task crashes the workers that start
// it.
bool IsCrashLimitReached(const JobStep& step, CrashCount crashes);

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_CRASH_LIMIT_H_
