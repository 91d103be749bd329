// Long-running tasks that wait for room on workers that are full.

#include "packages/dispatch/tests/busy_pool.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

// A long-running task counts as lost when it has not run for 3 s, from 6 s
// after its last run on.
constexpr Milliseconds kMaximumWait{3'000};
constexpr Milliseconds kLongEnough{30'000};

TEST_GROUP(RoomReservation) {
  BusyPool busy_{2};
  FakePool& pool_ = busy_.pool();
  const TaskName large_{"large", 0, 0, 0};

  bool LargeTaskRunsInTime() {
    return busy_.RunUntil([this] { return pool_.IsRunning(large_); },
                          kMaximumWait);
  }
  // Whether small tasks fill the worker at some time.
  bool IsFilled(int worker) {
    return busy_.RunUntil(
        [&] { return pool_.RunsOn(worker) == BusyPool::kSmallTasksPerWorker; },
        4 * BusyPool::kTaskTime);
  }
};

// LOST: fails when small tasks take each part of the room that a large
// long-running task needs as soon as it is free.
TEST(RoomReservation, LargeTaskIsNotOvertakenBySmallOnesWithoutABound) {
  pool_.Submit("large",
               BusyPool::LongRunningJob(BusyPool::kWorkerMillis * 7 / 8));
  CHECK(LargeTaskRunsInTime());
}

// LOST: the same when the worker of the task has gone.
TEST(RoomReservation, LargeTaskOfALostWorkerIsNotOvertaken) {
  pool_.Submit("large",
               BusyPool::LongRunningJob(BusyPool::kWorkerMillis * 7 / 8));
  CHECK(LargeTaskRunsInTime());
  pool_.SetPartitioned(pool_.RunsOn(0) < pool_.RunsOn(1) ? 0 : 1, true);
  CHECK(busy_.RunUntil([this] { return !pool_.IsRunning(large_); },
                       Milliseconds(7'000)));
  // From the end of the lease by the worker's clock to the end by a clock that
  // is 2% slow, and the calls that show its silence.
  busy_.RunFor(Milliseconds(2'600));
  CHECK(LargeTaskRunsInTime());
}

// Fails when a reservation outlives the task that needs it.
TEST(RoomReservation, EndsWithTheJobOfTheTask) {
  pool_.Submit("large",
               BusyPool::LongRunningJob(BusyPool::kWorkerMillis * 7 / 8));
  busy_.RunFor(Milliseconds(700));
  pool_.Apply(CancelQueuedJob{"large"});
  CHECK(IsFilled(0));
  CHECK(IsFilled(1));
}

// Fails when a worker is reserved on which the task will never have room.
TEST(RoomReservation, NeedsAWorkerThatWillHaveRoom) {
  pool_.Submit("large", BusyPool::LongRunningJob(BusyPool::kWorkerMillis * 2));
  busy_.RunFor(Milliseconds(2'000));
  CHECK(IsFilled(0));
  CHECK(IsFilled(1));
}

// Fails when a worker stays reserved although the tasks that have started there
// leave no room for another one of the step.
TEST(RoomReservation, EndsWhenTheNextTaskWillNotFit) {
  JobSpecification job =
      BusyPool::LongRunningJob(BusyPool::kWorkerMillis * 5 / 8);
  job.steps[0].tasks = 3;
  pool_.Submit("large", job);
  CHECK(busy_.RunUntil(
      [this] {
        return pool_.RunsOn(0) >= 1 && pool_.IsRunning(large_) &&
               pool_.IsRunning({"large", 0, 0, 1});
      },
      2 * kMaximumWait));
  // A small task beside the large one on each worker.
  CHECK(busy_.RunUntil(
      [this] { return pool_.RunsOn(0) == 2 && pool_.RunsOn(1) == 2; },
      4 * BusyPool::kTaskTime));
}

// LOST: fails when a long-running task that fits is held off a worker that is
// reserved for a larger one.
TEST(RoomReservation, DoesNotHoldALongRunningTaskThatFits) {
  FakePool pool({.workers = 10, .task_time = Milliseconds(20'000)});
  pool.Submit("full", [] {
    JobSpecification job = BusyPool::LongRunningJob(BusyPool::kWorkerMillis);
    job.steps[0].tasks = 9;
    return job;
  }());
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 9; }, kLongEnough));
  pool.Submit("ordinary", FakePool::Job(2, 1));
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 11; }, kLongEnough));
  pool.Submit("large",
              BusyPool::LongRunningJob(BusyPool::kWorkerMillis * 7 / 8));
  pool.RunFor(Milliseconds(1'500));
  pool.Submit("small", BusyPool::LongRunningJob(BusyPool::kWorkerMillis / 8));
  CHECK(pool.RunUntil(
      [&] {
        return pool.IsRunning({"small", 0, 0, 0});
      },
      kMaximumWait));
}

// Fails when waiting tasks hold ordinary ones off more than a tenth of the
// workers.
TEST(RoomReservation, LeavesMostWorkersToOtherTasks) {
  BusyPool busy(10);
  JobSpecification large =
      BusyPool::LongRunningJob(BusyPool::kWorkerMillis * 7 / 8);
  large.steps[0].tasks = 5;
  busy.pool().Submit("large", large);
  busy.RunFor(Milliseconds(700));
  // Of 36 on nine workers; the others are on their way.
  CHECK(busy.MeanOfRunningTasks(BusyPool::kTaskTime) > 28);
}

}  // namespace
}  // namespace bramleyrail
