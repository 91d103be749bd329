// Workers that get no new runs, or reject them, because of earlier failures.

#include <set>
#include <string>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/fakes/fake_pool.h"
#include "packages/dispatch/tests/one_worker_fixture.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kLongEnough{30'000};
// A long-running task counts as lost when it has not run for 3 s.
constexpr Milliseconds kMaximumWait{3'000};
// A start that is rejected is repeated after this time.
constexpr Milliseconds kRejectionPause{1'000};

JobSpecification LongRunningJob(int tasks, int64_t processor_millis) {
  JobSpecification job = FakePool::Job(tasks, 1);
  job.steps[0].long_running = true;
  job.steps[0].size.processor_millis = processor_millis;
  return job;
}

TEST_GROUP_BASE(FailingWorker, OneWorkerFixture){};

// LOST: fails when a long-running task waits for 8 s after the failures of the
// only worker with room have ended.
TEST(FailingWorker, IsTheLastResortOfALongRunningTask) {
  FakePool pool({.workers = 3});
  pool.Submit("full", LongRunningJob(2, 8'000));
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 2; }, kLongEnough));
  for (int worker = 0; worker < 3; ++worker) {
    pool.FailAll(worker, true);
  }
  pool.Submit("failing", FakePool::Job(1, 1));
  CHECK(pool.RunUntil(
      [&] { return pool.Outcome("failing") == JobOutcome::kFailed; },
      kLongEnough));
  pool.Submit("job", LongRunningJob(1, 1'000));
  CHECK(pool.RunUntil(
      [&] {
        return pool.IsRunning({"job", 0, 0, 0});
      },
      kMaximumWait));
}

// Fails when the attempts of an ordinary task are used up on such a worker,
// although another one will have room.
TEST(FailingWorker, GetsNoOrdinaryTask) {
  FakePool pool({.workers = 3});
  pool.Submit("full", LongRunningJob(2, 8'000));
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 2; }, kLongEnough));
  for (int worker = 0; worker < 3; ++worker) {
    pool.FailAll(worker, true);
  }
  pool.Submit("failing", FakePool::Job(1, 1));
  CHECK(pool.RunUntil(
      [&] { return pool.Outcome("failing") == JobOutcome::kFailed; },
      kLongEnough));
  pool.Submit("job", FakePool::Job(1, 1));
  pool.RunFor(kMaximumWait);
  CHECK_FALSE(pool.dispatcher().HasStarted("job"));
}

// Fails when tasks wait because all workers are failing: such failures say
// little about the workers.
TEST(FailingWorker, MostWorkersAreNotAvoidedTogether) {
  FakePool pool({.workers = 2});
  for (int worker = 0; worker < 2; ++worker) {
    pool.FailAll(worker, true);
  }
  for (int job = 0; job < 4; ++job) {
    pool.Submit(absl::StrCat("failing", job), FakePool::Job(1, 1));
  }
  CHECK(pool.RunUntil(
      [&] { return pool.Outcome("failing3") == JobOutcome::kFailed; },
      kLongEnough));
  for (int worker = 0; worker < 2; ++worker) {
    pool.FailAll(worker, false);
  }
  pool.Submit("job", FakePool::Job(1, 1));
  CHECK(pool.RunUntil(
      [&] { return pool.Outcome("job") == JobOutcome::kCompleted; },
      kMaximumWait));
}

// Fails when the workers that are silent for a moment count as failing, so that
// the attempts of an ordinary task are used up on the one that is.
TEST(FailingWorker, SilentWorkersDoNotCountAsFailing) {
  FakePool pool({.workers = 3});
  pool.Submit("full", LongRunningJob(2, 8'000));
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 2; }, kLongEnough));
  for (int worker = 0; worker < 3; ++worker) {
    pool.FailAll(worker, true);
  }
  pool.Submit("failing", FakePool::Job(1, 1));
  CHECK(pool.RunUntil(
      [&] { return pool.Outcome("failing") == JobOutcome::kFailed; },
      kLongEnough));
  for (int worker = 0; worker < 3; ++worker) {
    pool.SetPartitioned(worker, pool.RunsOn(worker) == 1);
  }
  pool.RunFor(Milliseconds(2'100));
  pool.Submit("job", FakePool::Job(1, 1));
  pool.RunFor(Milliseconds(1'000));
  CHECK_FALSE(pool.dispatcher().HasStarted("job"));
}

// LOST: fails when starts that some workers reject for reasons of their own are
// ordered from these workers again and again.
TEST(FailingWorker, RejectedStartIsOrderedFromAnotherWorker) {
  AddOtherWorker("other");
  AddOtherWorker("third");
  SubmitOneLongRunningTask();
  std::set<std::string> rejecting;
  while (rejecting.size() < 3) {
    std::string worker;
    const MonotonicTime end = now_ + 2 * kRejectionPause;
    while (worker.empty() && now_ < end) {
      now_ += Milliseconds(10);
      for (const WorkerOrder& order :
           StepAndRecord(dispatcher_.get(), &state_, now_, kUnixMs)) {
        if (const auto* body = std::get_if<StartOrder>(&order.body)) {
          worker = order.worker.id;
          dispatcher_->HandleStartResponse(order.worker, body->task, body->run,
                                           OrderOutcome::kInvalid, now_);
        } else if (std::holds_alternative<LeaseRenewalOrder>(order.body)) {
          RespondFrom(order.worker);
        }
      }
    }
    CHECK_FALSE(worker.empty());
    CHECK(rejecting.insert(worker).second);
  }
}

}  // namespace
}  // namespace bramleyrail
