#ifndef PACKAGES_DISPATCH_TESTS_LIVENESS_SCENARIO_H_
#define PACKAGES_DISPATCH_TESTS_LIVENESS_SCENARIO_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/fakes/fake_pool.h"
#include "packages/dispatch/tests/liveness_bounds.h"

namespace bramleyrail {

enum class Fault {
  kPartition,
  kCut,
  kHeal,
  kCrash,
  kGone,
  kWithdraw,
  kRegister,
  kTakeovers,
  kLeaderPause,
  kUnreadable,
  kReadable,
  kCutStarts,
  kHealStarts,
  kDrain,
  kPlacementStall,
  kRejectStarts,
  kAcceptStarts,
  kFailAll,
  kFailNone,
  kCapacity,
  kFullCapacity,
  kEvacuate,
  kTakeBack,
  kLongRunningJob,
  kCount,
};
// The lease renewals of all workers go on under this fault and the next ones.
inline constexpr Fault kFirstFaultWithoutSilence = Fault::kCutStarts;

struct LongRunningJob {
  std::string id;
  int64_t tasks;
};

// A pool that small ordinary tasks keep full, beside jobs of large and of small
// long-running tasks and, if asked for, a long-running gang.
class LivenessScenario {
 public:
  struct Options {
    uint64_t seed = 1;
    bool has_gang = false;
    // More ordinary tasks wait than a leader tries in one pass, and their limit
    // for each worker makes it try each of them.
    bool has_many_ordinary_tasks = false;
    // The long-running tasks are those of an account whose limit has just room
    // for all of them, and the ordinary ones those of another.
    bool has_accounts = false;
  };

