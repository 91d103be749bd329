#include <algorithm>

#include "packages/dispatch/tests/one_worker_fixture.h"

namespace bramleyrail {
namespace {

// Steps the dispatcher, but leaves it to the test when records are durable.
struct RecordedStartFixture : public OneWorkerFixture {
  size_t CountStarts(const std::vector<WorkerOrder>& orders) {
    return std::count_if(
        orders.begin(), orders.end(), [](const WorkerOrder& order) {
          return std::holds_alternative<StartOrder>(order.body);
        });
  }

  size_t StepWithoutRecord() {
    now_ += Milliseconds(10);
    return CountStarts(dispatcher_->Step(state_, now_, kUnixMs));
  }

  size_t MakeDurable(uint64_t batch) {
    return CountStarts(dispatcher_->MarkPlacementsDurable(batch, now_));
  }

  void SubmitTwoSteps() {
    SubmitJob job;
    job.id = "job";
    job.pool = "pool";
    job.maximum_attempts = 4;
    job.specification = FakePool::Job(1, 2);
    job.specification.steps[1].long_running = true;
    Apply(job);
  }
};

TEST_GROUP_BASE(RecordedStart, RecordedStartFixture){};

// Fails when a start is ordered that a later leader would not know of.
TEST(RecordedStart, StartWaitsForTheRecordOfItsPlacement) {
  SubmitOneLongRunningTask();
  LONGS_EQUAL(0, StepWithoutRecord());
  const auto batch = dispatcher_->TakePlacements();
  CHECK(batch.number != 0);
  LONGS_EQUAL(0, StepWithoutRecord());
  LONGS_EQUAL(1, MakeDurable(batch.number));
}

// ORDER: fails when a task is started while the end of the one that it waited
// for may still be lost with the leader.
TEST(RecordedStart, StartWaitsForTheRecordOfEarlierEnds) {
  SubmitTwoSteps();
  LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(10)).size());
  ReportedFinishedRun done;
  done.number = 1;
  done.finished_run = {{"job", 0, 0, 0}, 1, RunOutcome::kDone, ""};
  dispatcher_->HandleLeaseRenewalResponse(
      Address(), OrderOutcome::kAccepted,
      {.clock_ms = 5'020, .finished = {done}}, now_, now_);
  LONGS_EQUAL(0, StepWithoutRecord());
  const auto ends = dispatcher_->TakeFinishedRuns();
  const auto batch = dispatcher_->TakePlacements();
  LONGS_EQUAL(0, MakeDurable(batch.number));
  dispatcher_->MarkFinishedRunsDurable(ends.number);
  LONGS_EQUAL(1, StepWithoutRecord());
}

// Fails when a start is ordered from a worker that may have been restarted
// while the placement was recorded, or when its task is then forgotten.
TEST(RecordedStart, WorkerThatFellSilentGetsNoStart) {
  SubmitOneLongRunningTask();
  LONGS_EQUAL(0, StepWithoutRecord());
  FailRenewal();
  LONGS_EQUAL(0, MakeDurable(dispatcher_->TakePlacements().number));
  RespondFrom(Address());
  LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(100)).size());
}

// GANG: fails when some members of a gang are started although the worker of
// another one fell silent while the placements were recorded.
TEST(RecordedStart, GangIsNotStartedInPart) {
  AddOtherWorker();
  SubmitJob job;
  job.id = "job";
  job.pool = "pool";
  job.maximum_attempts = 4;
  job.specification = FakePool::Job(2, 1);
  job.specification.steps[0].gang = true;
  job.specification.steps[0].long_running = true;
  job.specification.steps[0].maximum_tasks_per_worker = 1;
  Apply(job);
  LONGS_EQUAL(0, StepWithoutRecord());
  const auto batch = dispatcher_->TakePlacements();
  LONGS_EQUAL(2, batch.command.placements.workers.size());
  FailRenewal();
  LONGS_EQUAL(0, MakeDurable(batch.number));
  RespondFrom(Address());
  LONGS_EQUAL(2, Step<StartOrder>(Milliseconds(100)).size());
}

// TWICE: an order that was meant for an earlier incarnation may grant a later
// one the longest lease that it accepts. Fails when a new leader waits for the
// leases that its predecessors meant to grant only.
TEST(RecordedStart, RunOfARestartedWorkerWaitsForTheLongestLease) {
  ++registration_.started_unix_ms;
  Apply(PutWorker{registration_});
  RespondFrom(Address());
  SubmitOneLongRunningTask();
  LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(100)).size());
  dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(), 2, now_);
  dispatcher_->Synchronize(state_, now_);
  AddOtherWorker();
  // The longest lease and the margin for orders on their way: 7,720 ms. Calls
  // that end early show the silence 0.1 s after that.
  StepInSilence(Milliseconds(7'700), OrderOutcome::kUnknown, Milliseconds(20));
  LONGS_EQUAL(0, starts_);
  StepInSilence(Milliseconds(300), OrderOutcome::kUnknown, Milliseconds(20));
  LONGS_EQUAL(1, starts_);
}

}  // namespace
}  // namespace bramleyrail
