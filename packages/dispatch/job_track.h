#ifndef PACKAGES_DISPATCH_JOB_TRACK_H_
#define PACKAGES_DISPATCH_JOB_TRACK_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "packages/queue/queue.h"

namespace bramleyrail {

enum class TaskPhase { kWaiting, kReady, kActive, kDone };

struct TaskTrack {
  TaskPhase phase = TaskPhase::kWaiting;
  uint64_t last_run = 0;
  // Runs that failed. A worker lists an end until it may forget it, so a new
  // leader can see one that is recorded already.
  std::set<uint64_t> failed_runs;
  std::string checkpoint;
  MonotonicTime not_before;  // Of the next start.
  std::string worker;        // While active.
  std::string avoid_worker;  // Where the last run failed.
};

struct StepTrack {
  std::vector<TaskTrack> tasks;
  MonotonicTime next_search;  // Of a worker, after one in vain.
  int64_t undone = 0;
  int64_t waiting_for = 0;  // Predecessors that are not done.
};

struct OccurrenceTrack {
  int64_t due_unix_ms = 0;  // 0: at once.
  bool released = false;    // Its time has come.
  std::vector<StepTrack> steps;
};

// What the leader knows of one open job: which tasks may start, run, or are
// done. Ends count here before they are durable.
class JobTrack {
 public:
  enum class Origin { kThisLeadership, kEarlierLeadership };

  JobTrack(std::shared_ptr<const QueuedJob> job, Origin origin);

  const QueuedJob& job() const { return *job_; }
  const std::shared_ptr<const QueuedJob>& shared_job() const { return job_; }
  const JobStep& step(const TaskName& task) const {
    return job_->job.steps[task.step];
  }
  Origin origin() const { return origin_; }
  bool Names(const TaskName& task) const;
  TaskTrack& task(const TaskName& task);
  OccurrenceTrack& occurrence(int64_t number) { return occurrences_[number]; }
  std::vector<OccurrenceTrack>& occurrences() { return occurrences_; }

  // Where the failures of the task count: one member stands for its gang.
  TaskTrack& FailuresOf(TaskName task);

  // Makes the tasks of every occurrence ready whose time has come; returns
  // them.
  std::vector<TaskName> Release(int64_t unix_ms);
  // Marks the task, or its whole gang, as done. Returns the tasks of later
  // steps that become ready.
  std::vector<TaskName> MarkDone(const TaskName& task);
  // A task is ready again. Returns what may start: the task, or all members of
  // its gang once the last of them is ready, or nothing.
  std::vector<TaskName> MarkReady(const TaskName& task);

  // Unix time by which the job has to end for its objective.
  int64_t objective_unix_ms() const { return objective_unix_ms_; }
  // The latest start of a task of the step for that, by the estimates.
  int64_t LatestStartUnixMs(const TaskName& task) const;
  bool started = false;

 private:
  std::vector<TaskName> ReadyStep(int64_t occurrence, int64_t step);

  const std::shared_ptr<const QueuedJob> job_;
  const Origin origin_;
  std::vector<OccurrenceTrack> occurrences_;
  std::vector<int64_t> chains_ms_;  // From the start of each step to the end.
  int64_t objective_unix_ms_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_JOB_TRACK_H_
