// Lease renewals, acknowledgements and incarnations of a worker.

#include "packages/dispatch/tests/one_worker_fixture.h"

namespace bramleyrail {
namespace {

TEST_GROUP_BASE(WorkerContact, OneWorkerFixture){};

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
  const auto starts = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, starts.size());
  dispatcher_->HandleStartResponse(Address(), starts.front().task,
                                   starts.front().run, OrderOutcome::kAccepted,
                                   now_);
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

// Fails when a new leader starts a task that is done, because the worker's
// first list was full and the end of the task was behind it.
TEST(WorkerContact, NewLeaderReadsAllFinishedRunsBeforeTasksStartAgain) {
  FakePool pool({.workers = 1});
  pool.Submit("job", FakePool::Job(1, 1));
  Dispatcher dispatcher({}, 2, pool.now());
  dispatcher.Synchronize(pool.state(), pool.now());
  const WorkerAddress worker{
      "w0", pool.state().workers().at("w0").started_unix_ms, "10.0.0.1:80"};
  LeaseRenewalResponse response{.clock_ms = 1};
  for (int64_t number = 1; number <= 500; ++number) {
    response.finished.push_back(
        {number, {{"other", 0, 0, number}, 1, RunOutcome::kDone, ""}, "done"});
  }
  dispatcher.HandleLeaseRenewalResponse(worker, OrderOutcome::kAccepted,
                                        response, pool.now(), pool.now());
  dispatcher.Step(pool.state(), pool.now(), 1);
  LONGS_EQUAL(0, dispatcher.counters().starts);
  response.finished = {
      {501, {{"job", 0, 0, 0}, 1, RunOutcome::kDone, ""}, "done"}};
  dispatcher.HandleLeaseRenewalResponse(worker, OrderOutcome::kAccepted,
                                        response, pool.now(), pool.now());
  dispatcher.Step(pool.state(), pool.now(), 1);
  LONGS_EQUAL(0, dispatcher.counters().starts);
  LONGS_EQUAL(1, dispatcher.counters().runs_completed);
}

// Fails when a run counts as vanished because the entry of its end, or its own,
// cannot be read: the task would run twice.
TEST(WorkerContact, RunMissingInAnIncompleteListStaysActive) {
  SubmitOneTask();
  const auto starts = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, starts.size());
  const RunKey run(starts.front().task, starts.front().run);
  ListRunning(5'010, {run});
  LeaseRenewalResponse response;
  response.clock_ms = 5'050;
  response.finished_complete = false;
  now_ += Milliseconds(50);
  dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                          response, now_, now_);
  CHECK(Step<StartOrder>(Milliseconds(100)).empty());
  ListRunning(5'200, {});
  LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(100)).size());
}

// Fails when a new leader renews the lease of a worker whose lists it cannot
// read completely: a run that it does not see would go on, and its task wait
// for ever or run twice.
TEST(WorkerContact, WorkerWithIncompleteListsGetsNoLeaseFromANewLeader) {
  dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(), 2, now_);
  dispatcher_->Synchronize(state_, now_);
  dispatcher_->ObserveClock("w", kUnixMs, 5'000, now_);
  LeaseRenewalResponse response;
  response.clock_ms = 5'000;
  response.finished_complete = false;
  Step<LeaseRenewalOrder>(Milliseconds(10));
  dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                          response, now_, now_);
  const auto renewals = Step<LeaseRenewalOrder>(Milliseconds(300));
  LONGS_EQUAL(1, renewals.size());
  CHECK(!renewals.front().lease_until_ms);
}

