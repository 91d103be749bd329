#ifndef PACKAGES_DISPATCH_TESTS_BUSY_POOL_H_
#define PACKAGES_DISPATCH_TESTS_BUSY_POOL_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/fakes/fake_pool.h"

namespace bramleyrail {

// A pool to which more small tasks come than fit, one after the other, so that
// they end one after the other, too.
class BusyPool {
 public:
  static constexpr int64_t kWorkerMillis = 8'000;
  static constexpr int kSmallTasksPerWorker = 4;
  static constexpr Milliseconds kTaskTime{400};

  struct Options {
    // As submitted with the small tasks.
    int64_t estimated_task_ms = kTaskTime.count();
    // Of all jobs; 0: they are late.
    int64_t objective_ms = 0;
  };

  explicit BusyPool(int workers) : BusyPool(workers, Options()) {}
  BusyPool(int workers, Options options)
      : options_(options),
        pool_({.workers = workers,
               .task_time = kTaskTime,
               .stamps_commands = options.objective_ms > 0,
               .plans_ending_steps = options.objective_ms > 0}),
        interval_(kTaskTime / (workers * kSmallTasksPerWorker)) {
    RunFor(2 * kTaskTime);
  }

  void RunFor(Milliseconds duration) {
    for (const MonotonicTime end = pool_.now() + duration; pool_.now() < end;) {
      JobSpecification job = FakePool::Job(1, 1);
      job.steps[0].size.processor_millis = kWorkerMillis / kSmallTasksPerWorker;
      job.steps[0].estimated_task_ms = options_.estimated_task_ms;
      Submit(absl::StrCat("small", jobs_++), std::move(job));
      pool_.RunFor(interval_);
    }
  }

  void Submit(std::string id, JobSpecification job) {
    SubmitJob command;
    command.id = std::move(id);
    command.queue = "queue";
    command.pool = "pool";
    command.maximum_attempts = 4;
    command.target_latency_ms = options_.objective_ms;
    command.specification = std::move(job);
    pool_.Apply(std::move(command));
  }

  // Returns false when the condition doesn't hold within the time.
  bool RunUntil(const std::function<bool()>& condition, Milliseconds limit) {
    for (const MonotonicTime end = pool_.now() + limit; pool_.now() < end;) {
      RunFor(interval_);
      if (condition()) {
        return true;
      }
    }
    return false;
  }

  double MeanOfRunningTasks(Milliseconds duration) {
    int samples = 0;
    int running = 0;
    for (const MonotonicTime end = pool_.now() + duration; pool_.now() < end;
         ++samples) {
      RunFor(interval_);
      running += pool_.RunningTasks();
    }
    return static_cast<double>(running) / samples;
  }

  FakePool& pool() { return pool_; }

  static JobSpecification LongRunningJob(int64_t processor_millis) {
    JobSpecification job = FakePool::Job(1, 1);
    job.steps[0].long_running = true;
    job.steps[0].size.processor_millis = processor_millis;
    return job;
  }

 private:
  const Options options_;
  FakePool pool_;
  const Milliseconds interval_;
  int jobs_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_TESTS_BUSY_POOL_H_
