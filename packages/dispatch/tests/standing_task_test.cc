// What a long-running task that stands still is said to wait for.

#include <optional>
#include <string>
#include <vector>

#include "packages/dispatch/tests/one_worker_fixture.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kLongEnough{30'000};

std::string Describe(const StandingTask& standing) {
  return std::string(StandingReasonName(standing.reason)) +
         (standing.behind ? " " + std::to_string(*standing.behind) : "");
}

// What the task waits for, and the index of the other task; "at work" for none.
std::string Explanation(const Dispatcher& dispatcher,
                        const TaskName& task,
                        MonotonicTime now) {
  for (const StandingTask& standing : dispatcher.FindStandingTasks(now)) {
    if (standing.task == task) {
      return Describe(standing);
    }
  }
  return "at work";
}

JobSpecification LongRunningJob(int tasks) {
  JobSpecification job = FakePool::Job(tasks, 1);
  job.steps[0].long_running = true;
  return job;
}

// Steps without making anything durable.
struct StandingTaskFixture : public OneWorkerFixture {
  std::string ExplanationOf(int64_t index) {
    return Explanation(*dispatcher_, {"job", 0, 0, index}, now_);
  }

  void StepOnly() {
    now_ += Milliseconds(10);
    (void)dispatcher_->Step(state_, now_, kUnixMs);
  }

  void Respond(OrderOutcome outcome) {
    dispatcher_->HandleStartResponse(Address(), {"job", 0, 0, 0}, 1, outcome,
                                     now_);
  }

  void StartTask() {
    SubmitOneLongRunningTask();
    LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(10)).size());
  }

  void Submit(const JobSpecification& specification) {
    SubmitJob job;
    job.id = "job";
    job.queue = "queue";
    job.pool = "pool";
    job.maximum_attempts = 4;
    job.specification = specification;
    Apply(job);
  }
};

// Each of these tests fails when the state of the leader that holds a task is
// taken for another one, so that the log misleads.
TEST_GROUP_BASE(StandingTask, StandingTaskFixture){};

TEST(StandingTask, TaskAtWorkDoesNotStand) {
  StartTask();
  Respond(OrderOutcome::kAccepted);
  STRCMP_EQUAL("at work", ExplanationOf(0).c_str());
}

TEST(StandingTask, WaitsForTheRecordOfItsPlacement) {
  SubmitOneLongRunningTask();
  StepOnly();
  STRCMP_EQUAL("placement_record", ExplanationOf(0).c_str());
}

TEST(StandingTask, WaitsForTheOutcomeOfItsStart) {
  StartTask();
  STRCMP_EQUAL("start_unconfirmed", ExplanationOf(0).c_str());
  Respond(OrderOutcome::kUnknown);
  STRCMP_EQUAL("start_unconfirmed", ExplanationOf(0).c_str());
}

TEST(StandingTask, WaitsForTheEndOfARunThatWasStopped) {
  StartTask();
  Respond(OrderOutcome::kRunTooOld);
  STRCMP_EQUAL("stop_unconfirmed", ExplanationOf(0).c_str());
}

TEST(StandingTask, WaitsForTheLeaseOfASilentWorker) {
  StartTask();
  Respond(OrderOutcome::kAccepted);
  FailRenewal();
  STRCMP_EQUAL("silent_worker", ExplanationOf(0).c_str());
}

TEST(StandingTask, WaitsForTheDelayAfterARejectedStart) {
  StartTask();
  Respond(OrderOutcome::kInvalid);
  STRCMP_EQUAL("delay", ExplanationOf(0).c_str());
}

TEST(StandingTask, WaitsForTheRecordOfACrash) {
  StartTask();
  Respond(OrderOutcome::kAccepted);
  Respond(OrderOutcome::kWrongWorker);
  STRCMP_EQUAL("crash_record", ExplanationOf(0).c_str());
}

TEST(StandingTask, WaitsForRoomAndBehindAnotherTask) {
  SubmitTaskThatFillsTheWorker("full");
  LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(10)).size());
  Submit(LongRunningJob(2));
  StepOnly();
  STRCMP_EQUAL("room", ExplanationOf(0).c_str());
  STRCMP_EQUAL("other_task 0", ExplanationOf(1).c_str());
}

TEST(StandingTask, WaitsForAnotherMemberOfItsGang) {
  FakePool pool({.workers = 2});
  JobSpecification job = LongRunningJob(2);
  job.steps[0].gang = true;
  job.steps[0].maximum_tasks_per_worker = 1;
  pool.Submit("job", job);
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 2; }, kLongEnough));
  pool.SetPartitioned(0, true);
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 1; }, kLongEnough));
  pool.RunFor(Milliseconds(3'000));
  const int64_t other = pool.IsRunning({"job", 0, 0, 0}) ? 0 : 1;
  STRCMP_EQUAL(
      ("gang " + std::to_string(other)).c_str(),
      Explanation(pool.dispatcher(), {"job", 0, 0, 1 - other}, pool.now())
          .c_str());
}

TEST(StandingTask, WaitsForATakeover) {
  FakePool pool({.workers = 2});
  pool.Submit("job", LongRunningJob(1));
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 1; }, kLongEnough));
  pool.SetPartitioned(pool.RunsOn(0) == 1 ? 0 : 1, true);
  pool.ChangeLeader();
  pool.RunFor(Milliseconds(1'000));
  STRCMP_EQUAL(
      "takeover",
      Explanation(pool.dispatcher(), {"job", 0, 0, 0}, pool.now()).c_str());
}

// LOST: fails when a long-running task waits for one that may have crashed the
// worker of both, and that finds no worker.
TEST(StandingTask, DoesNotWaitForTheSuspectOfACrash) {
  FakePool pool({.workers = 3});
  pool.Submit("job", LongRunningJob(2));
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 2; }, kLongEnough));
  pool.RunFor(Milliseconds(1'200));  // The worker lists the runs.
  pool.Crash(pool.RunsOn(0) == 2 ? 0 : pool.RunsOn(1) == 2 ? 1 : 2);
  LONGS_EQUAL(0, pool.RunningTasks());
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 2; },
                      Milliseconds(2'000)));
}

}  // namespace
}  // namespace bramleyrail
