// A task under which a worker has crashed, beside the others of its step.

#include <set>
#include <vector>

#include "packages/dispatch/tests/one_worker_fixture.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kLongEnough{30'000};

struct SuspectedTaskFixture : public OneWorkerFixture {
  const TaskName suspect_{"job", 0, 0, 0};
  const TaskName other_{"job", 0, 0, 1};

  void Submit(const std::string& id, int tasks, bool long_running) {
    SubmitJob job;
    job.id = id;
    job.queue = "queue";
    job.pool = "pool";
    job.maximum_attempts = 4;
    job.specification = FakePool::Job(tasks, 1);
    job.specification.steps[0].long_running = long_running;
    Apply(job);
  }

  std::set<TaskName> StartsAfter(Milliseconds elapsed) {
    std::set<TaskName> started;
    for (const StartOrder& order : Step<StartOrder>(elapsed)) {
      started.insert(order.task);
      runs_[order.task] = order.run;
    }
    return started;
  }

  void Respond(const TaskName& task, OrderOutcome outcome) {
    dispatcher_->HandleStartResponse(Address(), task, runs_[task], outcome,
                                     now_);
  }

  int64_t ClockMs() const {
    return std::chrono::floor<Milliseconds>(now_.time_since_epoch()).count();
  }

  std::map<TaskName, uint64_t> runs_;
};

TEST_GROUP_BASE(SuspectedTask, SuspectedTaskFixture){};

// LOST: fails when a long-running task waits behind a suspected one of its
// step, which needs a worker without recent runs, although it fits itself.
TEST(SuspectedTask, DoesNotHoldTheNextTaskOfItsStep) {
  Submit("job", 2, true);
  LONGS_EQUAL(2, StartsAfter(Milliseconds(10)).size());
  Respond(other_, OrderOutcome::kAccepted);
  // The first task starts so much later that only it can be the cause.
  for (int i = 0; i < 3; ++i) {
    Respond(suspect_, OrderOutcome::kInvalid);
    ListRunning(ClockMs(), {{other_, runs_[other_]}});
    LONGS_EQUAL(1, StartsAfter(Milliseconds(1'050)).size());
  }
  Respond(suspect_, OrderOutcome::kAccepted);
  now_ += Milliseconds(100);
  ListRunning(ClockMs(),
              {{other_, runs_[other_]}, {suspect_, runs_[suspect_]}});
  ++registration_.started_unix_ms;
  Apply(PutWorker{registration_});
  dispatcher_->MarkFinishedRunsDurable(dispatcher_->TakeFinishedRuns().number);
  // An ordinary task comes first, so that the worker has a recent run.
  ListRunning(ClockMs(), {});
  Submit("another", 1, false);
  const std::set<TaskName> started = StartsAfter(Milliseconds(100));
  CHECK(started.contains({"another", 0, 0, 0}));
  CHECK(started.contains(other_));
  CHECK_FALSE(started.contains(suspect_));
}

// LOST: fails when the tasks of a worker that has crashed start again one every
// 3 s, because each could be the cause and no other worker has room.
TEST(SuspectedTask, TasksOfOneCrashStartTogether) {
  FakePool pool({.workers = 2});
  JobSpecification full = FakePool::Job(1, 1);
  full.steps[0].long_running = true;
  full.steps[0].size.processor_millis = 8'000;
  pool.Submit("full", full);
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 1; }, kLongEnough));
  JobSpecification job = FakePool::Job(8, 1);
  job.steps[0].long_running = true;
  pool.Submit("job", job);
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 9; }, kLongEnough));
  pool.RunFor(Milliseconds(1'200));
  pool.Crash(pool.RunsOn(0) == 8 ? 0 : 1);
  // The registration of the worker, the isolation of the first task, and 1 s in
  // which each may wait for a worker of its own.
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 9; },
                      Milliseconds(1'500 + 3'000 + 1'000 + 500)));
}

}  // namespace
}  // namespace bramleyrail
