#ifndef PACKAGES_QUEUE_QUEUE_STATE_H_
#define PACKAGES_QUEUE_QUEUE_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "packages/queue/crash_limit.h"
#include "packages/queue/occurrence_set.h"
#include "packages/queue/queue_command.h"
#include "packages/queue/recorded_runs.h"

namespace bramleyrail {

enum class JobOutcome : uint8_t { kOpen, kCompleted, kFailed, kCancelled };

// Durable progress of a task that has at least one finished run.
struct TaskProgress {
  bool done = false;
  // Numbers of the failed runs. A leader may record a finished run that an
  // earlier leader recorded just before it lost the leadership, so each run
  // counts once.
  std::vector<uint64_t> failed_runs;
  uint64_t checkpoint_run = 0;  // The run that wrote the checkpoint.
  std::string checkpoint;       // Empty: none.
  // Numbers of the runs whose worker crashed. Each counts once, too.
  std::vector<uint64_t> crashed_runs;
  int64_t attributed_crashes = 0;  // See RunOutcome::kCrashAttributed.

  CrashCount crashes() const {
    return {static_cast<int64_t>(crashed_runs.size()), attributed_crashes};
  }
};

struct QueuedJob {
  std::string id;
  std::string queue;
  std::string pool;
  int64_t maximum_attempts = 1;
  int64_t priority = 0;
  double stretch_factor = 1;
  int64_t target_latency_ms = 0;
  JobSpecification specification;
  int64_t submitted_unix_ms = 0;
  int64_t ended_unix_ms = 0;
  JobOutcome outcome = JobOutcome::kOpen;
  // Tasks without an entry have no finished run. The failures of a gang are
  // stored at its first member. Cleared when the job ends. For a job with
  // repetitions, the entries of an occurrence are deleted when it finishes.
  std::map<TaskName, TaskProgress> progress;
  // Only of a job with repetitions: the occurrences whose tasks are all done,
  // and for each other one with a task that is done, how many are.
  OccurrenceSet finished_occurrences;
  std::map<int64_t, int64_t> done_tasks;
  int64_t unfinished_tasks = 0;
  std::string account;  // Of the submitter; empty: none.

  // Upper estimate of the memory that the job takes now. See job_memory.h.
  int64_t MemoryBytes() const;
};

// The replicated state of the job queues. Commands are applied in log order,
// and their effect depends only on the state and the command.
class QueueState {
 public:
  QueueState();

  QueueOutcome Apply(const QueueCommand& command);

  const QueueConfiguration& configuration() const { return configuration_; }
  bool IsEvacuated(const std::string& failure_domain) const {
    return evacuated_.contains(failure_domain);
  }
  const std::set<std::string>& evacuated() const { return evacuated_; }
  // Counts the orders to begin or end an evacuation of the failure domain.
  int64_t EvacuationRevision(const std::string& failure_domain) const;
  const std::map<std::string, WorkerRegistration>& workers() const {
    return workers_;
  }
  // Workers that are not registered any more and may still run tasks, by id.
  const std::map<std::string, WithdrawnWorker>& withdrawn_workers() const {
    return withdrawn_workers_;
  }
  using Jobs = std::map<std::string, std::shared_ptr<QueuedJob>, std::less<>>;
  const Jobs& jobs() const { return jobs_; }
  // Upper estimate of the memory that the jobs take, and the cancellations that
  // came before their jobs. See BytesOfOpenJob().
  int64_t job_bytes() const;
  const QueuedJob* FindJob(std::string_view id) const;
  // Change with the registrations of workers, and with the set of open jobs.
  // No two states of a process share a value for different content.
  uint64_t workers_revision() const { return workers_revision_; }
  uint64_t jobs_revision() const { return jobs_revision_; }
  // Ids of the jobs that were added or have ended since the state had this
  // revision of its jobs, in the order of the changes. nullopt when the state
  // no longer knows them: the caller must then look at all jobs.
  std::optional<std::vector<std::string>> JobsChangedSince(
      uint64_t revision) const;
  // Whether PurgeJobsEndedBefore{unix_ms} has an effect.
  bool HasJobsEndedBefore(int64_t unix_ms) const;
  const std::map<int64_t, MaintenanceWave>& waves() const { return waves_; }
  int64_t leader_epoch() const { return leader_epoch_; }
  // The longest lease that any leader up to now may have granted. nullopt when
  // one of them did not state it.
  std::optional<int64_t> longest_lease_ms() const;
  const RecordedRuns& recorded_runs() const { return recorded_runs_; }
  // By id, the workers that refuse connections and have runs that may have
  // crashed them.
  const std::map<std::string, SuspectedRuns>& suspected_runs() const {
    return suspected_runs_;
  }
  // Whether a later incarnation of the worker has registered with its id.
  bool HasRestarted(const std::string& worker) const {
    return restarted_workers_.contains(worker);
  }
  // Whether the worker was drained and has left.
  bool HasDeparted(const WorkerIncarnation& worker) const;
  // Whether a leader may have started long-running tasks of the open job
  // without a record.
  bool HasUnrecordedRuns(std::string_view job) const {
    return jobs_with_unrecorded_runs_.contains(job);
  }

