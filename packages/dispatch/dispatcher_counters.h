#ifndef PACKAGES_DISPATCH_DISPATCHER_COUNTERS_H_
#define PACKAGES_DISPATCH_DISPATCHER_COUNTERS_H_

#include <cstdint>

namespace bramleyrail {

// What a Dispatcher has done since it was created.
struct DispatcherCounters {
  uint64_t starts = 0;
  uint64_t starts_refused = 0;
  uint64_t runs_completed = 0;
  uint64_t runs_failed = 0;
  uint64_t runs_interrupted = 0;
  uint64_t runs_lost = 0;
  uint64_t lease_renewals = 0;
  uint64_t cpu_limit_orders = 0;
  // Planned starts; those that came about, those that failed, and tasks that
  // started before one on its worker.
  uint64_t starts_planned = 0;
  uint64_t plans_kept = 0;
  uint64_t plans_failed = 0;
  uint64_t backfilled_starts = 0;
  // How often a worker was looked at for a plan.
  uint64_t plan_visits = 0;
  // Decisions about jobs with long-running steps that were handed in.
  uint64_t long_running_admitted = 0;
  uint64_t long_running_rejected = 0;
  // Jobs that were rejected since the jobs take all memory for them, and
  // occurrences that were due and waited for the end of others for that reason.
  uint64_t job_memory_rejected = 0;
  uint64_t occurrences_held = 0;
  // How often the limit of an account was reached.
  uint64_t account_limits_reached = 0;
  // How often a worker was rated for a task.
  uint64_t worker_ratings = 0;
  // How often a job was looked at to follow changes of the state, and a ready
  // task or a run because a job had ended.
  uint64_t job_visits = 0;
  uint64_t ready_task_visits = 0;
  uint64_t run_visits = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_DISPATCHER_COUNTERS_H_
