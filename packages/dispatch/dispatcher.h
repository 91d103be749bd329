#ifndef PACKAGES_DISPATCH_DISPATCHER_H_
#define PACKAGES_DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "packages/dispatch/account_ledger.h"
#include "packages/dispatch/cpu_limit_policy.h"
#include "packages/dispatch/dispatch_batches.h"
#include "packages/dispatch/dispatcher_counters.h"
#include "packages/dispatch/job_memory_admission.h"
#include "packages/dispatch/largest_waiting_task.h"
#include "packages/dispatch/latency_interference_model.h"
#include "packages/dispatch/long_running_admission.h"
#include "packages/dispatch/placement_pass.h"
#include "packages/dispatch/ready_steps.h"
#include "packages/dispatch/run_time_estimator.h"
#include "packages/dispatch/standing_task.h"
#include "packages/dispatch/start_planner.h"
#include "packages/dispatch/tracked_job.h"
#include "packages/dispatch/tracked_worker.h"
#include "packages/dispatch/worker_order.h"
#include "packages/dispatch/worker_ranking.h"
#include "packages/dispatch/worker_selector.h"

namespace bramleyrail {

// Makes the scheduling decisions of one leader epoch: which tasks start on
// which workers, which runs are stopped, and how the lists that workers report
// change the state of tasks. The owner sends the orders, passes the responses
// back and makes the finished runs durable.
class Dispatcher {
 public:
  struct Options {
    WorkerSelector::Options placement;
    // Length of the leases that the leader grants, and the maximum that a
    // worker accepts.
    Milliseconds lease{5'000};
    Milliseconds maximum_lease{6'000};
    // How long a worker may delay its response to a lease renewal while no run
    // finishes.
    Milliseconds renewal_wait{1'000};
    // Starts are planned for steps that end by themselves, too. The room that
    // such a plan collects stands empty until the start.
    bool plans_ending_steps = false;
    // Memory for the jobs of the state; 0: no limit.
    int64_t maximum_job_bytes = 0;
  };

  using FinishedRunBatch = DispatchedFinishedRuns;
  using PlacementBatch = DispatchedPlacements;
  using Counters = DispatcherCounters;

  Dispatcher(Options options, int64_t leader_epoch, MonotonicTime now);

  // Applies changes of the replicated state. Call after every change.
  void Synchronize(const QueueState& state, MonotonicTime now);
  // Returns the orders that are due now.
  std::vector<WorkerOrder> Step(const QueueState& state,
                                MonotonicTime now,
                                int64_t unix_ms);
  // Returns finished runs that were received since the last call, as many as
  // fit into one command. Call until the batch has the number 0: there is
  // nothing more to acknowledge then.
  FinishedRunBatch TakeFinishedRuns();
  void MarkFinishedRunsDurable(uint64_t batch);
  // Returns the placements since the last call. The batch has the number 0 when
  // there is nothing to record.
  PlacementBatch TakePlacements();
  // Returns the start orders that waited for the record.
  std::vector<WorkerOrder> MarkPlacementsDurable(uint64_t batch,
                                                 MonotonicTime now);

  // Handle the responses to orders. `sent` is the time when the order was sent.
  void HandleStartResponse(const WorkerAddress& worker,
                           const TaskName& task,
                           uint64_t run,
                           OrderOutcome outcome,
                           MonotonicTime now);
  void HandleStopResponse(const WorkerAddress& worker,
                          const TaskName& task,
                          uint64_t run,
                          OrderOutcome outcome,
                          MonotonicTime now);
  void HandleCpuLimitResponse(const WorkerAddress& worker,
                              const TaskName& task,
                              uint64_t run,
                              int64_t cpu_limit_percent,
                              OrderOutcome outcome,
                              MonotonicTime now);
  void HandleLeaseRenewalResponse(const WorkerAddress& worker,
                                  OrderOutcome outcome,
                                  const LeaseRenewalResponse& response,
                                  MonotonicTime sent,
                                  MonotonicTime now);
  // Stores the worker's clock from a heartbeat.
  void ObserveClock(const std::string& worker,
                    int64_t started_unix_ms,
                    int64_t clock_ms,
                    MonotonicTime now);

  // Decides whether a job that is handed in is accepted. kInvalidArgument when
  // it is too large to be accepted ever.
  Result<AdmissionDecision> Admit(const QueueState& state,
                                  const SubmitJob& job,
                                  MonotonicTime now);
  // A request for the admitted job has certainly not stored it.
  void WithdrawAdmission(std::string_view job);
  // Memory that the records of occurrences take which run beside another one of
  // their job.
  int64_t overlap_bytes() const { return *overlap_bytes_; }

  // Withdrawn workers of the state that run no task any more.
  std::vector<WorkerIncarnation> EndedWithdrawals(
      const QueueState& state) const;

  // What of the suspected runs is to be recorded, so that a later leader counts
  // their crashes.
  std::vector<SuspectedRuns> SuspicionChanges(const QueueState& state) const;

  // Whether a task of the job is known to have started.
  bool HasStarted(std::string_view job) const;
  // Open jobs of the queue without such a task.
  int64_t CountWaitingJobs(std::string_view queue) const;
  // A worker follows a newer leader, so this one must not send any more orders.
  bool superseded() const { return superseded_; }
  int64_t leader_epoch() const { return leader_epoch_; }
  const Counters& counters() const { return counters_; }
  size_t worker_count() const { return workers_.size(); }
  size_t job_count() const { return jobs_.size(); }
  size_t ready_task_count() const { return ready_.task_count(); }
  // Returns the first task that would stand still: one that is active without a
  // run on its worker, or ready and not among the tasks to place. For tests.
  std::optional<std::string> FindInconsistency() const;
  // Long-running tasks whose turn has come and that have no run at work.
  std::vector<StandingTask> FindStandingTasks(MonotonicTime now) const;
  std::vector<AccountReport> AccountReports() const;
  // Longest time for which a step has found no worker for any task.
  Milliseconds longest_wait() const { return longest_wait_; }

 private:
  TrackedWorker* FindWorker(const WorkerAddress& address);
  TrackedJob* FindJob(std::string_view id);
  uint64_t NextRunNumber(const TrackedTask& task) const;
  // Whether the worker of the task has its last run.
  bool HasLastRun(const TaskName& name, const TrackedTask& task) const;
  void EnqueueReadyTasks(TrackedJob* job, const std::vector<TaskName>& tasks);
  void SynchronizeWorkers(const QueueState& state, MonotonicTime now);
  // Follows workers that were withdrawn under earlier leaders, whose leases may
  // not have expired.
  void TrackWithdrawnWorkers(const QueueState& state, MonotonicTime now);
  // When the lease ends that an earlier leader may have granted to the worker.
  MonotonicTime EndOfEarlierLease(bool restarted, MonotonicTime now) const;
  void SynchronizeJobs(const QueueState& state, MonotonicTime now);
  void SynchronizeJob(const QueueState& state,
                      const std::string& id,
                      MonotonicTime now);
  void TrackJob(const QueueState& state, std::shared_ptr<const QueuedJob> job);
  // Adds the runs of the job that earlier leaders recorded to the workers that
  // may have them.
  void TrackRecordedRuns(const QueueState& state, TrackedJob* job);
  void TrackRecordedRun(const QueueState& state,
                        const TaskName& task,
                        const RecordedRuns::Run& recorded,
                        TrackedJob* job);
  void CloseJob(const std::string& id,
                std::string_view reason,
                MonotonicTime now);
  void StopRunsOfEndedJob(const TrackedJob& job, MonotonicTime now);

  void PlaceReadyTasks(const QueueState& state, MonotonicTime now);
  // Whether the step waits for workers that may run any task of its job.
  bool IsHeldByTakeover(TrackedJob* job,
                        const TaskName& step,
                        MonotonicTime now) const;
  // Whether the limit of the account of the job has no room for the task.
  bool IsHeldByLimit(const TrackedJob& job, const TaskName& task) const;
  void HoldForLimit(TrackedJob* job, const TaskName& task, MonotonicTime now);
  // Call when the step has waited for the limit, and does no more.
  static void EndLimitWait(TrackedJob* job,
                           const TaskName& task,
                           MonotonicTime now);
  // Places the ready tasks of the job step that `task` names.
  void PlaceStep(TaskName task,
                 TrackedJob* job,
                 const EligibleWorkers& eligible,
                 PlacementPass* pass);
  // Whether the task may crash its worker, so that it is kept apart.
  bool IsSuspected(TrackedJob* job,
                   const TaskName& task,
                   MonotonicTime now) const;
  WorkerRequest MakeRequest(TrackedJob* job,
                            const TaskName& task,
                            Milliseconds waited,
                            MonotonicTime now) const;
  // A high estimate for a run of the step; nullopt for a long-running one.
  std::optional<Milliseconds> LongestDuration(const QueuedJob& job,
                                              const JobStep& step) const;
  void RecordRunTime(const TrackedRun& run, MonotonicTime now);
  // Starts a long-running task that has waited on a worker that is failing.
  // Returns false when it has not waited long enough, or no such worker has
  // room.
  bool PlaceOnFailingWorker(const EligibleWorkers& eligible,
                            TrackedJob* job,
                            const TaskName& task,
                            PlacementPass* pass);
  // Start the task, or the gang. Without a worker for the task, or for a member
  // of the gang, the selection says why. `ranking` is shared by the tasks of a
  // step and built here when needed.
  WorkerSelection PlaceTask(const EligibleWorkers& eligible,
                            TrackedJob* job,
                            const TaskName& task,
                            Milliseconds waited,
                            std::optional<WorkerRanking>* ranking,
                            PlacementPass* pass);
  // Starts a task, which finds no room elsewhere, as planned.
  WorkerSelection PlaceAsPlanned(const EligibleWorkers& eligible,
                                 TrackedJob* job,
                                 const WorkerRequest& request,
                                 const WorkerRejections& rejections);
  WorkerSelection PlaceGang(const EligibleWorkers& eligible,
                            TrackedJob* job,
                            const TaskName& first,
                            PlacementPass* pass);
  std::optional<StandingTask> ExplainActiveTask(const TaskName& name,
                                                const TrackedTask& task) const;
  StandingTask ExplainReadyTask(TrackedJob* job,
                                const TaskName& name,
                                MonotonicTime now) const;
  // Logs which long-running tasks stand still, and why.
  void ReportStandingTasks(MonotonicTime now);
  static void EndWait(TargetProtection protection,
                      MonotonicTime now,
                      TrackedStep* step);
  // Logs that no task of a step starts before a suspected one has run.
  void ReportHeldAfterCrash(const TaskName& task,
                            MonotonicTime now,
                            TrackedStep* step);
  // Logs why a step waits, after 1 s and each time that the wait has doubled.
  void ReportWait(const TrackedJob& job,
                  const TaskName& task,
                  const WorkerRejections& rejections,
                  MonotonicTime now,
                  TrackedStep* step);
  void StartRun(TrackedJob* job,
                const TaskName& task,
                uint64_t run,
                TrackedWorker* worker,
                MonotonicTime now);
  // Sends the start orders whose records, and those of all runs that had
  // finished before them, are durable.
  void SendRecordedStarts(MonotonicTime now);
  void SendStartsOfBatch(
      const std::vector<std::pair<std::string, RunKey>>& runs,
      MonotonicTime now);
  // Whether the start of a recorded run may still be ordered from its worker.
  bool MayOrderStart(const std::string& worker_id, const RunKey& key) const;
  // Records that the run has ended without a report, if it was recorded.
  void RecordEnd(const RunKey& key);
  void SendStart(TrackedWorker* worker,
                 const RunKey& key,
                 TrackedRun* run,
                 MonotonicTime now);
  void SendStop(TrackedWorker* worker,
                const RunKey& key,
                TrackedRun* run,
                std::string_view reason,
                MonotonicTime now);
  void SendCpuLimit(TrackedWorker* worker, const RunKey& key, TrackedRun* run);
  AdmissionDecision AdmitLongRunning(const QueueState& state,
                                     const SubmitJob& job,
                                     MonotonicTime now);
  void ReleaseDueJobs(const QueueState& state, MonotonicTime now);
  // Releases the next occurrence of the job, if the memory has room for it.
  bool ReleaseOccurrence(const QueueState& state, const std::string& id);
  void StepWorkers(MonotonicTime now);
  void StepWorker(TrackedWorker* worker, MonotonicTime now);
  void RetryOrders(TrackedWorker* worker, MonotonicTime now);
  void MoveRunsOffDrainingWorker(TrackedWorker* worker, MonotonicTime now);
  static bool IsRenewalDue(const TrackedWorker& worker, MonotonicTime now);
  void RenewLease(TrackedWorker* worker, MonotonicTime now);
  // Every run on the worker is known to have ended.
  void RequeueLostRuns(TrackedWorker* worker,
                       std::string_view reason,
                       MonotonicTime now);
  // This incarnation of the worker has ended, and a later one exists.
  void RequeueRunsOfEndedIncarnation(TrackedWorker* worker, MonotonicTime now);
  // The numbers of finished runs start anew in a later incarnation.
  void ForgetAcknowledgements(const std::string& worker);
  // Stops runs of the earlier incarnation that the later one may execute.
  void StopInheritedRuns(TrackedWorker* earlier,
                         TrackedWorker* later,
                         MonotonicTime now);
  void RequeueRuns(TrackedWorker* worker,
                   const std::vector<RunKey>& runs,
                   std::string_view reason,
                   MonotonicTime now);
  // Records the end of a worker's process that it did not announce, against the
  // runs that may have caused it.
  void RecordCrash(TrackedWorker* worker, std::string_view evidence);
  // The worker's process may have ended, or the worker may only be cut off.
  // Isolates the runs that may have caused an end, and counts nothing.
  void SuspectCrash(TrackedWorker* worker, MonotonicTime now);
  void Suspect(const PossibleCrash& possible,
               TrackedWorker* worker,
               MonotonicTime now);
  // Takes over what earlier leaders suspected, and counts the crashes that have
  // become known since.
  void RestoreSuspicions(const QueueState& state, MonotonicTime now);
  // The worker has responded, so its process has not ended.
  void WithdrawSuspicion(TrackedWorker* worker);
  void CountCrash(const TrackedWorker& worker,
                  const PossibleCrash& possible,
                  std::string_view evidence);
  // Records a run that is not known to have begun before its worker ended.
  void CountUnansweredStart(const TrackedWorker& worker,
                            const FinishedRun& unanswered,
                            std::string_view evidence,
                            TrackedJob* job,
                            TrackedTask* record);
  void CountCrashOfRun(const TrackedWorker& worker,
                       const FinishedRun& crashed,
                       std::string_view evidence,
                       TrackedJob* job,
                       TrackedTask* record);
  // A run of the task is known to have begun.
  void ForgetUnansweredStarts(const TaskName& task);
  // The crashes to record if the worker's process has ended.
  static std::vector<PossibleCrash> PossibleCrashes(
      const TrackedWorker& worker);
  // Whether the task must not start yet after crashes of workers under it or
  // under other tasks of its step.
  bool IsHeldAfterCrash(TrackedJob* job,
                        const TaskName& task,
                        TrackedStep* step,
                        MonotonicTime now) const;
  // Whether the task waits until it is known whether workers that refuse
  // connections have crashed under it.
  static bool IsHeldBySuspicion(TrackedJob* job,
                                const TaskName& task,
                                MonotonicTime now);
  bool HasOutlivedCrashes(const TaskName& name, const TrackedTask& task) const;
  bool IsBatchDurable(uint64_t batch) const;
  bool AllLeasesExpired(const TrackedWorker& worker, MonotonicTime now) const;
  // Whether all leases have expired and the worker does not respond any more.
  bool HasLostRuns(TrackedWorker* worker, MonotonicTime now) const;
  void RecordFailedRenewal(TrackedWorker* worker,
                           OrderOutcome outcome,
                           MonotonicTime sent,
                           MonotonicTime now) const;
  // Whether the failure of renewals after the expiry, the last of which was
  // sent then and had this outcome, shows that the worker does not respond.
  bool ShowsSilence(const ExpiryCheck& check,
                    OrderOutcome outcome,
                    MonotonicTime sent,
                    MonotonicTime now) const;
  // Notes when the owner is late with a step.
  void ObserveLag(MonotonicTime now);
  bool HasLaggedSince(MonotonicTime time, MonotonicTime now) const;
  // Notes when no worker may have an unknown run of an earlier leader.
  void CheckEarlierRuns(MonotonicTime now);
  // Logs once which workers have not responded and may have earlier runs.
  void ReportHeldRuns(MonotonicTime now);
  // After this time, all leases that earlier leaders granted have expired.
  MonotonicTime EndOfEarlierLeases() const;
  // The same for leases that were meant for an earlier incarnation of a worker.
  static MonotonicTime EndOfInheritedLeases(MonotonicTime now,
                                            Milliseconds maximum_lease);

  void HandleFinishedRun(TrackedWorker* worker,
                         const ReportedFinishedRun& reported,
                         MonotonicTime now);
  void ReconcileRunningRuns(TrackedWorker* worker,
                            const LeaseRenewalResponse& response,
                            MonotonicTime sent,
                            MonotonicTime now);
  // What a list shows about a run that it does not name.
  enum class UnlistedRun {
    kPending,     // The list may have been made before the run began.
    kActive,      // The run's own entry cannot be read.
    kEnded,       // Its end does not matter, or never will.
    kUnresolved,  // The run may have ended with a result that cannot be read.
  };
  struct ListEvidence {
    const LeaseRenewalResponse& response;
    MonotonicTime sent;  // The request.
    // The request was sent after all leases of the worker had expired.
    bool after_all_leases = false;
  };
  UnlistedRun ClassifyUnlistedRun(const RunKey& key,
                                  const TrackedRun& run,
                                  const ListEvidence& list,
                                  MonotonicTime now);
  // Whether the task of the run must not start again if the run is done.
  bool MayHaveResult(const RunKey& key);
  // Ends the runs that the list shows to have ended without a report. Withholds
  // the lease while the list leaves open whether one has.
  void ResolveUnlistedRuns(TrackedWorker* worker,
                           const LeaseRenewalResponse& response,
                           MonotonicTime sent,
                           MonotonicTime now);
  // Handles the ends in the lists of a worker that may have unknown runs of an
  // earlier leader, because some entry cannot be read. Returns false for other
  // lists. Without further leases these runs end, and their tasks can start
  // again; a task that is done must not.
  bool HandleUnknownLists(TrackedWorker* worker,
                          const LeaseRenewalResponse& response,
                          MonotonicTime sent,
                          MonotonicTime now);
  void RecordMeasurement(TrackedRun* run, MonotonicTime now);
  // Whether the task of the reported run is neither active nor done.
  static bool MayAdopt(const ReportedRun& reported, TrackedJob* job);
  void AdoptRun(TrackedWorker* worker,
                const ReportedRun& reported,
                MonotonicTime now);
  // The task starts on another worker next time, if one has room.
  void AvoidWorker(const TaskName& task, const TrackedWorker& worker);
  // Makes the task ready again after its run has ended without a result.
  void Requeue(const TaskName& task, uint64_t run, MonotonicTime not_before);
  // Changes CPU limits of best-effort runs, or moves them away, as the target
  // latencies of the runs on the worker require.
  void ProtectTargets(TrackedWorker* worker, MonotonicTime now);
  void RecordFailure(TrackedWorker* worker,
                     std::string_view reason,
                     MonotonicTime now);

  static constexpr int64_t kHeldLinesPerSecond = 2;

  const Options options_;
  const int64_t leader_epoch_;
  const MonotonicTime takeover_time_;
  Milliseconds longest_earlier_lease_;
  const WorkerSelector selector_;
  const CpuLimitPolicy cpu_limit_policy_{};
  LatencyInterferenceModel interference_model_;
  LongRunningAdmission admission_;
  JobMemoryAdmission job_memory_;
  const std::shared_ptr<int64_t> overlap_bytes_ = std::make_shared<int64_t>(0);
  TrackedWorkers workers_;
  // Ids of workers that may have crashed.
  std::set<std::string> suspected_workers_;
  // Ids of workers that may be due for an order before the next sweep.
  std::vector<std::string> due_workers_;
  MonotonicTime next_worker_sweep_;
  std::map<std::string, std::unique_ptr<TrackedJob>, std::less<>> jobs_;
  ReadySteps ready_;
  RunTimeEstimator run_times_;
  LargestWaitingTask largest_waiting_;
  AccountLedger accounts_;
  // When the next occurrence of a job is due, and the job.
  using Releases = std::set<std::pair<int64_t, std::string>>;
  Releases releases_;
  Releases held_releases_;  // Due, and without room in the memory.
  MonotonicTime next_held_release_;
  LogRateLimit held_lines_{kHeldLinesPerSecond};
  std::vector<WorkerOrder> orders_;
  std::vector<FinishedRun> finished_runs_;
  // By worker, the highest number of a finished run that was received since the
  // last batch; and the same for each batch that is not durable yet.
  std::map<std::string, int64_t> received_through_;
  std::map<uint64_t, std::map<std::string, int64_t>> unconfirmed_batches_;
  uint64_t last_batch_ = 0;
  std::vector<RunPlacement> placements_;  // Since the last batch.
  std::map<uint64_t, UnsentStarts> unsent_starts_;
  uint64_t last_placement_batch_ = 0;
  int64_t unix_ms_ = 0;  // Time of the current step.
  MonotonicTime last_step_;
  MonotonicTime last_lag_;  // When the owner was last late with a step.
  Milliseconds longest_wait_{0};
  MonotonicTime next_resume_;  // Of the steps that wait for a worker.
  std::map<TaskName, StandingSince> standing_since_;
  MonotonicTime next_standing_check_;
  bool synchronized_ = false;
  // Of the state that was last applied.
  uint64_t workers_revision_ = 0;
  uint64_t jobs_revision_ = 0;
  bool all_workers_contacted_ = false;
  bool held_runs_reported_ = false;
  bool superseded_ = false;
  Counters counters_;
  StartPlanner start_planner_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_DISPATCHER_H_
