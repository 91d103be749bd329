// Tasks that crash the workers which start them.

#include <rapidcheck.h>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/fakes/fake_pool.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

// The worker is back before the lease of its earlier incarnation ends.
constexpr Milliseconds kShortDownTime{1'500};
// The runs count as lost before the worker is back.
constexpr Milliseconds kLongDownTime{9'000};
constexpr Milliseconds kLongEnough{60'000};

void CheckNoViolation(const FakePool& pool) {
  CHECK_TRUE_TEXT(pool.violation().empty(), pool.violation().c_str());
}

bool Fails(FakePool* pool, const std::string& job) {
  return pool->RunUntil(
      [&] { return pool->Outcome(job) == JobOutcome::kFailed; }, kLongEnough);
}

bool Completes(FakePool* pool, const std::string& job) {
  return pool->RunUntil(
      [&] { return pool->Outcome(job) == JobOutcome::kCompleted; },
      kLongEnough);
}

TEST_GROUP(WorkerCrash){};

// Fails when a task that crashes its worker starts on one worker after another.
TEST(WorkerCrash, TaskThatCrashesItsWorkersIsGivenUp) {
  FakePool pool({.workers = 8});
  pool.CrashWorkersOf("crashing", kShortDownTime);
  pool.Submit("crashing", FakePool::Job(1, 1));
  CHECK(Fails(&pool, "crashing"));
  CHECK(pool.crashes() >= 2);
  CHECK(pool.crashes() <= 3);
  CheckNoViolation(pool);
}

// Fails when a crash does not count because the lease of the worker ended
// before it was back, so that the run already counted as lost.
TEST(WorkerCrash, CrashCountsAfterTheRunWasLost) {
  FakePool pool({.workers = 8});
  pool.CrashWorkersOf("crashing", kLongDownTime);
  pool.Submit("crashing", FakePool::Job(1, 1));
  CHECK(Fails(&pool, "crashing"));
  CHECK(pool.crashes() <= 4);
  CheckNoViolation(pool);
}

// Fails when a worker that was only unreachable for longer than its lease
// counts as crashed.
TEST(WorkerCrash, SilentWorkerDoesNotCountAsCrashed) {
  FakePool pool({.workers = 2, .task_time = Milliseconds(12'000)});
  pool.Submit("job", FakePool::Job(2, 1));
  for (int i = 0; i < 3; ++i) {
    CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 2; }, kLongEnough));
    pool.SetPartitioned(i % 2, true);
    pool.RunFor(Milliseconds(8'000));
    pool.SetPartitioned(i % 2, false);
  }
  CHECK(Completes(&pool, "job"));
  CheckNoViolation(pool);
}

// LOST: jobs were given up after a series of cuts in which the connections of
// workers were reset, although no worker had crashed.
TEST(WorkerCrash, CutsWithResetsDoNotCountAsCrashes) {
  CHECK(rc::check("cuts", [] {
    FakePool pool({.workers = 6,
                   .seed = *rc::gen::arbitrary<uint64_t>(),
                   .lose_order = 0.02,
                   .task_time = Milliseconds(2'500)});
    JobSpecification serving = FakePool::Job(3, 1);
    serving.steps[0].long_running = true;
    pool.Submit("serving", serving);
    const auto cuts =
        *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(500, 9'000));
    for (size_t i = 0; i < cuts.size(); ++i) {
      pool.Submit(absl::StrCat("job", i), FakePool::Job(3, 2));
      pool.RunFor(Milliseconds(500));
      const int worker = static_cast<int>(i) % 6;
      pool.SetCut(worker, FakePool::Cut::kReset);
      pool.RunFor(Milliseconds(cuts[i]));
      pool.SetCut(worker, FakePool::Cut::kNone);
    }
    for (size_t i = 0; i < cuts.size(); ++i) {
      RC_ASSERT(Completes(&pool, absl::StrCat("job", i)));
    }
    RC_ASSERT(pool.Outcome("serving") == JobOutcome::kOpen);
    RC_ASSERT(pool.crashes() == 0);
    RC_ASSERT(pool.violation() == "");
  }));
}

// LOST: the same for a job whose only task is cut off twice after its start.
TEST(WorkerCrash, JobSurvivesTwoCutsWithResetsUnderItsTask) {
  FakePool pool({.workers = 4, .task_time = Milliseconds(20'000)});
  pool.Submit("job", FakePool::Job(1, 1));
  for (int cut = 0; cut < 2; ++cut) {
    CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 1; }, kLongEnough));
    pool.RunFor(Milliseconds(1'000));
    const int worker = pool.WorkerOf({"job", 0, 0, 0});
    pool.SetCut(worker, FakePool::Cut::kReset);
    pool.RunFor(Milliseconds(6'000));
    pool.SetCut(worker, FakePool::Cut::kNone);
  }
  CHECK(Completes(&pool, "job"));
  CheckNoViolation(pool);
}

// BUDGET: a leader that refused connections had made suspicious is lost before
// the worker is back. Fails when its successor does not count the crash,
// whether it takes over before the worker registers again or after.
TEST(WorkerCrash, SuccessorCountsACrashThatWasOnlySuspected) {
  for (const Milliseconds takeover :
       {Milliseconds(1'500), Milliseconds(4'000), Milliseconds(9'000)}) {
    FakePool pool({.workers = 8});
    pool.CrashWorkersOf("crashing", Milliseconds(3'000));
    pool.Submit("crashing", FakePool::Job(1, 1));
    while (pool.Outcome("crashing") == JobOutcome::kOpen &&
           pool.crashes() < 6) {
      const int crashes = pool.crashes();
      CHECK(pool.RunUntil(
          [&] {
            return pool.crashes() > crashes ||
                   pool.Outcome("crashing") != JobOutcome::kOpen;
          },
          kLongEnough));
      pool.RunFor(Milliseconds(1'500));
      if (takeover > Milliseconds(3'000)) {
        // Nobody leads while the worker returns.
        pool.PauseLeader(takeover);
        pool.RunFor(takeover);
      }
      pool.ChangeLeader();
    }
    CHECK(pool.Outcome("crashing") == JobOutcome::kFailed);
    CHECK(pool.crashes() <= 3);
    CheckNoViolation(pool);
  }
}

// LOST: fails when a successor counts a suspicion that its predecessor had of a
// worker which was only cut off.
TEST(WorkerCrash, SuccessorDropsASuspicionOfAWorkerThatResponds) {
  FakePool pool({.workers = 4, .task_time = Milliseconds(20'000)});
  pool.Submit("job", FakePool::Job(1, 1));
  for (int cut = 0; cut < 4; ++cut) {
    CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 1; }, kLongEnough));
    pool.RunFor(Milliseconds(1'000));
    const int worker = pool.WorkerOf({"job", 0, 0, 0});
    pool.SetCut(worker, FakePool::Cut::kReset);
    pool.RunFor(Milliseconds(1'500));
    pool.ChangeLeader();
    pool.RunFor(Milliseconds(1'500));
    pool.SetCut(worker, FakePool::Cut::kNone);
    pool.RunFor(Milliseconds(1'000));
    CHECK(pool.state().suspected_runs().empty());
  }
  CHECK(Completes(&pool, "job"));
  CheckNoViolation(pool);
}

// BUDGET: workers that never return show no crash. Fails when a task that ends
// one worker after another for good goes on through the pool.
TEST(WorkerCrash, TaskThatEndsItsWorkersForGoodStartsSeldom) {
  FakePool pool({.workers = 20});
  pool.CrashWorkersOf("crashing", Milliseconds(600'000));
  pool.Submit("crashing", FakePool::Job(1, 1));
  pool.RunFor(Milliseconds(200'000));
  CHECK(pool.crashes() >= 2);
  CHECK(pool.crashes() <= 5);
  CheckNoViolation(pool);
}

// LOST: fails when a task whose workers are cut off for long waits for them
// without a bound.
TEST(WorkerCrash, TaskOfWorkersThatStayCutOffStartsAgain) {
  FakePool pool({.workers = 4, .task_time = Milliseconds(20'000)});
  pool.Submit("job", FakePool::Job(1, 1));
  for (int cut = 0; cut < 2; ++cut) {
    CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 1; }, kLongEnough));
    pool.RunFor(Milliseconds(1'000));
    pool.SetCut(pool.WorkerOf({"job", 0, 0, 0}), FakePool::Cut::kReset);
    pool.RunFor(Milliseconds(6'000));
  }
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 1; },
                      Milliseconds(20'000)));
  CHECK(Completes(&pool, "job"));
  CheckNoViolation(pool);
}

// Fails when the crashes are forgotten with the leader that learnt of them.
TEST(WorkerCrash, CrashesSurviveAChangeOfTheLeader) {
  FakePool pool({.workers = 8});
  pool.CrashWorkersOf("crashing", kShortDownTime);
  pool.Submit("crashing", FakePool::Job(1, 1));
  int crashes = 0;
  while (pool.Outcome("crashing") == JobOutcome::kOpen && crashes < 10) {
    CHECK(pool.RunUntil(
        [&] {
          return pool.crashes() > crashes ||
                 pool.Outcome("crashing") != JobOutcome::kOpen;
        },
        kLongEnough));
    crashes = pool.crashes();
    // The leader learns of the crash before it ends.
    pool.RunFor(kShortDownTime + Milliseconds(1'700));
    pool.ChangeLeader();
  }
  CHECK(pool.Outcome("crashing") == JobOutcome::kFailed);
  CHECK(crashes <= 3);
  CheckNoViolation(pool);
}

// Fails when jobs are given up because their tasks ran beside a task that
// crashed its worker.
TEST(WorkerCrash, JobsBesideATaskThatCrashesItsWorkerComplete) {
  CHECK(rc::check("neighbours", [] {
    FakePool pool({.workers = 6, .seed = *rc::gen::arbitrary<uint64_t>()});
    pool.CrashWorkersOf("crashing", kShortDownTime);
    for (int i = 0; i < 6; ++i) {
      pool.Submit(absl::StrCat("job", i), FakePool::Job(6, 2));
    }
    pool.Submit("crashing", FakePool::Job(3, 1));
    for (int i = 6; i < 12; ++i) {
      pool.Submit(absl::StrCat("job", i), FakePool::Job(6, 2));
      pool.RunFor(Milliseconds(200));
    }
    RC_ASSERT(Fails(&pool, "crashing"));
    for (int i = 0; i < 12; ++i) {
      RC_ASSERT(Completes(&pool, absl::StrCat("job", i)));
    }
    RC_ASSERT(pool.violation() == "");
  }));
}

// Fails when a task that may have crashed its worker waits for a lease of the
// incarnation that has ended, or keeps the other tasks waiting without a bound.
TEST(WorkerCrash, SuspectedTasksStartAgainInTurn) {
  FakePool pool({.workers = 2, .task_time = Milliseconds(20'000)});
  pool.Submit("job", FakePool::Job(4, 1));
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 4; }, kLongEnough));
  pool.Crash(0);
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 3; },
                      Milliseconds(3'000)));
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 4; },
                      Milliseconds(5'500)));
  CheckNoViolation(pool);
}

// Pattern: no worker without a recent run was free for a second. All tasks that
// a crash had put under suspicion then started on the same worker, crashed
// again together, and jobs that had caused no crash were given up.
TEST(WorkerCrash, SuspectedTasksDoNotStartTogether) {
  const WorkerSelector selector{WorkerSelector::Options{}};
  const MonotonicTime now{std::chrono::hours(1)};
  QueuedJob job;
  const JobStep step = FakePool::Job(1, 1).steps[0];
  WorkerRegistration registration;
  registration.capacity = {8'000, 64'000, 0};
  TrackedWorker worker(registration);
  worker.suspect_until = now + Milliseconds(1);
  const EligibleWorkers eligible{.workers = {&worker}};
  WorkerRequest request;
  request.job = &job;
  request.step = &step;
  request.now = now;
  CHECK(selector.Select(request, eligible, {}).worker == &worker);
  request.suspected = true;
  CHECK(selector.Select(request, eligible, {}).worker == nullptr);
  request.now = worker.suspect_until;
  CHECK(selector.Select(request, eligible, {}).worker == &worker);
}

// Fails when each task of a wide step crashes one worker after another, instead
// of one task of them.
TEST(WorkerCrash, StepThatCrashesWorkersStartsOneTaskAtATime) {
  FakePool pool({.workers = 10});
  pool.CrashWorkersOf("crashing", kShortDownTime);
  pool.Submit("crashing", FakePool::Job(30, 1));
  CHECK(Fails(&pool, "crashing"));
  // All workers crash once under the first starts.
  CHECK(pool.crashes() <= 12);
  CheckNoViolation(pool);
}

// Fails when a long-running task is given up because workers crash for reasons
// of their own.
TEST(WorkerCrash, LongRunningTaskOutlivesCrashesOfItsWorkers) {
  FakePool pool({.workers = 3});
  JobSpecification serving = FakePool::Job(3, 1);
  serving.steps[0].long_running = true;
  pool.Submit("serving", serving);
  for (int i = 0; i < 12; ++i) {
    CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 3; }, kLongEnough));
    pool.RunFor(Milliseconds(4'000));
    pool.Crash(i % 3);
  }
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 3; }, kLongEnough));
  CHECK(pool.Outcome("serving") == JobOutcome::kOpen);
  CheckNoViolation(pool);
}

// Fails when a long-running task that crashes each worker soon after its start
// is restarted without an end.
TEST(WorkerCrash, LongRunningTaskThatCrashesItsWorkersIsGivenUp) {
  FakePool pool({.workers = 8});
  JobSpecification serving = FakePool::Job(1, 1);
  serving.steps[0].long_running = true;
  pool.CrashWorkersOf("serving", kShortDownTime);
  pool.Submit("serving", serving);
  CHECK(Fails(&pool, "serving"));
  CheckNoViolation(pool);
}

// Fails when a task that crashes its workers starts too often under a mix of
// lost and delayed orders and new leaders, or when such a job never ends.
TEST(WorkerCrash, NoSequenceOfFaultsStartsACrashingTaskTooOften) {
  CHECK(rc::check("crashes", [] {
    FakePool pool({.workers = 6,
                   .seed = *rc::gen::arbitrary<uint64_t>(),
                   .lose_order = 0.03,
                   .delay_order = 0.03});
    pool.CrashWorkersOf("crashing0", kShortDownTime);
    pool.CrashWorkersOf("crashing1", kLongDownTime);
    const auto leader_changes =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    pool.Submit("crashing0", FakePool::Job(4, 1));
    pool.Submit("crashing1", FakePool::Job(2, 1));
    pool.Submit("job", FakePool::Job(4, 2));
    int changes = 0;
    for (const int pause : leader_changes) {
      pool.RunFor(Milliseconds(100 * pause));
      if (changes++ < 2) {
        pool.ChangeLeader();
      }
    }
    const bool ended = pool.RunUntil(
        [&] {
          return pool.Outcome("crashing0") != JobOutcome::kOpen &&
                 pool.Outcome("crashing1") != JobOutcome::kOpen &&
                 pool.Outcome("job") != JobOutcome::kOpen;
        },
        Milliseconds(120'000));
    RC_ASSERT(pool.violation() == "");
    RC_ASSERT(ended);
    RC_ASSERT(pool.Outcome("crashing0") == JobOutcome::kFailed);
    RC_ASSERT(pool.Outcome("crashing1") == JobOutcome::kFailed);
  }));
}

}  // namespace
}  // namespace bramleyrail