  std::vector<std::byte> EncodeSnapshot() const;
  // Returns kDataLoss when the bytes are not a snapshot of this version.
  static Result<std::unique_ptr<QueueState>> FromSnapshot(
      std::span<const std::byte> data);

 private:
  QueueOutcome Handle(const BeginLeadership& command, int64_t unix_ms);
  QueueOutcome Handle(const ReplaceConfiguration& command, int64_t unix_ms);
  QueueOutcome Handle(const SetEvacuated& command, int64_t unix_ms);
  QueueOutcome Handle(const PutWorker& command, int64_t unix_ms);
  QueueOutcome Handle(const RemoveWorker& command, int64_t unix_ms);
  QueueOutcome Handle(const SubmitJob& command, int64_t unix_ms);
  QueueOutcome Handle(const CancelQueuedJob& command, int64_t unix_ms);
  QueueOutcome Handle(const RecordFinishedRuns& command, int64_t unix_ms);
  QueueOutcome Handle(const PurgeJobsEndedBefore& command, int64_t unix_ms);
  QueueOutcome Handle(const StartWave& command, int64_t unix_ms);
  QueueOutcome Handle(const FinishMachineMaintenance& command, int64_t unix_ms);
  QueueOutcome Handle(const ReadBarrier& command, int64_t unix_ms);
  QueueOutcome Handle(const RecordPlacements& command, int64_t unix_ms);
  QueueOutcome Handle(const ForgetWithdrawnWorkers& command, int64_t unix_ms);
  QueueOutcome Handle(const RecordSuspectedRuns& command, int64_t unix_ms);
  void Record(const FinishedRun& finished, QueuedJob* job, int64_t unix_ms);
  static void RecordCrash(const FinishedRun& finished, TaskProgress* progress);
  void MarkDone(const TaskName& task, QueuedJob* job);
  // Deletes the progress of the occurrence if all its tasks are done.
  static void FinishOccurrence(int64_t number, QueuedJob* job);
  // Derives what a snapshot does not contain.
  static void RestoreOccurrences(QueuedJob* job);
  void EndJob(QueuedJob* job, JobOutcome outcome, int64_t unix_ms);
  void RecordJobChange(const std::string& id);

  int64_t leader_epoch_ = 0;
  bool leader_records_placements_ = false;
  int64_t longest_lease_ms_ = 0;  // See BeginLeadership; 0: unknown.
  RecordedRuns recorded_runs_;
  std::set<std::string, std::less<>> jobs_with_unrecorded_runs_;
  QueueConfiguration configuration_;
  std::set<std::string> evacuated_;
  std::map<std::string, int64_t> evacuation_revisions_;
  std::map<std::string, WorkerRegistration> workers_;
  std::map<std::string, DepartedWorker> departed_workers_;  // By id.
  std::map<std::string, WithdrawnWorker> withdrawn_workers_;
  std::set<std::string> restarted_workers_;
  std::map<std::string, SuspectedRuns> suspected_runs_;  // By worker id.
  Jobs jobs_;
  int64_t job_bytes_ = 0;
  // Ids that were cancelled and not known, and when. A submission may arrive
  // after the cancellation that its caller has sent later.
  std::map<std::string, int64_t, std::less<>> cancelled_unknown_jobs_;
  std::map<int64_t, MaintenanceWave> waves_;
  uint64_t workers_revision_;
  uint64_t jobs_revision_;
  // The latest changes of the set of open jobs, and the revision before the
  // first of them.
  struct JobChange {
    uint64_t revision = 0;
    std::string job;
  };
  std::deque<JobChange> job_changes_;
  uint64_t job_changes_since_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_QUEUE_STATE_H_
