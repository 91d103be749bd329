#ifndef PACKAGES_DISPATCH_LONG_RUNNING_ADMISSION_H_
#define PACKAGES_DISPATCH_LONG_RUNNING_ADMISSION_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "packages/base/base.h"
#include "packages/dispatch/admission_decision.h"
#include "packages/dispatch/pool_room.h"
#include "packages/dispatch/short_work_demand.h"
#include "packages/queue/queue.h"

namespace bramleyrail {

// Decides whether a job with long-running steps is accepted: not when its tasks
// would take room that short work needs. Decides only before a job is stored:
// an accepted task must not wait beside room for it.
class LongRunningAdmission {
 public:
  explicit LongRunningAdmission(UniformRandom random = MakeUniformRandom());

  static bool HasLongRunningStep(const JobSpecification& job);

  // The owner reports short work here.
  ShortWorkDemand& short_work() { return short_work_; }
  // The room that short work needs beside the job; null: none, and the job is
  // admitted.
  const ShortWorkNeed* FindNeed(const SubmitJob& job) const {
    return short_work_.Find(job.pool, job.priority);
  }
  // The same beside tasks of the step; null also for other than long-running
  // ones that reserve processors.
  const ShortWorkNeed* FindNeed(const QueuedJob& job,
                                const JobStep& step) const {
    return step.long_running && !step.best_effort
               ? short_work_.Find(job.pool, job.priority)
               : nullptr;
  }

  // Whether an earlier request for the job was admitted whose outcome is not
  // known. Counts this request as another one then.
  bool AdmitAgain(std::string_view id);
  // Places the tasks of the admitted jobs of the pool that are not known yet.
  void PlaceAdmitted(std::string_view pool,
                     const ShortWorkNeed& need,
                     PoolRoom* room) const;
  // `room` is what the accepted long-running tasks leave, also those that do
  // not run yet. An admitted job counts until it is tracked, or all requests
  // for it are withdrawn.
  AdmissionDecision Decide(const SubmitJob& job,
                           PoolRoom room,
                           MonotonicTime now);
  // A request for the job has certainly not stored it.
  void Withdraw(std::string_view id);
  // The job is stored, and its tasks are tracked.
  void MarkTracked(std::string_view id);
  // The job has ended, and its long-running tasks with it.
  void AddEndedJob(const QueuedJob& job, MonotonicTime now);

 private:
  static constexpr int kBlocks = 4;

  struct AdmittedJob {
    std::string pool;
    JobSpecification specification;  // Without the payload.
    int64_t requests = 1;
  };
  // Processors that jobs have freed when they ended, in parts of the window.
  struct EndedWork {
    std::array<int64_t, kBlocks> processor_millis{};
    int64_t block = 0;  // Number of the newest part.
    MonotonicTime since;
  };

  void Advance(MonotonicTime now, EndedWork* ended) const;
  // Processors that become free in a second; 0: not known.
  double FreedPerSecond(std::string_view pool, MonotonicTime now);
  Milliseconds RetryAfter(std::string_view pool,
                          int64_t missing_millis,
                          MonotonicTime now);
  void Report(const SubmitJob& job,
              const AdmissionDecision& decision,
              const ShortWorkNeed* need,
              const PoolRoom& room,
              int64_t missing_millis,
              MonotonicTime now);

  const UniformRandom random_;
  ShortWorkDemand short_work_;
  std::map<std::string, AdmittedJob, std::less<>> admitted_;
  std::map<std::string, EndedWork, std::less<>> ended_;  // By pool.
  LogRateLimit admitted_lines_;
  LogRateLimit rejected_lines_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_LONG_RUNNING_ADMISSION_H_