  explicit LivenessScenario(Options options)
      : options_(options),
        pool_({.workers = kWorkers,
               .seed = options.seed,
               .lose_order = 0.03,
               .delay_order = 0.03,
               .lose_response = 0.03,
               .task_time = kTaskTime,
               .lease = kLease,
               .maximum_delivery_delay = kMaximumDeliveryDelay,
               .heartbeat_interval = kHeartbeatInterval,
               .stamps_commands = true,
               .ends_gangs = true}) {
    if (options_.has_accounts) {
      pool_.SetAccounts({{.name = "long", .limit = {kLongRunningMillis, 0, 0}},
                         {.name = "ordinary", .limit = {40'000, 0, 0}}});
    }
    waiting_jobs_.push_back({"small", kSmallTasks});
    waiting_jobs_.push_back({"large", kLargeTasks});
    if (options_.has_gang) {
      waiting_jobs_.push_back({"gang", kGangTasks});
    }
    RunFor(Milliseconds(200));
    SubmitLongRunning();
    RunFor(Milliseconds(1'500));
  }

  // Applies a fault to the worker, or to the leader, and waits.
  void Apply(Fault fault, int argument) {
    may_be_silent_ = may_be_silent_ || fault < kFirstFaultWithoutSilence;
    const int worker = argument % kWorkers;
    const int variant = argument / kWorkers;
    if (!unavailable_.contains(worker)) {
      ApplyToWorker(fault, worker, variant);
    }
    ApplyToPool(fault, variant);
    RunFor(Milliseconds(20 + variant % 800));
  }

  // Ends all faults, except that workers which are gone or draining stay so.
  void Stop() {
    while (!waiting_jobs_.empty()) {
      SubmitLongRunning();
    }
    pool_.StopLosses();
    pool_.StallPlacements(Milliseconds(0));
    SetEvacuated("east", false);
    SetEvacuated("west", false);
    for (int worker = 0; worker < kWorkers; ++worker) {
      pool_.SetCut(worker, FakePool::Cut::kNone);
      pool_.RejectStarts(worker, std::nullopt);
      pool_.FailAll(worker, false);
      pool_.SetUnreadable(worker, false);
      pool_.SetPartitioned(worker, gone_.contains(worker));
      if (!unavailable_.contains(worker)) {
        // Registers the worker, too.
        pool_.SetCapacity(worker, kCapacity);
      }
    }
  }

  // Call after Stop().
  Milliseconds Bound() const {
    const int tasks = LongRunningTasks();
    const Milliseconds bound = (may_be_silent_ ? kSilence : kOrderTime) +
                               kGangEndTime + tasks * kRoomTime;
    if (crashes_.empty()) {
      return bound;
    }
    const int workers = kWorkers - kMaximumWorkersGone;
    return bound + kRestart + kIsolationWait + tasks * kRoomTime +
           kCrashAttribution *
               ((tasks + SuspectedTasks() + workers - 1) / workers);
  }

  // Submits ordinary tasks meanwhile. Returns early when all long-running tasks
  // are at work.
  bool RunUntilAllAreAtWork(Milliseconds limit) {
    for (const MonotonicTime end = pool_.now() + limit;
         pool_.now() < end && pool_.violation().empty();) {
      RunFor(kSubmissionInterval);
      if (DescribeStandingTasks().empty()) {
        return true;
      }
    }
    return false;
  }

  // Each long-running task that doesn't run on a worker that is available, and
  // what the leader says about it. The leader leaves gangs on a worker that
  // drains.
  std::string DescribeStandingTasks() const {
    std::string description;
    const std::vector<StandingTask> standing =
        pool_.dispatcher().FindStandingTasks(pool_.now());
    for (const LongRunningJob& job : submitted_jobs_) {
      // A job under whose tasks too many workers have crashed has failed.
      if (pool_.Outcome(job.id) == JobOutcome::kFailed) {
        continue;
      }
      for (int64_t index = 0; index < job.tasks; ++index) {
        const TaskName task{job.id, 0, 0, index};
        const auto found = std::find_if(
            standing.begin(), standing.end(),
            [&task](const StandingTask& item) { return item.task == task; });
        const int worker = pool_.WorkerOf(task);
        if (found != standing.end()) {
          absl::StrAppend(&description, Describe(*found), "; ");
        } else if (worker < 0 || gone_.contains(worker) ||
                   (unavailable_.contains(worker) && job.id != "gang")) {
          absl::StrAppend(&description, task.ToString(), " on worker ", worker,
                          ", at work for the leader; ");
        }
      }
    }
    return description;
  }

  const FakePool& pool() const { return pool_; }

 private:
  static std::string Describe(const StandingTask& standing) {
    std::string text = absl::StrCat(
        standing.task.ToString(),
        " stands: ", std::string(StandingReasonName(standing.reason)));
    if (standing.behind) {
      absl::StrAppend(&text, " ", *standing.behind);
    }
    if (!standing.worker.empty()) {
      absl::StrAppend(&text, " on ", standing.worker);
    }
    return text;
  }

  void ApplyToWorker(Fault fault, int worker, int variant) {
    switch (fault) {
      case Fault::kPartition:
        pool_.SetPartitioned(worker, true);
        break;
      case Fault::kCut:
        pool_.SetCut(worker, variant % 2 == 0 ? FakePool::Cut::kOrders
                                              : FakePool::Cut::kResponses);
        break;
      case Fault::kCutStarts:
        pool_.SetCut(worker, variant % 2 == 0 ? FakePool::Cut::kStarts
                                              : FakePool::Cut::kStartResponses);
        break;
      case Fault::kHealStarts:
        pool_.SetCut(worker, FakePool::Cut::kNone);
        break;
      case Fault::kHeal:
        pool_.SetPartitioned(worker, false);
        pool_.SetCut(worker, FakePool::Cut::kNone);
        break;
      case Fault::kCrash:
        Crash(worker, variant % 2 == 0
                          ? Milliseconds(0)
                          : Milliseconds(variant % kMaximumDownTime.count()));
        break;
      case Fault::kGone:
        MakeGone(worker, variant % 2 == 0);
        break;
      case Fault::kDrain:
        Drain(worker);
        break;
      case Fault::kWithdraw:
        pool_.Apply(RemoveWorker{absl::StrCat("w", worker)});
        break;
      case Fault::kRegister:
        pool_.Register(worker);
        break;
      case Fault::kRejectStarts:
        pool_.RejectStarts(worker, variant % 2 == 0 ? OrderOutcome::kUnhealthy
                                                    : OrderOutcome::kInvalid);
        break;
      case Fault::kAcceptStarts:
        pool_.RejectStarts(worker, std::nullopt);
        break;
      case Fault::kFailAll:
      case Fault::kFailNone:
        pool_.FailAll(worker, fault == Fault::kFailAll);
        break;
      case Fault::kUnreadable:
      case Fault::kReadable:
        pool_.SetUnreadable(worker, fault == Fault::kUnreadable);
        break;
      case Fault::kCapacity:
        pool_.SetCapacity(worker, {int64_t{variant} % 8 * 1'000, 64'000, 0});
        break;
      case Fault::kFullCapacity:
        pool_.SetCapacity(worker, kCapacity);
        break;
      default:
        break;
    }
  }

  void ApplyToPool(Fault fault, int variant) {
    switch (fault) {
      case Fault::kTakeovers:
        for (int i = 0; i <= variant % 3; ++i) {
          pool_.ChangeLeader();
          RunFor(Milliseconds(50 + variant % 250));
        }
        break;
      case Fault::kLeaderPause: {
        const Milliseconds time(variant % kMaximumPauseMs);
        pool_.PauseLeader(time);
        RunFor(time);
        break;
      }
      case Fault::kPlacementStall:
        pool_.StallPlacements(Milliseconds(variant % kMaximumPlacementStallMs));
        break;
      case Fault::kEvacuate:
      case Fault::kTakeBack:
        SetEvacuated(variant % 2 == 0 ? "east" : "west",
                     fault == Fault::kEvacuate);
        break;
      case Fault::kLongRunningJob:
        SubmitLongRunning();
        break;
      default:
        break;
    }
  }

  void RunFor(Milliseconds duration) {
    for (const MonotonicTime end = pool_.now() + duration;
         pool_.now() < end && pool_.violation().empty();) {
      SubmitOrdinary();
      pool_.RunFor(kSubmissionInterval);
    }
  }

  void SubmitOrdinary() {
    const size_t maximum = options_.has_many_ordinary_tasks
                               ? kManyWaitingOrdinaryTasks
                               : kWaitingOrdinaryTasks;
    for (size_t waiting = pool_.dispatcher().ready_task_count();
         waiting < maximum; ++waiting) {
      JobSpecification job = FakePool::Job(1, 1);
      job.steps[0].size.processor_millis = kOrdinaryMillis;
      job.steps[0].maximum_tasks_per_worker =
          options_.has_many_ordinary_tasks ? 1 : 0;
      Submit(absl::StrCat("ordinary", ordinary_jobs_++), kOrdinaryObjectiveMs,
             std::move(job));
    }
  }

  void SubmitLongRunning() {
    if (waiting_jobs_.empty()) {
      return;
    }
    submitted_jobs_.push_back(waiting_jobs_.back());
    waiting_jobs_.pop_back();
    const LongRunningJob& added = submitted_jobs_.back();
    JobSpecification job = FakePool::Job(static_cast<int>(added.tasks), 1);
    JobStep& step = job.steps[0];
    step.long_running = true;
    step.gang = added.id == "gang";
    step.size.processor_millis = added.id == "large" ? kLargeMillis
                                 : step.gang         ? kGangMillis
                                                     : kSmallMillis;
    step.maximum_tasks_per_worker = step.gang ? 1 : 0;
    // The job of small tasks is late before its first start.
    Submit(added.id, added.id == "small" ? 0 : kFarObjectiveMs, std::move(job));
  }

  void Submit(const std::string& id,
              int64_t target_latency_ms,
              JobSpecification job) {
    SubmitJob command;
    command.id = id;
    command.queue = "queue";
    command.pool = "pool";
    command.maximum_attempts = 4;
    command.target_latency_ms = target_latency_ms;
    if (options_.has_accounts) {
      command.account = job.steps[0].long_running ? "long" : "ordinary";
    }
    command.specification = std::move(job);
    pool_.Apply(std::move(command));
  }

  void Crash(int worker, Milliseconds down) {
    pool_.Crash(worker, down);
    crashes_.push_back(pool_.now());
  }

  void MakeGone(int worker, bool process_ends) {
    if (unavailable_.size() >= kMaximumWorkersGone) {
      return;
    }
    unavailable_.insert(worker);
    gone_.insert(worker);
    if (process_ends) {
      pool_.Remove(worker);
      crashes_.push_back(pool_.now());
    }
    pool_.SetPartitioned(worker, true);
  }

  void Drain(int worker) {
    if (unavailable_.size() >= kMaximumWorkersGone) {
      return;
    }
    unavailable_.insert(worker);
    pool_.SetDraining(worker);
  }

  void SetEvacuated(const std::string& failure_domain, bool evacuated) {
    bramleyrail::SetEvacuated command;
    command.failure_domain = failure_domain;
    command.evacuated = evacuated;
    pool_.Apply(std::move(command));
  }

  int LongRunningTasks() const {
    int64_t tasks = 0;
    for (const LongRunningJob& job : submitted_jobs_) {
      tasks += job.tasks;
    }
    return static_cast<int>(tasks);
  }

  // Ordinary tasks that wait for a worker which gets one such task at a time:
  // those with a recorded crash, and the runs on workers that have crashed so
  // recently that the leader may not have recorded it.
  int SuspectedTasks() const {
    int64_t suspected = 0;
    for (const auto& [id, job] : pool_.state().jobs()) {
      if (job->outcome != JobOutcome::kOpen) {
        continue;
      }
      for (const auto& [task, progress] : job->progress) {
        suspected += progress.done || progress.crashed_runs.empty() ? 0 : 1;
      }
    }
    suspected +=
        kOrdinaryTasksPerWorker *
        std::count_if(crashes_.begin(), crashes_.end(),
                      [this](MonotonicTime time) {
                        return pool_.now() - time < kSilence + kRestart;
                      });
    return static_cast<int>(suspected);
  }

  const Options options_;
  FakePool pool_;
  std::vector<LongRunningJob> waiting_jobs_;  // Submitted from the end.
  std::vector<LongRunningJob> submitted_jobs_;
  // Workers that are gone or draining.
  std::set<int> unavailable_;
  std::set<int> gone_;
  std::vector<MonotonicTime> crashes_;
  // The lease of a worker may have to end before its tasks start again.
  bool may_be_silent_ = false;
  int ordinary_jobs_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_TESTS_LIVENESS_SCENARIO_H_
