#ifndef PACKAGES_DISPATCH_TRACKED_JOB_H_
#define PACKAGES_DISPATCH_TRACKED_JOB_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "packages/dispatch/tracked_account.h"
#include "packages/queue/queue.h"

namespace bramleyrail {

// Whether a job that has tasks to start can still end when it is needed.
enum class Lateness {
  kOnTime,   // Or some of its tasks have started.
  kLate,     // It would miss its objective, by the estimates.
  kExpired,  // It has taken several times as long as its objective allows.
};

enum class TaskPhase { kWaiting, kReady, kActive, kDone };

struct TrackedTask {
  TaskPhase phase = TaskPhase::kWaiting;
  uint64_t last_run = 0;
  // Numbers of the failed runs. A worker reports a finished run until it is
  // acknowledged, so a new leader can receive a failure that is already
  // recorded.
  std::set<uint64_t> failed_runs;
  // Numbers of the runs whose worker crashed, as in TaskProgress.
  std::set<uint64_t> crashed_runs;
  int64_t attributed_crashes = 0;
  // Numbers of the runs whose worker ended without a sign that the run had
  // begun, since a run of the task was last known to begin.
  std::set<uint64_t> unanswered_runs;
  // Runs whose worker has refused connections ever since, by number, and
  // whether an end of its process would be attributed to the run.
  std::map<uint64_t, bool> suspected_runs;
  MonotonicTime last_suspicion;  // When the last of them was added.
  // A recent run may have crashed its worker, so the next one is isolated.
  bool crash_suspected = false;
  // The batch of finished runs with the last crash; 0: none.
  uint64_t crash_batch = 0;
  std::string checkpoint;
  MonotonicTime not_before;  // Earliest time of the next start.
  std::string worker;        // Set while the task is active.
  // The last run failed there, or was moved away from there.
  std::string avoid_worker;
};

struct TrackedStep {
  std::vector<TrackedTask> tasks;
  // Indexes of the tasks that are ready to start. See ReadySteps.
  std::set<int64_t> ready_tasks;
  // When last looked at by ReadySteps.
  Lateness lateness = Lateness::kOnTime;
  AccountRank account_rank;
  // Since when no task of the step could be placed although one was ready, and
  // how often that was logged.
  std::optional<MonotonicTime> waiting_since;
  int wait_reports = 0;
  // The same for the limit of the account.
  std::optional<MonotonicTime> limited_since;
  int limit_reports = 0;
  // The same for the tasks that a crash holds.
  std::optional<MonotonicTime> held_since;
  int held_reports = 0;
  // Index of a task that may crash its workers. The other tasks of the step
  // probably behave like it and wait until it has run without a crash.
  std::optional<int64_t> crash_suspect;
  int64_t unfinished_tasks = 0;
  int64_t unfinished_predecessors = 0;

  // For how long no task of the step could be placed.
  Milliseconds WaitTime(MonotonicTime now) const {
    return waiting_since
               ? std::chrono::floor<Milliseconds>(now - *waiting_since)
               : Milliseconds(0);
  }
};

struct TrackedOccurrence {
  bool released = false;  // It is due, and its tasks may start.
  bool started = false;   // A task has started.
  int64_t unfinished_steps = 0;
  std::vector<TrackedStep> steps;
};

// The leader's record of one open job: which tasks are waiting, ready, active
// or done. Finished runs take effect here before they are durable. An
// occurrence has records from its release, or the first report of one of its
// tasks, until all its tasks are done.
class TrackedJob {
 public:
  // Runs that earlier leaders may have started: none, since this one accepted
  // the job; runs of which the long-running ones are recorded; or unrecorded
  // ones.
  enum class EarlierRuns { kNone, kRecorded, kUnrecorded };

  // `overlap_bytes` is the sum, over all jobs of the owner, of the records that
  // exceed what was counted when the job was accepted. See BytesOfOpenJob().
  TrackedJob(
      std::shared_ptr<const QueuedJob> job,
      EarlierRuns earlier_runs,
      std::shared_ptr<int64_t> overlap_bytes = std::make_shared<int64_t>(0));
  ~TrackedJob();
  TrackedJob(const TrackedJob&) = delete;
  TrackedJob& operator=(const TrackedJob&) = delete;

