#ifndef PACKAGES_DISPATCH_FAKES_FAKE_POOL_H_
#define PACKAGES_DISPATCH_FAKES_FAKE_POOL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "packages/dispatch/dispatch.h"

namespace bramleyrail {

// Workers, a replicated state and the leaders' dispatchers in one thread, with
// a simulated clock. Orders and responses may be lost, delayed or reordered,
// workers may be partitioned from the leader, crash and restart, and the leader
// may pause. Checks after every step that no task runs twice at the same time,
// and at every start that the task is not recorded as done, that no response
// which reached the leader's machine lists it as done, and that its
// predecessors are recorded as done. Checks after every step that the records
// of the leader are consistent.
class FakePool {
 public:
  struct Options {
    int workers = 4;
    uint64_t seed = 1;
    // Shares of the orders that are never executed, and that are executed after
    // a delay. The worker responds to neither.
    double lose_order = 0;
    double delay_order = 0;
    // Share of the orders that are executed and whose response is lost.
    double lose_response = 0;
    double fail_task = 0;  // Share of the runs that fail.
    Milliseconds task_time{400};
    Milliseconds lease{5'000};
    // Whether the leaders state that they record placements.
    bool records_placements = true;
    // The longest delay of `delay_order`.
    Milliseconds maximum_delivery_delay{6'000};
    // How often the leader receives the clock of a worker that it can't reach
    // by orders, too; 0: never.
    Milliseconds heartbeat_interval{0};
    // Whether commands carry the simulated time. Otherwise all carry the same
    // time, long before the first step, so that ordinary jobs are late.
    bool stamps_commands = false;
    // Whether the members of gangs end with each other, or when the others
    // don't come, as the workers' protocol says.
    bool ends_gangs = false;
    bool plans_ending_steps = false;  // See Dispatcher::Options.
    int64_t maximum_job_bytes = 0;    // The same.
    // Whether a new leader begins with the state of a snapshot.
    bool restores_snapshots = false;
  };

  // What is lost between the leader and one worker. Heartbeats arrive.
  enum class Cut {
    kNone,
    kOrders,
    kResponses,       // The orders are executed.
    kStarts,          // All other orders are executed and confirmed.
    kStartResponses,  // The same, and the starts are executed, too.
    kReset,           // Connections to the worker are reset or refused.
  };

  explicit FakePool(Options options);

  void Submit(const std::string& id,
              JobSpecification job,
              const std::string& account = "");
  // Submits the job unless the leader rejects it. Returns whether it did.
  bool HandIn(const std::string& id, JobSpecification job);
  // Replaces the configuration. From then on, checks at every start that no
  // account exceeds its limit.
  void SetAccounts(std::vector<ClientAccount> accounts);
  void Apply(QueueCommandBody body);
  void RunFor(Milliseconds duration);
  bool RunUntil(const std::function<bool()>& condition, Milliseconds limit);
  // A new leader takes over. Orders of the earlier leader may still arrive.
  void ChangeLeader();
  // The leader does nothing for this time. Responses arrive meanwhile, and the
  // leader then reads those whose time-out has not passed.
  void PauseLeader(Milliseconds duration) { leader_resumes_ = now_ + duration; }

  void SetPartitioned(int worker, bool partitioned) {
    workers_[worker].partitioned = partitioned;
  }
  void SetCut(int worker, Cut cut) { workers_[worker].cut = cut; }
  // Makes the worker reject new starts with this outcome; nullopt: none.
  void RejectStarts(int worker, std::optional<OrderOutcome> outcome) {
    workers_[worker].start_rejection = outcome;
  }
  // No placement becomes durable for this time.
  void StallPlacements(Milliseconds duration) {
    placements_resume_ = now_ + duration;
  }
  // Ends the process and restarts it under the same id as a new incarnation,
  // which registers later. Orders name only the id, so the new incarnation
  // executes those that were meant for the earlier one.
  // Its machine refuses connections for the time `down`.
  void Crash(int worker, Milliseconds down = Milliseconds(0));
  // Ends the process for good. Its registration stays.
  void Remove(int worker);
  // While set, the lists of the worker lack their first running and their first
  // finished run, as if these entries could not be read.
  void SetUnreadable(int worker, bool unreadable) {
    workers_[worker].unreadable = unreadable;
  }
  // From now on, no order and no response is lost or delayed.
  void StopLosses() { losses_stopped_ = true; }
  // Makes every run on the worker fail.
  void FailAll(int worker, bool fails) { workers_[worker].fails_all = fails; }
  void SetDraining(int worker);
  // Registers the worker again, unless its process is down.
  void Register(int worker);
  // Makes each run of the job end its worker's process soon after the start.
  // The process is back after `down`, under the same id as a later incarnation.
  void CrashWorkersOf(const std::string& job, Milliseconds down) {
    crashing_jobs_[job] = down;
  }
  // Changes what the worker can run, and what it reports of that.
  void SetCapacity(int worker, const ResourceAmounts& capacity);
  // Makes runs of this image raise the tail latency of latency-sensitive runs
  // on the same worker.
  void SetInterferingImage(std::string image) {
    interfering_image_ = std::move(image);
  }

  const QueueState& state() const { return state_; }
  const Dispatcher& dispatcher() const { return *dispatcher_; }
  JobOutcome Outcome(const std::string& id) const;
  int RunsOn(int worker) const;
  int RunningTasks() const;
  bool IsRunning(const TaskName& task) const;
  // The worker that runs the task; -1: none.
  int WorkerOf(const TaskName& task) const;
  bool IsPartitioned(std::string_view worker) const;
  int starts() const { return starts_; }
  // How many tasks of the job are recorded as done.
  int64_t RecordedTasks(std::string_view job) const;
  int64_t CpuLimitOf(const TaskName& task) const;
  // How many workers have crashed, for any reason.
  int crashes() const { return crashes_; }
  // What the runs of the account reserve on all workers.
  ResourceAmounts ReservedBy(const std::string& account) const;
  // The first invariant that was violated, or empty.
  const std::string& violation() const { return violation_; }
  MonotonicTime now() const { return now_; }

  // A job of steps with equal tasks, where each step waits for the previous
  // one.
  static JobSpecification Job(int tasks, int steps);

 private:
  static constexpr int64_t kStartUnixMs = 1'000'000;

  struct Run {
    MonotonicTime end_time;
    std::string image;
    int64_t target_ms = 0;
    int64_t cpu_limit_percent = 100;
    bool long_running = false;
    int64_t gang_members = 0;  // 0: not in a gang.
    // All members have been present at the same time.
    bool gang_complete = false;
    // The run ends as `alone` then unless the gang is complete before.
    MonotonicTime gang_wait_ends;
    // Another member of the gang has ended; the run ends as `broken` then.
    std::optional<MonotonicTime> gang_breaks;
  };
  struct Worker {
    WorkerRegistration registration;
    int64_t fence = 0;
    int64_t clock_start_ms = 0;
    int64_t lease_until_ms = 0;
    std::map<RunKey, Run> runs;
    std::map<TaskName, uint64_t> highest_finished;
    std::vector<ReportedFinishedRun> finished_runs;
    std::vector<MonotonicTime> finished_at;  // Of each finished run.
    MonotonicTime lease_expired_at;          // The last time.
    int64_t finished_run_count = 0;
    int64_t acknowledged_through = 0;
    bool partitioned = false;
    Cut cut = Cut::kNone;
    std::optional<OrderOutcome> start_rejection;
    bool fails_all = false;
    bool unreadable = false;
    std::optional<MonotonicTime> registers_at;  // After a restart.
    MonotonicTime down_until;  // Refuses connections before this time.
    std::optional<MonotonicTime> crashes_at;
  };
  struct Delivery {
    MonotonicTime time;
    int worker = 0;  // -1: the order is lost and its response is unknown.
    WorkerOrder order;
    int64_t fence = 0;
    MonotonicTime sent;
    bool has_response = true;
    bool response_lost = false;
    // The incarnation to which the order was sent. A connection ends with it.
    int64_t incarnation = 0;
  };

  struct Response {
    WorkerOrder order;
    int64_t fence = 0;
    MonotonicTime sent;
    OrderOutcome outcome = OrderOutcome::kUnknown;
    LeaseRenewalResponse renewal;
  };

  static SubmitJob MakeSubmission(const std::string& id, JobSpecification job);
  void Step();
  void StepDispatcher(Dispatcher* dispatcher);
  void Send(const WorkerOrder& order);
  void RecordDuePlacements();
  void SendHeartbeats();
  // Whether the order, or the response to it, is lost on its way.
  static bool IsOrderLost(const Worker& worker, const WorkerOrder& order);
  static bool IsResponseLost(const Worker& worker, const WorkerOrder& order);
  void RecordEnds(const Dispatcher::FinishedRunBatch& batch);
  void RegisterRestartedWorkers();
  void ScheduleCrash(const TaskName& task, Worker* worker);
  void CrashDueWorkers();
  void AdvanceWorker(Worker* worker);
  void FinishRun(Worker* worker, const RunKey& key, std::string reason);
  // The running members of the gang of `key`, without the run itself.
  std::vector<std::pair<Worker*, RunKey>> OtherMembers(const RunKey& key);
  void JoinGang(const RunKey& key, Run* run);
  // Call after a run in a gang has ended.
  void BreakGangOf(const RunKey& ended);
  void FinishGangOf(const RunKey& done);
  std::pair<OrderOutcome, LeaseRenewalResponse>
  Execute(Worker* worker, const WorkerOrder& order, int64_t fence);
  OrderOutcome StartRun(Worker* worker, const StartOrder& start);
  OrderOutcome StopRun(Worker* worker, const StopOrder& stop);
  LeaseRenewalResponse RenewLease(Worker* worker,
                                  const LeaseRenewalOrder& order);
  void Deliver(const Delivery& delivery);
  void ReadResponses();
  void HandleResponse(const Response& response);
  void NoteListedRuns(const Worker& worker,
                      const LeaseRenewalResponse& response);
  void CheckInvariants();
  // Checks what the runs of the account reserve against its limit.
  void CheckLimit(const std::string& account);
  // Checks that no start of the task followed its last allowed failure, as far
  // as acknowledged failures show.
  void CheckAttempts(const TaskName& task);
  // Checks that a task under which too many workers have crashed does not start
  // over and over.
  void CheckStartsAfterCrashes(const TaskName& task);
  void ObserveAcknowledged(const Worker& worker, int64_t from, int64_t through);
  void RecordViolation(const std::string& violation);
  double Random();
  int64_t ClockOf(const Worker& worker) const;
  int64_t UnixMs() const;

  const Options options_;
  std::mt19937_64 random_;
  MonotonicTime now_;
  QueueState state_;
  std::vector<Worker> workers_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::vector<Delivery> deliveries_;
  std::vector<Response> responses_;  // The leader has not read them.
  MonotonicTime leader_resumes_;
  MonotonicTime placements_resume_;
  MonotonicTime next_heartbeats_;
  bool losses_stopped_ = false;
  // Placements of the current leader that are not durable yet, and when they
  // are.
  std::vector<std::pair<MonotonicTime, Dispatcher::PlacementBatch>>
      unrecorded_placements_;
  // Of the runs of a task: when those that count as failed attempts ended, as
  // far as the leader has acknowledged them, and when the last one started.
  struct Attempts {
    std::multiset<MonotonicTime> acknowledged_failures;
    MonotonicTime last_start;
  };
  std::map<TaskName, Attempts> attempts_;
  // Of a task that crashes its workers: the crashes, and the starts since the
  // limit was reached.
  struct CrashCount {
    int crashes = 0;
    int starts_after_limit = 0;
  };
  std::map<TaskName, CrashCount> crash_counts_;
  std::map<std::string, Milliseconds> crashing_jobs_;
  int crashes_ = 0;
  // Former accounts, and until when starts could be ordered under them.
  std::vector<std::pair<MonotonicTime, std::vector<ClientAccount>>>
      former_accounts_;
  std::set<TaskName> recorded_done_;
  // Tasks with a run that a response listed as done, whose lease had not
  // expired in between.
  std::set<TaskName> listed_done_;
  std::string interfering_image_;
  std::string violation_;
  int starts_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_FAKES_FAKE_POOL_H_
