// Crashes of a worker under its runs, and its capacity.

#include "packages/dispatch/tests/one_worker_fixture.h"

namespace bramleyrail {
namespace {

TEST_GROUP_BASE(WorkerContact, OneWorkerFixture){};

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

// LOST: a worker that is cut off by resets refuses connections and works on.
// Fails when that counts as a crash, or when the crash does not count, or not
// once, after a later incarnation has shown it.
TEST(WorkerContact, RefusedConnectionsCountAsACrashOnceTheWorkerIsBack) {
  SubmitOneTask();
  const auto starts = Step<StartOrder>(Milliseconds(10));
  ListRunning(5'010, {{starts.front().task, starts.front().run}});
  for (int i = 0; i < 5; ++i) {
    RefuseRenewal();
    CHECK(TakeCrashes().empty());
  }
  ++registration_.started_unix_ms;
  Apply(PutWorker{registration_});
  LONGS_EQUAL(1, TakeCrashes().size());
  RefuseRenewal();
  ++registration_.started_unix_ms;
  Apply(PutWorker{registration_});
  CHECK(TakeCrashes().empty());
}

// BUDGET: while a worker refuses connections, whether its process has ended is
// not known. Fails when the other tasks of a step start meanwhile and may crash
// further workers, or still wait once the worker has responded.
TEST(WorkerContact, RefusedConnectionsHoldTheOtherTasksOfTheStep) {
  // There is room for one task until the other worker registers.
  registration_.capacity = {1'000, 64'000, 0};
  ++registration_.heartbeat_sequence;
  Apply(PutWorker{registration_});
  SubmitJob job;
  job.id = "job";
  job.pool = "pool";
  job.specification = FakePool::Job(2, 1);
  Apply(job);
  const auto starts = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, starts.size());
  const RunKey run(starts.front().task, starts.front().run);
  ListRunning(5'010, {run});
  RefuseRenewal();
  RefuseRenewal();
  AddOtherWorker();
  const WorkerAddress other{"other", registration_.started_unix_ms,
                            "10.0.0.2:80"};
  for (int i = 0; i < 20; ++i) {
    CHECK(Step<StartOrder>(Milliseconds(100)).empty());
    RespondFrom(other);
  }
  ListRunning(7'110, {run});
  LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(100)).size());
  CHECK(TakeCrashes().empty());
}

// Fails when the end of a suspicion that one worker has raised ends the
// isolation of a task under which another worker has crashed.
TEST(WorkerContact, ResponseDoesNotClearATaskOfAnotherCrash) {
  SubmitOneTask();
  const auto first = Step<StartOrder>(Milliseconds(10));
  ListRunning(5'010, {{first.front().task, first.front().run}});
  ++registration_.started_unix_ms;
  Apply(PutWorker{registration_});
  ListRunning(100, {});
  dispatcher_->MarkFinishedRunsDurable(dispatcher_->TakeFinishedRuns().number);
  const auto second = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, second.size());
  const RunKey run(second.front().task, second.front().run);
  ListRunning(110, {run});
  RefuseRenewal();
  RefuseRenewal();
  ListRunning(120, {run});
  // The worker is kept to itself while a suspected task is recent there.
  SubmitJob other;
  other.id = "other";
  other.pool = "pool";
  other.specification = FakePool::Job(1, 1);
  Apply(other);
  CHECK(Step<StartOrder>(Milliseconds(100)).empty());
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

// Fails when a suspected task, which waited in vain for a worker without recent
// runs, keeps other starts off a worker where a crash could not be attributed.
TEST(WorkerContact, SuspectedTaskBesideARecentRunDoesNotCloseTheWorker) {
  SubmitOneTask();
  const auto first = Step<StartOrder>(Milliseconds(10));
  ListRunning(5'010, {{first.front().task, first.front().run}});
  ++registration_.started_unix_ms;
  Apply(PutWorker{registration_});
  ListRunning(100, {});
  const Dispatcher::FinishedRunBatch crashes = dispatcher_->TakeFinishedRuns();
  LONGS_EQUAL(1, crashes.finished_runs.size());
  const auto submit = [this](const std::string& id) {
    SubmitJob job;
    job.id = id;
    job.pool = "pool";
    job.specification = FakePool::Job(1, 1);
    Apply(job);
  };
  submit("recent");
  LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(10)).size());
  dispatcher_->MarkFinishedRunsDurable(crashes.number);
  const RunKey recent({"recent", 0, 0, 0}, 1);
  size_t starts = 0;
  for (int wait = 0; wait < 11; ++wait) {
    starts += Step<StartOrder>(Milliseconds(100)).size();
    ListRunning(200 + 100 * wait, {recent});
  }
  LONGS_EQUAL(1, starts);  // The suspected task.
  submit("next");
  LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(100)).size());
}

// Fails when a task starts again on the worker that crashed under it although
// another one has room, so that both crashes may be due to one machine.
TEST(WorkerContact, TaskAvoidsTheWorkerThatCrashedUnderIt) {
  SubmitOneTask();
  const auto first = Step<StartOrder>(Milliseconds(10));
  ListRunning(5'010, {{first.front().task, first.front().run}});
  WorkerRegistration other = registration_;
  other.id = "x";  // After the first worker in the order of ids.
  other.address = "10.0.0.2:80";
  Apply(PutWorker{other});
  ++registration_.started_unix_ms;
  Apply(PutWorker{registration_});
  ListRunning(100, {});
  RespondFrom({other.id, other.started_unix_ms, other.address});
  dispatcher_->MarkFinishedRunsDurable(dispatcher_->TakeFinishedRuns().number);
  now_ += Milliseconds(10);
  std::vector<std::string> workers;
  for (const WorkerOrder& order : dispatcher_->Step(state_, now_, kUnixMs)) {
    if (std::holds_alternative<StartOrder>(order.body)) {
      workers.push_back(order.worker.id);
    }
  }
  LONGS_EQUAL(1, workers.size());
  STRCMP_EQUAL("x", workers.front().c_str());
}

}  // namespace
}  // namespace bramleyrail
