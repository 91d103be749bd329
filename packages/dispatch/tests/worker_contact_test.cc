#include "packages/dispatch/dispatch.h"
#include "packages/dispatch/fakes/fake_pool.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr int64_t kUnixMs = 1'000'000;

// A dispatcher with one worker, whose orders and responses the test handles.
TEST_GROUP(WorkerContact) {
  QueueState state_;
  MonotonicTime now_{std::chrono::hours(1)};
  std::unique_ptr<Dispatcher> dispatcher_;
  WorkerRegistration registration_;
  std::vector<std::pair<MonotonicTime, LeaseRenewalOrder>> open_renewals_;
  size_t starts_ = 0;

  void setup() override {
    QueueConfiguration configuration;
    configuration.version = 1;
    configuration.pools.push_back({.name = "pool"});
    Apply(ReplaceConfiguration{configuration});
    registration_.id = "w";
    registration_.started_unix_ms = kUnixMs;
    registration_.address = "10.0.0.1:80";
    registration_.pool = "pool";
    registration_.failure_domain = "east";
    registration_.capacity = {8'000, 64'000, 0};
    dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(), 1, now_);
    Apply(PutWorker{registration_});
    dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                            {.clock_ms = 5'000}, now_, now_);
  }

  WorkerAddress Address() const {
    return {registration_.id, registration_.started_unix_ms,
            registration_.address};
  }

  void Apply(QueueCommandBody body) {
    state_.Apply({kUnixMs, std::move(body)});
    if (dispatcher_ != nullptr) {
      dispatcher_->Synchronize(state_, now_);
    }
  }

  void SubmitOneTask() {
    SubmitJob job;
    job.id = "job";
    job.queue = "queue";
    job.pool = "pool";
    job.maximum_attempts = 4;
    job.specification = FakePool::Job(1, 1);
    Apply(job);
  }

  // A task that leaves no room for another one.
  void SubmitTaskThatFillsTheWorker(const std::string& id) {
    SubmitJob job;
    job.id = id;
    job.queue = "queue";
    job.pool = "pool";
    job.maximum_attempts = 4;
    job.specification = FakePool::Job(1, 1);
    job.specification.steps[0].size = registration_.capacity;
    Apply(job);
  }

  // Returns the crashes of workers that are to be recorded.
  std::vector<FinishedRun> TakeCrashes() {
    std::vector<FinishedRun> crashes;
    for (const FinishedRun& run :
         dispatcher_->TakeFinishedRuns().finished_runs) {
      if (run.outcome == RunOutcome::kCrashSuspected ||
          run.outcome == RunOutcome::kCrashAttributed) {
        crashes.push_back(run);
      }
    }
    return crashes;
  }

  // The worker lists these runs and nothing else.
  void ListRunning(int64_t clock_ms, const std::vector<RunKey>& runs) {
    LeaseRenewalResponse response;
    response.clock_ms = clock_ms;
    for (const auto& [task, run] : runs) {
      response.running.push_back({task, run, "", 50, std::nullopt});
    }
    dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                            response, now_ - Milliseconds(1),
                                            now_);
  }

  // The worker lists finished runs with these numbers and nothing else.
  void ListFinished(int64_t clock_ms, const std::vector<int64_t>& numbers) {
    LeaseRenewalResponse response;
    response.clock_ms = clock_ms;
    for (const int64_t number : numbers) {
      ReportedFinishedRun finished;
      finished.number = number;
      finished.finished_run.task = {"other", 0, 0, number};
      response.finished.push_back(finished);
    }
    dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                            response, now_, now_);
  }

  void FailRenewal() {
    dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kUnknown,
                                            {}, now_, now_);
  }

  void RespondFrom(const WorkerAddress& worker) {
    dispatcher_->HandleLeaseRenewalResponse(
        worker, OrderOutcome::kAccepted,
        {.clock_ms =
             std::chrono::floor<Milliseconds>(now_.time_since_epoch()).count()},
        now_, now_);
  }

  void AddOtherWorker() {
    WorkerRegistration other = registration_;
    other.id = "other";
    other.address = "10.0.0.2:80";
    Apply(PutWorker{other});
    RespondFrom({other.id, other.started_unix_ms, other.address});
  }

  // Steps for this time. Each lease renewal of the worker ends with the
  // outcome, this long after it was sent. Other workers respond at once.
  void StepInSilence(Milliseconds duration,
                     OrderOutcome outcome = OrderOutcome::kUnknown,
                     Milliseconds call_time = Milliseconds(1'000)) {
    const MonotonicTime end = now_ + duration;
    while (now_ < end) {
      now_ += Milliseconds(10);
      std::erase_if(open_renewals_, [&](const auto& renewal) {
        if (now_ < renewal.first + call_time) {
          return false;
        }
        dispatcher_->HandleLeaseRenewalResponse(Address(), outcome, {},
                                                renewal.first, now_);
        return true;
      });
      for (const WorkerOrder& order :
           dispatcher_->Step(state_, now_, kUnixMs)) {
        starts_ += std::holds_alternative<StartOrder>(order.body) ? 1 : 0;
        const auto* body = std::get_if<LeaseRenewalOrder>(&order.body);
        if (body != nullptr && order.worker.id == "w") {
          open_renewals_.emplace_back(now_, *body);
        } else if (body != nullptr) {
          RespondFrom(order.worker);
        }
      }
    }
  }

  // Starts one task, whose lease is known to have expired 5,512 ms from now.
  void StartOneTask() {
    now_ += Milliseconds(10'000);  // The lease of an earlier leader is over.
    dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                            {.clock_ms = 15'000}, now_, now_);
    SubmitOneTask();
    StepInSilence(Milliseconds(10));
    LONGS_EQUAL(1, starts_);
    dispatcher_->HandleStartResponse(Address(), {"job", 0, 0, 0}, 1,
                                     OrderOutcome::kAccepted, now_);
  }

  // Returns the only lease renewal that is due after the time has passed.
  LeaseRenewalOrder StepToRenewal(Milliseconds elapsed) {
    const std::vector<LeaseRenewalOrder> due = Step<LeaseRenewalOrder>(elapsed);
    LONGS_EQUAL(1, due.size());
    return due.front();
  }

  // Returns the orders of one kind that are due after the time has passed.
  template <typename Order>
  std::vector<Order> Step(Milliseconds elapsed) {
    now_ += elapsed;
    std::vector<Order> found;
    for (const WorkerOrder& order : dispatcher_->Step(state_, now_, kUnixMs)) {
      if (const auto* body = std::get_if<Order>(&order.body)) {
        found.push_back(*body);
      }
    }
    return found;
  }
};

// A restarted worker discarded finished runs by an acknowledgement that was
// meant for its earlier incarnation: a task ran again after its last attempt,
// or after it was done.
TEST(WorkerContact, NothingIsAcknowledgedWithoutContact) {
  Step<LeaseRenewalOrder>(Milliseconds(0));
  ListFinished(5'100, {7});
  dispatcher_->MarkFinishedRunsDurable(dispatcher_->TakeFinishedRuns().number);
  const LeaseRenewalOrder renewal = StepToRenewal(Milliseconds(100));
  LONGS_EQUAL(7, renewal.acknowledged_through);
  FailRenewal();
  const LeaseRenewalOrder next = StepToRenewal(Milliseconds(300));
  LONGS_EQUAL(0, next.acknowledged_through);
  CHECK(!next.lease_until_ms.has_value());
}

// A start that was meant for the earlier incarnation ran on the later one,
// while the task was started again elsewhere.
TEST(WorkerContact, StartThatTheLaterIncarnationMayRunIsStoppedFirst) {
  SubmitOneTask();
  LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(10)).size());
  ++registration_.started_unix_ms;
  Apply(PutWorker{registration_});
  now_ += Milliseconds(10);
  std::vector<StopOrder> stops;
  for (const WorkerOrder& order : dispatcher_->Step(state_, now_, kUnixMs)) {
    CHECK(!std::holds_alternative<StartOrder>(order.body));
    if (const auto* stop = std::get_if<StopOrder>(&order.body)) {
      stops.push_back(*stop);
      LONGS_EQUAL(registration_.started_unix_ms, order.worker.started_unix_ms);
    }
  }
  LONGS_EQUAL(1, stops.size());
  dispatcher_->HandleStopResponse(Address(), stops.front().task,
                                  stops.front().run, OrderOutcome::kAccepted,
                                  now_);
  CHECK(Step<StartOrder>(Milliseconds(10)).empty());
  // The list after the stop shows that the run has ended.
  dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                          {.clock_ms = 100},
                                          now_ - Milliseconds(1), now_);
  // The run may have crashed the earlier incarnation, and that is not durable
  // yet.
  CHECK(Step<StartOrder>(Milliseconds(10)).empty());
  const Dispatcher::FinishedRunBatch batch = dispatcher_->TakeFinishedRuns();
  LONGS_EQUAL(1, batch.finished_runs.size());
  dispatcher_->MarkFinishedRunsDurable(batch.number);
  LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(10)).size());
}

