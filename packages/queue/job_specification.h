#ifndef PACKAGES_QUEUE_JOB_SPECIFICATION_H_
#define PACKAGES_QUEUE_JOB_SPECIFICATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "packages/state/state.h"

namespace bramleyrail {

// A group of equal tasks within a job.
struct JobStep {
  int64_t tasks = 1;     // Number of tasks.
  ResourceAmounts size;  // Resources that one task requires.
  // The submitter's rough estimate of the duration of one task.
  int64_t estimated_task_ms = 0;
  // Numbers of earlier steps whose tasks must all be done before these start.
  std::vector<int64_t> predecessors;
  bool checkpointing = false;
  // All tasks run at the same time and end together.
  bool gang = false;
  // The tasks run more slowly when they are spread over several racks.
  bool tightly_coupled = false;
  // Copies of a task may run in parallel; the first that finishes counts.
  bool speculative = false;
  // The tasks run until the job is cancelled, and are restarted when they end.
  bool long_running = false;
  // The tasks use processor time that other tasks leave unused; none is
  // reserved for them.
  bool best_effort = false;
  std::string required_label;  // Empty: any worker.
  std::string data_rack;       // Empty: no preference.
  std::string image;  // Program of the tasks; tasks of one image behave alike.
  int64_t maximum_tasks_per_worker = 0;  // 0: no limit.
  // Target for the tail latency of a long-running task; 0: none.
  int64_t target_latency_ms = 0;
  // How many tasks of a long-running step planned work may interrupt at the
  // same time.
  int64_t interruption_budget = 0;
  bool has_interruption_budget = false;
};

struct JobSpecification {
  std::string payload;  // Passed to every task unchanged.
  std::vector<JobStep> steps;
  // How often the steps run, first at `first_start_unix_ms` and then every
  // `interval_ms`. 0: once, immediately.
  int64_t repetitions = 0;
  int64_t first_start_unix_ms = 0;
  int64_t interval_ms = 0;

  int64_t OccurrenceCount() const { return repetitions > 0 ? repetitions : 1; }
};

// The most steps of a job that ValidateJob() allows.
inline constexpr size_t kMaximumJobSteps = 100;

// Rejects a job without steps, with a step without tasks, with a predecessor
// that is not an earlier step, or beyond the size limits of one job.
Result<void> ValidateJob(const JobSpecification& job);

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_JOB_SPECIFICATION_H_
