// What limits the reservations of workers for long-running tasks.

#include "packages/dispatch/tests/busy_pool.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kLongEnough{30'000};
// A long-running task counts as lost when it has not run for 3 s.
constexpr Milliseconds kMaximumWait{3'000};
constexpr Milliseconds kMeasuredTime{4'000};
constexpr int64_t kLargeMillis = BusyPool::kWorkerMillis * 7 / 8;

// How many small tasks two workers run at a time while nothing is reserved: all
// but those that are on their way. A reserved worker is emptied.
constexpr double kUnreservedTasks =
    2 * BusyPool::kSmallTasksPerWorker * 28.0 / 36;

TEST_GROUP(ReservationLimits){};

// Fails when a worker is reserved for a task whose label it lacks.
TEST(ReservationLimits, WorkerNeedsTheLabelOfTheTask) {
  BusyPool busy(2);
  JobSpecification job = BusyPool::LongRunningJob(kLargeMillis);
  job.steps[0].required_label = "missing";
  busy.pool().Submit("large", job);
  busy.RunFor(Milliseconds(700));
  CHECK(busy.MeanOfRunningTasks(kMeasuredTime) > kUnreservedTasks);
}

// Fails when a worker is reserved that already has as many tasks of the step as
// it may have.
TEST(ReservationLimits, WorkerNeedsToBeBelowTheTaskLimit) {
  BusyPool busy(2);
  JobSpecification job = BusyPool::LongRunningJob(BusyPool::kWorkerMillis / 2);
  job.steps[0].tasks = 3;
  job.steps[0].maximum_tasks_per_worker = 1;
  busy.pool().Submit("limited", job);
  CHECK(busy.RunUntil(
      [&] {
        return busy.pool().IsRunning({"limited", 0, 0, 0}) &&
               busy.pool().IsRunning({"limited", 0, 0, 1});
      },
      2 * kMaximumWait));
  busy.RunFor(Milliseconds(700));
  // Half of the room is left to small tasks.
  CHECK(busy.MeanOfRunningTasks(kMeasuredTime) > 2 + kUnreservedTasks / 2);
}

// LOST: fails when the reservation of a worker that has fallen silent keeps the
// step from a reservation of another one.
TEST(ReservationLimits, ReservationEndsWhenTheWorkerIsSilent) {
  for (const int silent : {0, 1}) {
    BusyPool busy(2);
    busy.pool().Submit("large", BusyPool::LongRunningJob(kLargeMillis));
    busy.RunFor(Milliseconds(600));
    busy.pool().SetPartitioned(silent, true);
    CHECK(busy.RunUntil(
        [&] {
          return busy.pool().IsRunning({"large", 0, 0, 0});
        },
        kMaximumWait));
  }
}

// Fails when the reservations of several steps together take more workers of a
// pool from the ordinary tasks than those of one may.
TEST(ReservationLimits, StepsShareTheReservationsOfAPool) {
  BusyPool busy(10);
  for (const char* id : {"first", "second", "third", "fourth"}) {
    JobSpecification job = BusyPool::LongRunningJob(kLargeMillis);
    job.steps[0].tasks = 2;
    busy.pool().Submit(id, job);
  }
  busy.RunFor(Milliseconds(700));
  // Of 36 on nine workers; the others are on their way.
  CHECK(busy.MeanOfRunningTasks(BusyPool::kTaskTime) > 28);
}

// LOST: fails when a task that has a failing worker as its last resort starts
// there although a reserved worker is about to have room.
TEST(ReservationLimits, ReservedWorkerIsPreferredToAFailingOne) {
  BusyPool busy(3);
  for (int worker = 0; worker < 3; ++worker) {
    busy.pool().FailAll(worker, worker == 0);
  }
  busy.RunFor(Milliseconds(1'000));
  busy.pool().Submit("large", BusyPool::LongRunningJob(kLargeMillis));
  CHECK(busy.RunUntil(
      [&] {
        return busy.pool().IsRunning({"large", 0, 0, 0});
      },
      kMaximumWait));
  CHECK(busy.pool().WorkerOf({"large", 0, 0, 0}) != 0);
}

}  // namespace
}  // namespace bramleyrail