  const QueuedJob& job() const { return *job_; }
  const std::shared_ptr<const QueuedJob>& shared_job() const { return job_; }
  const SharedText& shared_id() const { return id_; }
  const std::shared_ptr<const JsonText>& payload() const { return payload_; }
  const JobStep& step(const TaskName& task) const {
    return job_->specification.steps[task.step];
  }
  EarlierRuns earlier_runs() const { return earlier_runs_; }
  // Whether the job contains the task, which may have finished.
  bool Contains(const TaskName& task) const;
  // The same, and its occurrence has not finished.
  bool HasTask(const TaskName& task) const {
    return Contains(task) && !IsFinished(task.occurrence);
  }
  // The records of an occurrence, which must not have finished. They are
  // created when there are none.
  TrackedOccurrence& occurrence(int64_t number);
  TrackedTask& task(const TaskName& task) {
    return step_record(task).tasks[task.index];
  }
  TrackedStep& step_record(int64_t occurrence_number, int64_t step) {
    return occurrence(occurrence_number).steps[step];
  }
  TrackedStep& step_record(const TaskName& task) {
    return step_record(task.occurrence, task.step);
  }
  // The occurrences that have records, by number.
  std::map<int64_t, TrackedOccurrence>& occurrences() { return occurrences_; }
  bool IsFinished(int64_t occurrence_number) const {
    return finished_.Contains(occurrence_number);
  }

  // The task that holds the failures: the first member for a gang, otherwise
  // the task itself.
  TrackedTask& FailureRecordOf(TaskName task);
  // Isolates the next run of the task. The task of the step with the most
  // crashes is started before the others.
  void SuspectOfCrashes(const TaskName& task);
  // The worker of this run has responded again. Ends the isolation unless a
  // worker has crashed under the task, or may have.
  void WithdrawSuspicion(const TaskName& task, uint64_t run);

  // Releases the next occurrence and returns the tasks that become ready.
  std::vector<TaskName> ReleaseNext();
  // Bytes that the release of the next occurrence takes beyond what was counted
  // when the job was accepted.
  int64_t OverlapBytesOfNextRelease() const;
  // Whether no task of the step is waiting, active or done.
  bool AreAllTasksReady(const TaskName& task);
  // When the next occurrence is due, 0 for immediately; nullopt when all are
  // released.
  std::optional<int64_t> NextReleaseUnixMs() const;
  // Marks the task, or its whole gang, as done. Returns the tasks of later
  // steps that become ready. Deletes the records of an occurrence that ends.
  std::vector<TaskName> MarkDone(const TaskName& task);
  // Makes an active task ready again. Returns the tasks that may start: the
  // task itself; for a gang, all members once the last of them is ready, or
  // none.
  std::vector<TaskName> MarkReady(const TaskName& task);

  // Unix time by which the occurrence has to end to meet the objective of the
  // job.
  int64_t ObjectiveUnixMs(int64_t occurrence) const {
    return start_unix_ms_ + objective_ms_ +
           occurrence * job_->specification.interval_ms;
  }
  Lateness LatenessOf(const TaskName& task, int64_t unix_ms) const;
  // The latest start of the task that still meets the objective, by the
  // estimated durations.
  int64_t LatestStartUnixMs(const TaskName& task) const;
  // Null: the job counts against no account.
  std::shared_ptr<TrackedAccount> account;
  AccountRank account_rank() const {
    return account == nullptr ? AccountRank{} : account->rank();
  }
  bool started = false;
  // Ids of the workers that were given, or reported, a run of the job.
  std::set<std::string> workers;

 private:
  std::vector<TaskName> MarkStepReady(int64_t occurrence_number, int64_t step);
  // Marks steps that follow a finished one as ready once they wait for no
  // other.
  std::vector<TaskName> MarkSuccessorsReady(const TaskName& finished);
  void FinishOccurrence(int64_t number);
  // Whether this many occurrences with records are more than the job reserves.
  bool ExceedsReservation(size_t occurrences) const {
    return static_cast<int64_t>(occurrences) > reserved_occurrences_;
  }
  void RestoreProgress();

  const std::shared_ptr<const QueuedJob> job_;
  const SharedText id_;  // Shared by the names of the tasks.
  // A copy, because the state discards the payload when the job ends, while
  // start orders may still be on their way to the network.
  const std::shared_ptr<const JsonText> payload_;
  const EarlierRuns earlier_runs_;
  const int64_t occurrence_bytes_;
  const int64_t reserved_occurrences_;
  const std::shared_ptr<int64_t> overlap_bytes_;
  std::map<int64_t, TrackedOccurrence> occurrences_;
  OccurrenceSet finished_;
  int64_t next_release_ = 0;          // Number of the next occurrence.
  int64_t released_occurrences_ = 0;  // Of those with records.
  // Estimated duration of the longest chain of steps from each step on.
  std::vector<int64_t> critical_path_ms_;
  int64_t start_unix_ms_ = 0;  // Of the first occurrence.
  int64_t objective_ms_ = 0;   // Time that each occurrence may take.
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_TRACKED_JOB_H_
