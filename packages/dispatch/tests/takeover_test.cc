#include <random>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/fakes/fake_pool.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kLongEnough{30'000};
constexpr int kTasks = 8;
constexpr int kTasksPerWorker = 2;
// The lease of FakePool by a slow clock, the margin of a takeover, and a call
// that times out.
constexpr Milliseconds kLeaseAndMargins{5'100 + 600 + 1'100};

// Two tasks for each of four workers.
JobSpecification LongRunningJob() {
  JobSpecification job = FakePool::Job(kTasks, 1);
  job.steps[0].long_running = true;
  job.steps[0].maximum_tasks_per_worker = kTasksPerWorker;
  return job;
}

void RunsWithin(FakePool* pool, int tasks, Milliseconds limit) {
  CHECK(pool->RunUntil([&] { return pool->RunningTasks() == tasks; }, limit));
  CHECK_TRUE_TEXT(pool->violation().empty(), pool->violation().c_str());
}

TEST_GROUP(Takeover){};

// LOST: a long-running task stood still although its run had ended, because the
// new leader waited for one silent worker before it started any earlier task.
TEST(Takeover, SilentWorkerHoldsOnlyItsOwnTasks) {
  FakePool pool({.workers = 5});
  pool.Submit("job", LongRunningJob());
  RunsWithin(&pool, kTasks, kLongEnough);
  const int on_silent = pool.RunsOn(0);
  CHECK(on_silent > 0 && on_silent < kTasks);
  pool.PauseLeader(kLongEnough);
  pool.RunFor(Milliseconds(6'000));
  LONGS_EQUAL(0, pool.RunningTasks());  // All leases have lapsed.
  pool.SetPartitioned(0, true);
  pool.ChangeLeader();
  RunsWithin(&pool, kTasks - on_silent, Milliseconds(1'000));
  RunsWithin(&pool, kTasks, kLeaseAndMargins);
}

// Fails when a new leader starts a task that may still run on a silent worker.
TEST(Takeover, TasksOfASilentWorkerWaitForItsLease) {
  FakePool pool({.workers = 5});
  pool.Submit("job", LongRunningJob());
  RunsWithin(&pool, kTasks, kLongEnough);
  pool.SetPartitioned(0, true);
  pool.ChangeLeader();
  pool.RunFor(Milliseconds(4'500));
  LONGS_EQUAL(kTasks, pool.starts());
  pool.RunFor(kLeaseAndMargins);
  LONGS_EQUAL(kTasks, pool.RunningTasks());
  CHECK(pool.starts() > kTasks);
  CHECK_TRUE_TEXT(pool.violation().empty(), pool.violation().c_str());
}

// Fails when a worker that is gone for good holds tasks at each later takeover.
TEST(Takeover, WorkerThatIsGoneHoldsTasksOnce) {
  FakePool pool({.workers = 5});
  pool.Submit("job", LongRunningJob());
  RunsWithin(&pool, kTasks, kLongEnough);
  pool.SetPartitioned(0, true);
  pool.ChangeLeader();
  pool.RunFor(Milliseconds(10'000));
  LONGS_EQUAL(0, pool.RunsOn(0));
  RunsWithin(&pool, kTasks, Milliseconds(0));
  pool.PauseLeader(kLongEnough);
  pool.RunFor(Milliseconds(6'000));
  pool.ChangeLeader();
  RunsWithin(&pool, kTasks, Milliseconds(1'000));
}

// Fails when the tasks of workers that respond stand still from the first of
// several takeovers to the last. Those of a silent one do.
TEST(Takeover, TakeoversInSeriesDoNotAddUp) {
  FakePool pool({.workers = 5});
  pool.Submit("job", LongRunningJob());
  RunsWithin(&pool, kTasks, kLongEnough);
  const int on_silent = pool.RunsOn(0);
  pool.SetPartitioned(0, true);
  for (int i = 0; i < 4; ++i) {
    pool.ChangeLeader();
    pool.RunFor(Milliseconds(3'000));
    CHECK(pool.RunningTasks() >= kTasks - on_silent);
  }
  CHECK_TRUE_TEXT(pool.violation().empty(), pool.violation().c_str());
}

// A withdrawal of an earlier incarnation may arrive late. Fails when a new
// leader takes a worker that is missing in the registry for one that has ended.
TEST(Takeover, TasksOfAWithdrawnWorkerWaitForItsLease) {
  FakePool pool({.workers = 5});
  pool.Submit("job", LongRunningJob());
  RunsWithin(&pool, kTasks, kLongEnough);
  CHECK(pool.RunsOn(0) > 0);
  pool.SetPartitioned(0, true);
  pool.Apply(RemoveWorker{"w0", 0});
  pool.ChangeLeader();
  pool.RunFor(Milliseconds(4'500));
  LONGS_EQUAL(kTasks, pool.starts());
  pool.RunFor(kLeaseAndMargins);
  RunsWithin(&pool, kTasks, Milliseconds(0));
}

// TWICE: a worker whose withdrawal was not acknowledged goes on working. Fails
// when it counts as ended because it is cut off by resets.
TEST(Takeover, WithdrawnWorkerThatRefusesConnectionsMayGoOnWorking) {
  for (const bool changes_leader : {false, true}) {
    FakePool pool({.workers = 3, .task_time = Milliseconds(20'000)});
    pool.Submit("job", FakePool::Job(1, 1));
    CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 1; },
                        Milliseconds(5'000)));
    pool.RunFor(Milliseconds(2'000));
    const int worker = pool.WorkerOf({"job", 0, 0, 0});
    pool.SetDraining(worker);
    pool.Apply(RemoveWorker{absl::StrCat("w", worker), 0});
    pool.SetCut(worker, FakePool::Cut::kReset);
    if (changes_leader) {
      pool.ChangeLeader();
    }
    const bool ended = pool.RunUntil(
        [&] { return pool.Outcome("job") == JobOutcome::kCompleted; },
        Milliseconds(60'000));
    CHECK_TRUE_TEXT(pool.violation().empty(), pool.violation().c_str());
    CHECK(ended);
  }
}

// TWICE: an executor that had sent its withdrawal and got no acknowledgement
// went on working, and the next leader started its task elsewhere. Fails when a
// new leader takes a worker for gone whose lease may not have expired.
TEST(Takeover, WithdrawnWorkerMayGoOnWorking) {
  for (const bool long_running : {false, true}) {
    for (const bool draining : {false, true}) {
      for (const bool partitioned : {false, true}) {
        for (const int takeovers : {1, 2, 3}) {
          FakePool pool({.workers = 5, .task_time = Milliseconds(6'800)});
          pool.Submit("job", long_running ? LongRunningJob()
                                          : FakePool::Job(kTasks, 1));
          RunsWithin(&pool, kTasks, kLongEnough);
          const int on_withdrawn = pool.RunsOn(0);
          CHECK(on_withdrawn > 0);
          pool.SetPartitioned(0, partitioned);
          if (draining) {
            pool.SetDraining(0);
          }
          pool.Apply(RemoveWorker{"w0", 0});
          for (int i = 0; i < takeovers; ++i) {
            pool.ChangeLeader();
            pool.RunFor(Milliseconds(300));
          }
          LONGS_EQUAL(0, pool.starts() - kTasks);
          pool.RunFor(Milliseconds(20'000));
          CHECK_TRUE_TEXT(pool.violation().empty(), pool.violation().c_str());
          if (long_running) {
            RunsWithin(&pool, kTasks, Milliseconds(0));
            LONGS_EQUAL(0, pool.RunsOn(0));
          } else {
            CHECK(pool.Outcome("job") == JobOutcome::kCompleted);
          }
        }
      }
    }
  }
}

// Fails when a worker that was withdrawn without runs holds tasks at the next
// takeover, or one with runs whose process has ended holds them for longer than
// its lease: that its connections are refused does not show the end.
TEST(Takeover, WithdrawnWorkerThatRunsNothingIsForgotten) {
  FakePool pool({.workers = 5});
  pool.RunFor(Milliseconds(1'000));
  pool.Apply(RemoveWorker{"w0", 0});
  pool.RunFor(Milliseconds(100));
  CHECK(pool.state().withdrawn_workers().empty());
  pool.SetPartitioned(0, true);
  pool.Submit("job", FakePool::Job(kTasks, 1));
  RunsWithin(&pool, kTasks, kLongEnough);
  pool.Remove(1);
  pool.Apply(RemoveWorker{"w1", 0});
  pool.ChangeLeader();
  pool.RunFor(kLeaseAndMargins);
  CHECK(pool.state().withdrawn_workers().empty());
  pool.RunFor(Milliseconds(1'500));
  CHECK(pool.Outcome("job") == JobOutcome::kCompleted);
}

// The same with any series of withdrawals, returns, crashes, cut-off workers
// and takeovers.
TEST(Takeover, NoSeriesOfWithdrawalsRunsATaskTwice) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    FakePool pool({.workers = 5,
                   .seed = seed,
                   .lose_response = 0.05,
                   .task_time = Milliseconds(3'000)});
    std::mt19937_64 random(seed);
    const auto below = [&random](uint64_t limit) {
      return static_cast<int>(random() % limit);
    };
    pool.Submit("lasting", LongRunningJob());
    for (int round = 0; round < 40; ++round) {
      const int worker = below(5);
      const std::string id = absl::StrCat("w", worker);
      switch (below(7)) {
        case 0:
        case 1:
          pool.Apply(RemoveWorker{id, 0});
          break;
        case 2:
        case 3:
          pool.ChangeLeader();
          break;
        case 4:
          pool.SetPartitioned(worker, below(2) == 0);
          break;
        case 5:
          pool.Crash(worker, Milliseconds(below(3'000)));
          break;
        default:
          pool.Submit(absl::StrCat("job-", round), FakePool::Job(3, 2));
          break;
      }
      // A worker that was withdrawn by a delayed order registers again.
      if (below(3) == 0) {
        pool.Register(worker);
      }
      pool.RunFor(Milliseconds(below(1'500)));
      CHECK_TRUE_TEXT(pool.violation().empty(),
                      absl::StrCat(seed, ": ", pool.violation()).c_str());
    }
  }
}

// Jobs of a leader of an earlier version have no records. Fails when the tasks
// of such a job start before all workers have been heard.
TEST(Takeover, TasksWithoutRecordsWaitForEveryWorker) {
  FakePool pool({.workers = 5, .records_placements = false});
  pool.Submit("job", LongRunningJob());
  RunsWithin(&pool, kTasks, kLongEnough);
  const int on_silent = pool.RunsOn(0);
  CHECK(on_silent > 0);
  pool.SetPartitioned(0, true);
  pool.ChangeLeader();
  pool.RunFor(Milliseconds(4'500));
  LONGS_EQUAL(kTasks, pool.starts());
  pool.RunFor(kLeaseAndMargins);
  LONGS_EQUAL(kTasks + on_silent, pool.starts());
  CHECK_TRUE_TEXT(pool.violation().empty(), pool.violation().c_str());
}

}  // namespace
}  // namespace bramleyrail