// LIMIT: fails when a run that is being stopped no longer counts against the
// capacity of its worker.
TEST(WorkerContact, RunThatIsBeingStoppedCountsAgainstTheCapacity) {
  SubmitTaskThatFillsTheWorker("first");
  const auto starts = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, starts.size());
  const RunKey run(starts.front().task, starts.front().run);
  ListRunning(5'010, {run});
  Apply(CancelQueuedJob{"first"});
  SubmitTaskThatFillsTheWorker("second");
  LONGS_EQUAL(1, Step<StopOrder>(Milliseconds(10)).size());
  dispatcher_->HandleStopResponse(Address(), run.first, run.second,
                                  OrderOutcome::kAccepted, now_);
  for (int i = 0; i < 10; ++i) {
    CHECK(Step<StartOrder>(Milliseconds(100)).empty());
    ListRunning(5'120 + 100 * i, {run});
  }
  Step<StartOrder>(Milliseconds(100));
  ListRunning(6'200, {});
  LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(100)).size());
}

// LIMIT: a new leader found a run of a job that had ended. It ordered the run
// to stop and did not know how much of the capacity it used, so another task
// started beside it.
TEST(WorkerContact, RunOfAnUnknownJobCountsAgainstTheCapacity) {
  dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(), 2, now_);
  dispatcher_->Synchronize(state_, now_);
  dispatcher_->ObserveClock("w", kUnixMs, 5'000, now_);
  const RunKey run({"ended", 0, 0, 0}, 1);
  ListRunning(5'010, {run});
  SubmitTaskThatFillsTheWorker("next");
  for (int i = 0; i < 10; ++i) {
    CHECK(Step<StartOrder>(Milliseconds(100)).empty());
    ListRunning(5'120 + 100 * i, {run});
  }
  dispatcher_->HandleStopResponse(Address(), run.first, run.second,
                                  OrderOutcome::kAccepted, now_);
  Step<StartOrder>(Milliseconds(100));
  ListRunning(6'200, {});
  LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(100)).size());
}

// Fails when the crash of a worker does not count because its successor at the
// same address has another id.
TEST(WorkerContact, WorkerReplacedAtItsAddressCountsAsCrashed) {
  SubmitOneTask();
  const auto starts = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, starts.size());
  ListRunning(5'010, {{starts.front().task, starts.front().run}});
  WorkerRegistration successor = registration_;
  successor.id = "successor";
  ++successor.started_unix_ms;
  Apply(PutWorker{successor});
  const std::vector<FinishedRun> crashes = TakeCrashes();
  LONGS_EQUAL(1, crashes.size());
  CHECK(crashes.front().outcome == RunOutcome::kCrashAttributed);
}

// Fails when a crash counts only once the worker is back, so that other tasks
// of the step crash further workers in the meantime.
TEST(WorkerContact, WorkerThatRefusesConnectionsCountsAsCrashed) {
  SubmitOneTask();
  const auto starts = Step<StartOrder>(Milliseconds(10));
  ListRunning(5'010, {{starts.front().task, starts.front().run}});
  const auto refuse = [&] {
    dispatcher_->HandleLeaseRenewalResponse(
        Address(), OrderOutcome::kConnectionRefused, {}, now_, now_);
  };
  refuse();
  CHECK(TakeCrashes().empty());
  refuse();
  LONGS_EQUAL(1, TakeCrashes().size());
  refuse();
  ++registration_.started_unix_ms;
  Apply(PutWorker{registration_});
  CHECK(TakeCrashes().empty());
}

// Fails when a worker that announced its end counts as crashed.
TEST(WorkerContact, EndOfADrainingWorkerIsNoCrash) {
  SubmitOneTask();
  const auto starts = Step<StartOrder>(Milliseconds(10));
  ListRunning(5'010, {{starts.front().task, starts.front().run}});
  registration_.draining = true;
  Apply(PutWorker{registration_});
  registration_.draining = false;
  ++registration_.started_unix_ms;
  Apply(PutWorker{registration_});
  CHECK(TakeCrashes().empty());
}

// Fails when the members of a gang on one worker are suspected of each other's
// crash, or when the crash counts for each of them.
TEST(WorkerContact, CrashUnderAGangCountsOnce) {
  SubmitJob job;
  job.id = "job";
  job.pool = "pool";
  job.specification = FakePool::Job(2, 1);
  job.specification.steps[0].gang = true;
  Apply(job);
  std::vector<RunKey> runs;
  for (const StartOrder& start : Step<StartOrder>(Milliseconds(10))) {
    runs.emplace_back(start.task, start.run);
  }
  LONGS_EQUAL(2, runs.size());
  ListRunning(5'010, runs);
  ++registration_.started_unix_ms;
  Apply(PutWorker{registration_});
  const std::vector<FinishedRun> crashes = TakeCrashes();
  LONGS_EQUAL(1, crashes.size());
  LONGS_EQUAL(0, crashes.front().task.index);
  CHECK(crashes.front().outcome == RunOutcome::kCrashAttributed);
}

// Fails when a run that the worker has survived for long is suspected beside a
// recent one.
TEST(WorkerContact, OnlyRecentRunsAreSuspectedOfACrash) {
  SubmitOneTask();
  const auto earlier = Step<StartOrder>(Milliseconds(10));
  const RunKey earlier_run(earlier.front().task, earlier.front().run);
  for (int second = 1; second <= 5; ++second) {
    Step<LeaseRenewalOrder>(Milliseconds(1'000));
    ListRunning(5'010 + second * 1'000, {earlier_run});
  }
  SubmitJob job;
  job.id = "recent";
  job.pool = "pool";
  job.specification = FakePool::Job(1, 1);
  Apply(job);
  const auto recent = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, recent.size());
  ListRunning(10'030, {earlier_run, {recent.front().task, recent.front().run}});
  ++registration_.started_unix_ms;
  Apply(PutWorker{registration_});
  const std::vector<FinishedRun> crashes = TakeCrashes();
  LONGS_EQUAL(1, crashes.size());
  STRCMP_EQUAL("recent", crashes.front().task.job.c_str());
}

// Pattern: all control instances lost and back. The first lists of the workers
// held finished runs, which could not become durable until the quorum was
// repaired; no lease was renewed meanwhile, and 3,380 runs were given up.
TEST(WorkerContact, LeaseIsRenewedWhileFinishedRunsAreNotDurable) {
  StepToRenewal(Milliseconds(0));
  ListFinished(5'100, {1});
  CHECK(dispatcher_->TakeFinishedRuns().number != 0);
  // A worker that still reports the finished run would respond at once.
  CHECK(Step<LeaseRenewalOrder>(Milliseconds(500)).empty());
  const LeaseRenewalOrder next = StepToRenewal(Milliseconds(500));
  CHECK(next.lease_until_ms.has_value());
  LONGS_EQUAL(0, next.acknowledged_through);
}

// An acknowledgement covers all earlier numbers. Fails when it covers a
// finished run that is not durable yet, which the next leader would never
// receive.
TEST(WorkerContact, FinishedRunsAreAcknowledgedInTheirOrder) {
  ListFinished(5'100, {1});
  const uint64_t first_batch = dispatcher_->TakeFinishedRuns().number;
  Step<LeaseRenewalOrder>(Milliseconds(1'000));
  ListFinished(6'100, {1, 2});
  const uint64_t second_batch = dispatcher_->TakeFinishedRuns().number;
  dispatcher_->MarkFinishedRunsDurable(second_batch);
  const LeaseRenewalOrder before = StepToRenewal(Milliseconds(1'000));
  LONGS_EQUAL(0, before.acknowledged_through);
  ListFinished(7'100, {});
  dispatcher_->MarkFinishedRunsDurable(first_batch);
  const LeaseRenewalOrder after = StepToRenewal(Milliseconds(10));
  LONGS_EQUAL(2, after.acknowledged_through);
}

// Fails when a durable batch of an earlier incarnation acknowledges finished
// runs of the later one.
TEST(WorkerContact, BatchOfAnEarlierIncarnationAcknowledgesNothing) {
  ListFinished(5'100, {1});
  const uint64_t batch = dispatcher_->TakeFinishedRuns().number;
  ++registration_.started_unix_ms;
  Apply(PutWorker{registration_});
  ListFinished(100, {1});
  dispatcher_->MarkFinishedRunsDurable(batch);
  const LeaseRenewalOrder renewal = StepToRenewal(Milliseconds(10));
  LONGS_EQUAL(0, renewal.acknowledged_through);
}

// A leader that saw an old clock first granted a lease that ended before the
// one of its predecessor. It counted the worker's runs as lost by its own lease
// and started them elsewhere, while the worker still ran them.
TEST(WorkerContact, LeaseOfTheEarlierLeaderOutlivesAShorterOne) {
  SubmitOneTask();
  WorkerRegistration other = registration_;
  other.id = "other";
  other.address = "10.0.0.2:80";
  Apply(PutWorker{other});
  dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(), 2, now_);
  dispatcher_->Synchronize(state_, now_);
  dispatcher_->ObserveClock("w", kUnixMs, 2'000, now_);  // 3 s old.
  Step<LeaseRenewalOrder>(Milliseconds(0));
  LeaseRenewalResponse list;
  list.clock_ms = 2'000;
  list.running.push_back({{"job", 0, 0, 0}, 1, "", 50, std::nullopt});
  dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                          list, now_, now_);
  const MonotonicTime takeover = now_;
  const auto step_without_contact = [&] {
    dispatcher_->HandleLeaseRenewalResponse(
        {other.id, other.started_unix_ms, other.address},
        OrderOutcome::kAccepted, {.clock_ms = 9'000}, now_, now_);
    FailRenewal();
    return Step<StartOrder>(Milliseconds(100)).size();
  };
  // The lease that this leader granted ends 5.5 s after the takeover, the
  // longest of an earlier leader 6.72 s after it.
  while (now_ < takeover + Milliseconds(6'600)) {
    LONGS_EQUAL(0, step_without_contact());
  }
  size_t starts = 0;
  while (now_ < takeover + Milliseconds(7'000)) {
    starts += step_without_contact();
  }
  LONGS_EQUAL(1, starts);
}

// A leader that lagged judged by its clock before it had read the responses
// that waited for it: a task that was done counted as lost and was started
// again.
TEST(WorkerContact, LaggingLeaderReadsResponsesBeforeRunsCountAsLost) {
  SubmitOneTask();
  const auto starts = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, starts.size());
  const MonotonicTime sent = now_;
  Step<StartOrder>(Milliseconds(8'000));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  ReportedFinishedRun finished;
  finished.number = 1;
  finished.finished_run = {starts.front().task, starts.front().run,
                           RunOutcome::kDone, ""};
  dispatcher_->HandleLeaseRenewalResponse(
      Address(), OrderOutcome::kAccepted,
      {.clock_ms = 6'000, .finished = {finished}}, sent, now_);
  Step<StartOrder>(Milliseconds(200));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  LONGS_EQUAL(1, dispatcher_->counters().runs_completed);
  LONGS_EQUAL(0, dispatcher_->ready_task_count());
}

// A leader that lagged discarded each answer of a sound worker. It started a
// task again after the lease, by its clock alone, although the next answer
// listed the task as done.
TEST(WorkerContact, AnswerAfterTheLeaseKeepsADoneRunFromCountingAsLost) {
  StartOneTask();
  StepInSilence(Milliseconds(5'900));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  ReportedFinishedRun finished;
  finished.number = 1;
  finished.finished_run = {{"job", 0, 0, 0}, 1, RunOutcome::kDone, ""};
  dispatcher_->HandleLeaseRenewalResponse(
      Address(), OrderOutcome::kAccepted,
      {.clock_ms = 20'900, .finished = {finished}}, open_renewals_.back().first,
      now_);
  StepInSilence(Milliseconds(3'000));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  LONGS_EQUAL(1, dispatcher_->counters().runs_completed);
  LONGS_EQUAL(1, starts_);
}

// Fails when the runs of a silent worker wait for an earlier renewal or for the
// pause after a failure, or when the renewal that asks whether they have ended
// extends the lease or makes the worker discard finished runs.
TEST(WorkerContact, ExpiredLeaseIsFollowedByARenewalAtOnce) {
  ListFinished(5'000, {7});
  dispatcher_->MarkFinishedRunsDurable(dispatcher_->TakeFinishedRuns().number);
  StartOneTask();
  StepInSilence(Milliseconds(5'500));
  const MonotonicTime expiry = now_;
  LONGS_EQUAL(1, open_renewals_.size());
  StepInSilence(Milliseconds(30));
  LONGS_EQUAL(2, open_renewals_.size());
  CHECK(open_renewals_.back().first > expiry);
  const LeaseRenewalOrder& renewal = open_renewals_.back().second;
  CHECK(!renewal.lease_until_ms.has_value());
  LONGS_EQUAL(0, renewal.acknowledged_through);
  LONGS_EQUAL(0, renewal.wait.count());
}

// Fails when the runs of a worker that stays silent never count as lost, or
// count as lost by the failure of a renewal that was sent before the end of
// the lease.
TEST(WorkerContact, RunsOfASilentWorkerCountAsLost) {
  StartOneTask();
  StepInSilence(Milliseconds(6'450));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  StepInSilence(Milliseconds(150));
  LONGS_EQUAL(1, dispatcher_->counters().runs_lost);
}

// The loop of the leader was late by more than the time-out of the renewal that
// followed the lease. Fails when the task starts again although the leader had
// no time to read the answer.
TEST(WorkerContact, RenewalThatTimesOutWhileTheLeaderLagsDecidesNothing) {
  StartOneTask();
  StepInSilence(Milliseconds(5'700));
  now_ += Milliseconds(900);
  StepInSilence(Milliseconds(500));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  ReportedFinishedRun finished;
  finished.number = 1;
  finished.finished_run = {{"job", 0, 0, 0}, 1, RunOutcome::kDone, ""};
  dispatcher_->HandleLeaseRenewalResponse(
      Address(), OrderOutcome::kAccepted,
      {.clock_ms = 22'000, .finished = {finished}}, open_renewals_.back().first,
      now_);
  StepInSilence(Milliseconds(3'000));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  LONGS_EQUAL(1, dispatcher_->counters().runs_completed);
  LONGS_EQUAL(1, starts_);
}

// Fails when a leader that always lags never counts the runs of a silent worker
// as lost.
TEST(WorkerContact, LaggingLeaderCountsRunsOfASilentWorkerAsLost) {
  StartOneTask();
  const MonotonicTime start = now_;
  while (now_ < start + Milliseconds(14'000)) {
    now_ += Milliseconds(390);
    StepInSilence(Milliseconds(10));
  }
  LONGS_EQUAL(1, dispatcher_->counters().runs_lost);
}

// Fails when runs count as lost although the worker could not be asked for want
// of a connection, or wait for ever for a connection.
TEST(WorkerContact, RunsCountAsLostAfterRenewalsThatWereNotSent) {
  StartOneTask();
  StepInSilence(Milliseconds(7'000), OrderOutcome::kNotSent);
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  StepInSilence(Milliseconds(1'000), OrderOutcome::kNotSent);
  LONGS_EQUAL(1, dispatcher_->counters().runs_lost);
}

// Fails when a queue of calls that is full for a moment makes runs count as
// lost.
TEST(WorkerContact, RunsAreNotLostByAFewRenewalsThatFailWithoutDelay) {
  StartOneTask();
  StepInSilence(Milliseconds(7'400), OrderOutcome::kNotSent, Milliseconds(0));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  StepInSilence(Milliseconds(600), OrderOutcome::kNotSent, Milliseconds(0));
  LONGS_EQUAL(1, dispatcher_->counters().runs_lost);
}

// Fails when the runs of a worker on whose machine nobody listens wait longer
// than those of a silent one.
TEST(WorkerContact, RefusedRenewalAfterTheLeaseShowsThatRunsAreLost) {
  StartOneTask();
  StepInSilence(Milliseconds(5'500), OrderOutcome::kConnectionRefused,
                Milliseconds(0));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  StepInSilence(Milliseconds(300), OrderOutcome::kConnectionRefused,
                Milliseconds(0));
  LONGS_EQUAL(1, dispatcher_->counters().runs_lost);
}

// A new leader that lagged discarded each answer of a sound worker. Fails when
// it starts the tasks of its predecessor by its clock alone, although the next
// answer lists a task as done.
TEST(WorkerContact, NewLeaderAsksAWorkerWithoutContactAfterTheLease) {
  SubmitOneTask();
  dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(), 2, now_);
  dispatcher_->Synchronize(state_, now_);
  AddOtherWorker();
  // The longest lease of the predecessor ends after 6,720 ms.
  StepInSilence(Milliseconds(7'300));
  LONGS_EQUAL(0, starts_);
  ReportedFinishedRun finished;
  finished.number = 1;
  finished.finished_run = {{"job", 0, 0, 0}, 1, RunOutcome::kDone, ""};
  dispatcher_->HandleLeaseRenewalResponse(
      Address(), OrderOutcome::kAccepted,
      {.clock_ms = 12'300, .finished = {finished}}, now_, now_);
  StepInSilence(Milliseconds(3'000));
  LONGS_EQUAL(0, starts_);
  LONGS_EQUAL(1, dispatcher_->counters().runs_completed);
}

// Fails when the tasks of the predecessor wait for ever for a worker that stays
// silent, or when its withdrawn registration is forgotten before that is known.
TEST(WorkerContact, NewLeaderDoesNotWaitForASilentWorkerForEver) {
  SubmitOneTask();
  dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(), 2, now_);
  dispatcher_->Synchronize(state_, now_);
  StepInSilence(Milliseconds(1'000));
  Apply(RemoveWorker{"w", 0});
  StepInSilence(Milliseconds(6'600));
  LONGS_EQUAL(1, dispatcher_->worker_count());
  StepInSilence(Milliseconds(200));
  LONGS_EQUAL(0, dispatcher_->worker_count());
  AddOtherWorker();
  StepInSilence(Milliseconds(100));
  LONGS_EQUAL(1, starts_);
}

// Fails when a new leader lets the lease of its predecessor expire.
TEST(WorkerContact, FirstLeaseOfALeaderDoesNotWaitForFinishedRuns) {
  dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(), 2, now_);
  dispatcher_->Synchronize(state_, now_);
  const LeaseRenewalOrder first = StepToRenewal(Milliseconds(0));
  CHECK(!first.lease_until_ms.has_value());  // The clock is unknown.
  ListFinished(5'100, {1});
  const LeaseRenewalOrder next = StepToRenewal(Milliseconds(2));
  CHECK(next.lease_until_ms.has_value());
}

// Guards against a start that is sent to a worker which may just be restarting.
TEST(WorkerContact, WorkerWithoutContactGetsNoStart) {
  Step<LeaseRenewalOrder>(Milliseconds(0));
  FailRenewal();
  SubmitOneTask();
  CHECK(Step<StartOrder>(Milliseconds(100)).empty());
}

}  // namespace
}  // namespace bramleyrail