// Fails when a new leader discards the ends that it can read in a list with an
// entry that it cannot read: a task that is done would run again after the
// leases of the worker.
TEST(WorkerContact, EndInAnIncompleteListCountsForANewLeader) {
  SubmitOneTask();
  const auto first = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, first.size());
  AddOtherWorker();
  dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(), 2, now_);
  dispatcher_->Synchronize(state_, now_);
  LeaseRenewalResponse response{.clock_ms = 5'000};
  response.finished_complete = false;
  response.finished.push_back(
      {1,
       {first.front().task, first.front().run, RunOutcome::kDone, ""},
       "done"});
  dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                          response, now_, now_);
  LONGS_EQUAL(1, dispatcher_->counters().runs_completed);
  StepInSilence(Milliseconds(10'000));
  LONGS_EQUAL(0, starts_);
}

// Fails when the end of a run is discarded because it could not be read in an
// earlier list, whose later ends were received: a task that is done would run
// again.
TEST(WorkerContact, EndThatBecomesReadableCounts) {
  SubmitOneTask();
  const auto first = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, first.size());
  const RunKey run(first.front().task, first.front().run);
  ListRunning(5'010, {run});
  LeaseRenewalResponse response{.clock_ms = 5'050};
  response.finished_complete = false;
  response.finished.push_back(
      {2, {{"other", 0, 0, 0}, 1, RunOutcome::kDone, ""}, "done"});
  now_ += Milliseconds(50);
  dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                          response, now_, now_);
  response.finished_complete = true;
  response.finished.insert(
      response.finished.begin(),
      {1, {run.first, run.second, RunOutcome::kDone, ""}, "done"});
  now_ += Milliseconds(50);
  dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                          response, now_, now_);
  LONGS_EQUAL(1, dispatcher_->counters().runs_completed);
  CHECK(Step<StartOrder>(Milliseconds(100)).empty());
}

// Fails when a new leader takes the readable ends of an incomplete list for
// received: an unreadable one before them was dropped later, or discarded by
// the worker, and its done task ran again.
TEST(WorkerContact, EndBeforeThoseThatANewLeaderCouldReadCounts) {
  SubmitOneTask();
  const auto first = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, first.size());
  dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(), 2, now_);
  dispatcher_->Synchronize(state_, now_);
  Step<LeaseRenewalOrder>(Milliseconds(0));
  LeaseRenewalResponse response{.clock_ms = 5'000};
  response.finished_complete = false;
  response.finished.push_back(
      {2, {{"other", 0, 0, 0}, 1, RunOutcome::kDone, ""}, "done"});
  dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                          response, now_, now_);
  dispatcher_->MarkFinishedRunsDurable(dispatcher_->TakeFinishedRuns().number);
  LONGS_EQUAL(0, StepToRenewal(Milliseconds(300)).acknowledged_through);
  response.finished_complete = true;
  response.finished.insert(
      response.finished.begin(),
      {1,
       {first.front().task, first.front().run, RunOutcome::kDone, ""},
       "done"});
  dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                          response, now_, now_);
  LONGS_EQUAL(1, dispatcher_->counters().runs_completed);
  CHECK(Step<StartOrder>(Milliseconds(1'000)).empty());
}

// LOST: fails when a later leader holds a task for a silent worker that has
// refused to start it.
TEST(WorkerContact, RefusedStartLeavesNoRecord) {
  SubmitOneLongRunningTask();
  const auto starts = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, starts.size());
  LONGS_EQUAL(1, state_.recorded_runs().size());
  dispatcher_->HandleStartResponse(Address(), starts.front().task,
                                   starts.front().run, OrderOutcome::kNoRoom,
                                   now_);
  CHECK(Step<StartOrder>(Milliseconds(10)).empty());
  LONGS_EQUAL(0, state_.recorded_runs().size());
}

// Fails in the same way for a run that the worker does not list any more.
TEST(WorkerContact, RunThatIsNotListedLeavesNoRecord) {
  SubmitOneLongRunningTask();
  const auto starts = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, starts.size());
  ListRunning(5'010, {{starts.front().task, starts.front().run}});
  registration_.draining = true;  // The task has no other worker.
  Apply(PutWorker{registration_});
  now_ += Milliseconds(100);
  ListRunning(5'110, {});
  CHECK(Step<StartOrder>(Milliseconds(10)).empty());
  LONGS_EQUAL(0, state_.recorded_runs().size());
}

}  // namespace
}  // namespace bramleyrail
