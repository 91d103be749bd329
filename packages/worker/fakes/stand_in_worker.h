#ifndef PACKAGES_WORKER_FAKES_STAND_IN_WORKER_H_
#define PACKAGES_WORKER_FAKES_STAND_IN_WORKER_H_

#include <atomic>
#include <deque>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/placement/placement.h"
#include "packages/worker/fakes/attempt_log.h"
#include "packages/worker/fakes/stand_in_task.h"

namespace bramleyrail {

// A worker for tests and the quickstart: it follows docs/interfaces/workers.md
// and runs tasks as timers.
class StandInWorker {
 public:
  struct Options {
    std::string name;
    std::string boot_id;  // Empty: a new one.
    WorkerSpec spec;
    std::vector<std::string> addresses;  // "HOST:PORT" of instances.
    std::string attempt_log;             // Path; empty: none.
    Milliseconds poll_wait{500};
    Milliseconds usage_lag{2000};
  };

  explicit StandInWorker(Options options);
  ~StandInWorker();

  void Start();
  // Stops all tasks, reports that once, and ends.
  void Stop();

  const std::string& boot_id() const { return options_.boot_id; }

 private:
  struct Attempt {
    int64_t number = 0;
    DesiredAttemptState desired = DesiredAttemptState::kRun;
    ReportedAttemptState state = ReportedAttemptState::kAccepted;
    PartitionBehaviour when_partitioned = PartitionBehaviour::kStop;
    bool checkpoint_requested = false;
    StandInTask task;
    MonotonicTime advanced_at;
    std::string message;

    bool IsRunning() const { return state == ReportedAttemptState::kRunning; }
    bool HasEnded() const {
      return !IsRunning() && state != ReportedAttemptState::kAccepted;
    }
  };
  struct LaggingUsage {
    MonotonicTime due;
    AttemptUsage usage;
  };

  void PollLoop();
  void TaskLoop();
  bool PollOnce(Milliseconds wait);
  std::string WritePoll(Milliseconds wait) ABSL_LOCKS_EXCLUDED(mutex_);
  Milliseconds WaitForPoll() ABSL_LOCKS_EXCLUDED(mutex_);
  void ApplyAnswer(const Json& answer, MonotonicTime sent)
      ABSL_LOCKS_EXCLUDED(mutex_);
  void ApplyAttempts(const Json& attempts, MonotonicTime now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Tick(MonotonicTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void TickAttempt(const std::string& task_id,
                   Attempt* attempt,
                   MonotonicTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void TickRunning(const std::string& task_id,
                   Attempt* attempt,
                   MonotonicTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void MeasureUsage(MonotonicTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void End(const std::string& task_id,
           Attempt* attempt,
           ReportedAttemptState state,
           MonotonicTime when) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  Options options_;
  AttemptLog log_;
  std::thread poll_thread_;
  std::thread task_thread_;
  std::atomic<bool> stopping_ = false;
  size_t address_ = 0;  // Used by the polling thread only.
  std::string known_version_;

  absl::Mutex mutex_;
  MonotonicTime permit_end_ ABSL_GUARDED_BY(mutex_);
  MonotonicTime lease_end_ ABSL_GUARDED_BY(mutex_);
  int64_t newest_revision_ ABSL_GUARDED_BY(mutex_) = 0;
  MonotonicTime next_measurement_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Attempt> attempts_ ABSL_GUARDED_BY(mutex_);
  std::deque<LaggingUsage> usage_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_WORKER_FAKES_STAND_IN_WORKER_H_
