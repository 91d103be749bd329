#ifndef PACKAGES_QUEUE_JOB_SPECIFICATION_H_
#define PACKAGES_QUEUE_JOB_SPECIFICATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "packages/state/state.h"

namespace bramleyrail {

// Tasks of one kind within a job.
struct JobStep {
  int64_t tasks = 1;
  ResourceAmounts size;  // Of one task.
  // The submitter's rough estimate of one task's duration.
  int64_t estimated_ms = 0;
  // Numbers of earlier steps whose tasks must all be done first.
  std::vector<int64_t> predecessors;
  bool checkpointing = false;
  // All tasks run at the same time and end together.
  bool gang = false;
  // The tasks run slower when they are spread over several racks.
  bool tightly_coupled = false;
  // Copies of a task may run in parallel; the first to finish counts.
  bool speculative = false;
  // The tasks run until the job is cancelled, and are restarted when they end.
  bool long_running = false;
  // The tasks use what others leave; their processor share is not reserved.
  bool uses_spare_capacity = false;
  std::string required_label;            // Empty: any worker.
  std::string data_rack;                 // Empty: no preference.
  std::string image;                     // Tasks of one image behave alike.
  int64_t maximum_tasks_per_worker = 0;  // 0: no limit.
  // Tail latency that a long-running task promises its users; 0: none.
  int64_t target_latency_ms = 0;
  // Tasks of a long-running step that may be down at once for planned reasons.
  int64_t interruption_budget = 0;
  bool has_interruption_budget = false;
};

struct JobSpecification {
  std::string payload;  // Passed to every task as it is.
  std::vector<JobStep> steps;
  // The steps run this many times, the first one at `first_unix_ms`; 0: once
  // and at once.
  int64_t repetitions = 0;
  int64_t first_unix_ms = 0;
  int64_t interval_ms = 0;

  int64_t Occurrences() const { return repetitions > 0 ? repetitions : 1; }
};

// Refuses a specification without tasks, with a predecessor that is not an
// earlier step, or beyond the limits of one job.
Result<void> ValidateJob(const JobSpecification& job);

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_JOB_SPECIFICATION_H_
