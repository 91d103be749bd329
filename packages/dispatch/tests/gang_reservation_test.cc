// Reservations of workers for long-running gangs that wait for room.

#include "packages/dispatch/tests/busy_pool.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

// A long-running task counts as lost when it has not run for 3 s.
constexpr Milliseconds kMaximumWait{3'000};
constexpr Milliseconds kMeasuredTime{4'000};
constexpr int64_t kLargeMillis = BusyPool::kWorkerMillis * 7 / 8;
constexpr int64_t kHalfWorker = BusyPool::kWorkerMillis / 2;

JobSpecification Gang(int64_t members, int64_t processor_millis) {
  JobSpecification job = BusyPool::LongRunningJob(processor_millis);
  job.steps[0].tasks = members;
  job.steps[0].gang = true;
  return job;
}

JobSpecification GangOnSeparateWorkers(int64_t members,
                                       int64_t processor_millis) {
  JobSpecification job = Gang(members, processor_millis);
  job.steps[0].maximum_tasks_per_worker = 1;
  return job;
}

bool Runs(const FakePool& pool, const std::string& id, int64_t members) {
  for (int64_t index = 0; index < members; ++index) {
    if (!pool.IsRunning({id, 0, 0, index})) {
      return false;
    }
  }
  return true;
}

bool RunsWithin(BusyPool* busy,
                const std::string& id,
                int64_t members,
                Milliseconds limit = kMaximumWait) {
  return busy->RunUntil([&] { return Runs(busy->pool(), id, members); }, limit);
}

// Whether small tasks fill the room of this many on the worker at some time.
bool IsFilled(BusyPool* busy, int worker, int runs) {
  return busy->RunUntil([&] { return busy->pool().RunsOn(worker) == runs; },
                        4 * BusyPool::kTaskTime);
}

TEST_GROUP(GangReservation){};

// LOST: fails when small tasks take each part of the room that a long-running
// gang needs as soon as it is free.
TEST(GangReservation, GangIsNotOvertakenBySmallTasks) {
  BusyPool busy(4);
  busy.pool().Submit("gang", Gang(2, kLargeMillis));
  CHECK(RunsWithin(&busy, "gang", 2));
}

// LOST: fails when a gang gets no more workers than the share of the pool that
// single tasks may have.
TEST(GangReservation, GangMayNeedAllWorkers) {
  BusyPool busy(4);
  busy.pool().Submit("gang", Gang(4, kLargeMillis));
  CHECK(RunsWithin(&busy, "gang", 4));
}

// LOST: fails when each member needs a worker of its own to be reserved.
TEST(GangReservation, MembersMayShareAWorker) {
  BusyPool busy(2);
  busy.pool().Submit("gang", Gang(4, kHalfWorker));
  CHECK(RunsWithin(&busy, "gang", 4));
}

// LOST: fails when fewer workers are reserved than the task limit requires.
TEST(GangReservation, MembersMayNeedSeparateWorkers) {
  BusyPool busy(4);
  busy.pool().Submit("gang", GangOnSeparateWorkers(4, kHalfWorker));
  CHECK(RunsWithin(&busy, "gang", 4));
}

// LOST: fails when workers are reserved that lack the label of the gang.
TEST(GangReservation, MembersNeedTheirLabel) {
  BusyPool busy(4);
  JobSpecification job = Gang(2, kLargeMillis);
  job.steps[0].required_label = "rack-1";
  busy.pool().Submit("gang", job);
  CHECK(RunsWithin(&busy, "gang", 2));
}

// LOST: fails when each of two gangs holds a part of the workers that the other
// one needs, so that neither gets all of its own.
TEST(GangReservation, GangsDoNotHoldPartsOfEachOthersRoom) {
  BusyPool busy(4);
  busy.pool().Submit("first", GangOnSeparateWorkers(3, kHalfWorker));
  busy.pool().Submit("second", GangOnSeparateWorkers(3, kHalfWorker));
  CHECK(busy.RunUntil(
      [&] {
        return Runs(busy.pool(), "first", 3) && Runs(busy.pool(), "second", 3);
      },
      2 * kMaximumWait));
}

// LOST: fails when a gang and a single task hold parts of the room that each
// other needs.
TEST(GangReservation, GangAndSingleTaskDoNotHoldEachOthersRoom) {
  BusyPool busy(4);
  busy.pool().Submit("gang", GangOnSeparateWorkers(4, kHalfWorker));
  busy.pool().Submit("single", BusyPool::LongRunningJob(kHalfWorker));
  CHECK(busy.RunUntil(
      [&] {
        return Runs(busy.pool(), "gang", 4) && Runs(busy.pool(), "single", 1);
      },
      2 * kMaximumWait));
}

// LOST: fails when the reservation of a worker that has fallen silent keeps the
// gang from a reservation of others.
TEST(GangReservation, EndsWhenAWorkerIsSilent) {
  for (int silent = 0; silent < 4; ++silent) {
    BusyPool busy(4);
    busy.pool().Submit("gang", Gang(2, kLargeMillis));
    busy.RunFor(Milliseconds(600));
    busy.pool().SetPartitioned(silent, true);
    CHECK(RunsWithin(&busy, "gang", 2));
  }
}

// Fails when workers stay reserved after the gang has started.
TEST(GangReservation, EndsWhenTheGangStarts) {
  BusyPool busy(2);
  busy.pool().Submit("gang", GangOnSeparateWorkers(2, kHalfWorker));
  CHECK(RunsWithin(&busy, "gang", 2));
  CHECK(IsFilled(&busy, 0, 1 + BusyPool::kSmallTasksPerWorker / 2));
  CHECK(IsFilled(&busy, 1, 1 + BusyPool::kSmallTasksPerWorker / 2));
}

// Fails when workers stay reserved for a gang whose job was cancelled before
// it could start.
TEST(GangReservation, EndsWithTheJob) {
  BusyPool busy(2);
  busy.pool().Submit("gang", Gang(2, kLargeMillis));
  busy.RunFor(Milliseconds(850));
  CHECK(!Runs(busy.pool(), "gang", 1));
  CHECK(busy.pool().RunningTasks() <= BusyPool::kSmallTasksPerWorker);
  busy.pool().Apply(CancelQueuedJob{"gang"});
  CHECK(IsFilled(&busy, 0, BusyPool::kSmallTasksPerWorker));
  CHECK(IsFilled(&busy, 1, BusyPool::kSmallTasksPerWorker));
}

// Fails when workers are reserved for a part of a gang that will never fit as a
// whole.
TEST(GangReservation, NeedsWorkersThatWillHaveRoomForAllMembers) {
  BusyPool busy(2);
  busy.pool().Submit("gang", GangOnSeparateWorkers(3, kHalfWorker));
  busy.RunFor(Milliseconds(700));
  // All but those that are on their way.
  CHECK(busy.MeanOfRunningTasks(kMeasuredTime) >
        2 * BusyPool::kSmallTasksPerWorker * 28.0 / 36);
}

// Fails when several gangs at a time take workers of a pool from the ordinary
// tasks.
TEST(GangReservation, OneGangOfAPoolAtATime) {
  BusyPool busy(10);
  for (const char* id : {"first", "second", "third", "fourth"}) {
    busy.pool().Submit(id, Gang(2, kLargeMillis));
  }
  busy.RunFor(Milliseconds(700));
  // Of 32 on eight workers; the others are on their way.
  CHECK(busy.MeanOfRunningTasks(BusyPool::kTaskTime) > 32 * 28.0 / 36);
}

}  // namespace
}  // namespace bramleyrail
