#include <rapidcheck.h>

#include "packages/dispatch/fakes/fake_pool.h"
#include "packages/dispatch/tests/any_sequence_of_faults.h"
#include "packages/dispatch/tests/busy_pool.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

// Longer than any lease with its margins.
constexpr Milliseconds kLongEnough{30'000};
constexpr Milliseconds kLongTask{20'000};

ClientAccount Account(const std::string& name, int64_t limit_millis) {
  return {.name = name, .limit = {limit_millis, 0, 0}};
}

JobSpecification JobOfSize(int tasks, int64_t millis) {
  JobSpecification job = FakePool::Job(tasks, 1);
  job.steps[0].size.processor_millis = millis;
  return job;
}

void CheckNoViolation(const FakePool& pool) {
  CHECK_TRUE_TEXT(pool.violation().empty(), pool.violation().c_str());
}

int64_t MillisOf(const FakePool& pool, const std::string& account) {
  return pool.ReservedBy(account).processor_millis;
}

AccountReport ReportOf(const FakePool& pool, const std::string& account) {
  for (const AccountReport& report : pool.dispatcher().AccountReports()) {
    if (report.account == account) {
      return report;
    }
  }
  return {};
}

TEST_GROUP(AccountLimit){};

// Fails when an account exceeds its limit, or when its waiting tasks hold up
// those of others.
TEST(AccountLimit, TasksBeyondTheLimitWaitAndOthersStart) {
  FakePool pool({.task_time = kLongTask});
  pool.SetAccounts({Account("limited", 3'000), Account("other", 0)});
  pool.Submit("limited", FakePool::Job(500, 1), "limited");
  pool.Submit("other", FakePool::Job(20, 1), "other");
  pool.RunFor(Milliseconds(500));
  LONGS_EQUAL(3'000, MillisOf(pool, "limited"));
  LONGS_EQUAL(20'000, MillisOf(pool, "other"));
  LONGS_EQUAL(3'000, ReportOf(pool, "limited").used.processor_millis);
  LONGS_EQUAL(497, ReportOf(pool, "limited").waiting_for_limit);
  LONGS_EQUAL(1, pool.dispatcher().counters().account_limits_reached);
  CheckNoViolation(pool);
}

// Fails when room of the limit that becomes free stays unused.
TEST(AccountLimit, TasksStartWhenRoomOfTheLimitComesBack) {
  FakePool pool({.task_time = Milliseconds(400)});
  pool.SetAccounts({Account("limited", 2'000)});
  pool.Submit("job", FakePool::Job(10, 1), "limited");
  CHECK(pool.RunUntil(
      [&] { return pool.Outcome("job") == JobOutcome::kCompleted; },
      Milliseconds(5 * 800)));
  CheckNoViolation(pool);
}

// Fails when a task that the limit never allows holds up the other tasks of its
// account.
TEST(AccountLimit, TaskLargerThanTheLimitBlocksNoOther) {
  FakePool pool({});
  pool.SetAccounts({Account("limited", 2'000)});
  pool.Submit("large", JobOfSize(1, 3'000), "limited");
  pool.RunFor(Milliseconds(1'000));
  for (int number = 0; number < 10; ++number) {
    const std::string id = absl::StrCat("small", number);
    pool.Submit(id, FakePool::Job(2, 1), "limited");
    CHECK(pool.RunUntil(
        [&] { return pool.Outcome(id) == JobOutcome::kCompleted; },
        Milliseconds(1'000)));
  }
  CHECK(pool.Outcome("large") == JobOutcome::kOpen);
  CheckNoViolation(pool);
}

// Pattern: a stream of small tasks of one account. Each took the room of the
// limit as soon as it was free, and a larger task of the account never started.
TEST(AccountLimit, LargeTaskStartsBehindAStreamOfSmallOnes) {
  FakePool pool({.task_time = Milliseconds(400)});
  pool.SetAccounts({Account("limited", 4'000)});
  int small = 0;
  const auto run_for = [&](Milliseconds duration) {
    for (const MonotonicTime end = pool.now() + duration; pool.now() < end;) {
      pool.Submit(absl::StrCat("a", small++), FakePool::Job(1, 1), "limited");
      pool.RunFor(Milliseconds(50));
    }
  };
  run_for(Milliseconds(1'000));
  pool.Submit("large", JobOfSize(1, 4'000), "limited");
  run_for(Milliseconds(4'000));
  CHECK(pool.Outcome("large") == JobOutcome::kCompleted);
  CheckNoViolation(pool);
}

// Fails when a large task that waits for a long run of its account holds back
// the tasks that have room of the limit beside that run for as long.
TEST(AccountLimit, LargeTaskBehindALongRunHoldsNoOtherForLong) {
  FakePool pool({.task_time = kLongTask});
  pool.SetAccounts({Account("limited", 10'000)});
  pool.Submit("long", JobOfSize(1, 4'000), "limited");
  pool.RunFor(Milliseconds(200));
  pool.Submit("large", JobOfSize(1, 7'000), "limited");
  pool.RunFor(Milliseconds(1'000));
  pool.Submit("small", FakePool::Job(1, 1), "limited");
  CHECK(pool.RunUntil([&] { return MillisOf(pool, "limited") == 5'000; },
                      Milliseconds(3'000)));
  CheckNoViolation(pool);
}

// Fails when some members of a gang start although the limit has no room for
// all of them.
TEST(AccountLimit, GangStartsWithAllMembersOrNone) {
  FakePool pool({.task_time = Milliseconds(2'000), .ends_gangs = true});
  pool.SetAccounts({Account("limited", 4'000)});
  pool.Submit("running", FakePool::Job(2, 1), "limited");
  pool.RunFor(Milliseconds(300));
  JobSpecification gang = FakePool::Job(3, 1);
  gang.steps[0].gang = true;
  pool.Submit("gang", gang, "limited");
  pool.RunFor(Milliseconds(1'000));
  LONGS_EQUAL(2'000, MillisOf(pool, "limited"));
  CHECK(pool.RunUntil([&] { return MillisOf(pool, "limited") == 3'000; },
                      Milliseconds(2'000)));
  CheckNoViolation(pool);
}

// Fails when tasks start while the account is above a limit that was lowered,
// or don't start once it is below it.
TEST(AccountLimit, LoweredLimitHoldsUntilEnoughRunsHaveEnded) {
  FakePool pool({.task_time = Milliseconds(2'000)});
  pool.SetAccounts({Account("limited", 4'000)});
  pool.Submit("job", FakePool::Job(8, 1), "limited");
  pool.RunFor(Milliseconds(500));
  LONGS_EQUAL(4, pool.starts());
  pool.SetAccounts({Account("limited", 2'000)});
  pool.RunFor(Milliseconds(1'000));
  LONGS_EQUAL(4, pool.starts());
  pool.RunFor(Milliseconds(1'500));
  LONGS_EQUAL(6, pool.starts());
  pool.SetAccounts({Account("limited", 0)});
  pool.RunFor(Milliseconds(300));
  LONGS_EQUAL(8, pool.starts());
}

// Fails when a run that was ordered to stop does not count while it may still
// go on.
TEST(AccountLimit, StoppedRunCountsUntilItsEndIsKnown) {
  FakePool pool({.workers = 2, .task_time = kLongTask});
  pool.SetAccounts({Account("limited", 2'000)});
  pool.Submit("stopped", FakePool::Job(2, 1), "limited");
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 2; }, kLongEnough));
  pool.SetPartitioned(0, true);
  pool.SetPartitioned(1, true);
  pool.Apply(CancelQueuedJob{"stopped"});
  pool.Submit("next", FakePool::Job(2, 1), "limited");
  pool.SetPartitioned(1, false);
  pool.RunFor(Milliseconds(2'000));
  // The run on the first worker counts until its lease has expired.
  LONGS_EQUAL(2'000, MillisOf(pool, "limited"));
  LONGS_EQUAL(3, pool.starts());
  pool.RunFor(Milliseconds(8'000));
  LONGS_EQUAL(4, pool.starts());
  CheckNoViolation(pool);
}

// Fails when a new leader starts a task of an account while a worker that has
// not reported may run enough to exceed the limit, or never starts it.
TEST(AccountLimit, NewLeaderCountsWhatSilentWorkersMayRun) {
  FakePool pool({.workers = 3, .task_time = kLongTask});
  pool.SetAccounts({Account("limited", 6'000)});
  pool.Submit("job", FakePool::Job(6, 1), "limited");
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 6; }, kLongEnough));
  const int silent = pool.RunsOn(0);
  CHECK(silent > 0);
  pool.SetPartitioned(0, true);
  pool.ChangeLeader();
  pool.Submit("next", FakePool::Job(6, 1), "limited");
  pool.RunFor(Milliseconds(2'000));
  LONGS_EQUAL(6, pool.starts());
  pool.RunFor(Milliseconds(6'000));
  LONGS_EQUAL(6 + silent, pool.starts());
  CheckNoViolation(pool);
}

// Fails when a new leader does not count runs that it has to stop because their
// job ended before the takeover.
TEST(AccountLimit, NewLeaderCountsRunsOfEndedJobs) {
  FakePool pool({.workers = 3, .task_time = kLongTask});
  pool.SetAccounts({Account("limited", 3'000)});
  pool.Submit("ended", FakePool::Job(3, 1), "limited");
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 3; }, kLongEnough));
  for (int worker = 0; worker < 3; ++worker) {
    pool.SetPartitioned(worker, true);
  }
  pool.Apply(CancelQueuedJob{"ended"});
  pool.RunFor(Milliseconds(100));
  pool.ChangeLeader();
  pool.Submit("next", FakePool::Job(3, 1), "limited");
  pool.SetPartitioned(1, false);
  pool.SetPartitioned(2, false);
  // The silent worker may run all three tasks.
  pool.RunFor(Milliseconds(500));
  LONGS_EQUAL(3, pool.starts());
  pool.SetPartitioned(0, false);
  CHECK(pool.RunUntil([&] { return pool.starts() == 6; }, Milliseconds(2'000)));
  CheckNoViolation(pool);
}

// Fails when a long-running task that waits for the limit reserves a worker,
// on which no ordinary task starts then, or is explained by a lack of room.
TEST(AccountLimit, WaitingTaskReservesNoWorker) {
  BusyPool busy(1);
  busy.pool().SetAccounts({Account("limited", 1'000)});
  JobSpecification job = JobOfSize(1, 2'000);
  job.steps[0].long_running = true;
  busy.pool().Submit("waits", job, "limited");
  busy.RunFor(Milliseconds(2'000));
  CHECK(busy.MeanOfRunningTasks(Milliseconds(2'000)) > 3);
  const auto standing =
      busy.pool().dispatcher().FindStandingTasks(busy.pool().now());
  LONGS_EQUAL(1, standing.size());
  CHECK(standing[0].reason == StandingReason::kAccountLimit);
  CheckNoViolation(busy.pool());
}

// Fails when the accounts of jobs change any decision in a deployment whose
// configuration has no accounts.
TEST(AccountLimit, WithoutConfiguredAccountsNothingChanges) {
  FakePool with({.workers = 2, .seed = 7, .fail_task = 0.2});
  FakePool without({.workers = 2, .seed = 7, .fail_task = 0.2});
  for (int number = 0; number < 30; ++number) {
    const std::string id = absl::StrCat("job", number);
    with.Submit(id, FakePool::Job(4, 2), absl::StrCat("a", number % 3));
    without.Submit(id, FakePool::Job(4, 2));
    for (int step = 0; step < 10; ++step) {
      with.RunFor(Milliseconds(20));
      without.RunFor(Milliseconds(20));
      LONGS_EQUAL(without.starts(), with.starts());
      for (int64_t index = 0; index < 4; ++index) {
        const TaskName task{id, 0, 0, index};
        LONGS_EQUAL(without.WorkerOf(task), with.WorkerOf(task));
      }
    }
  }
  LONGS_EQUAL(0, with.dispatcher().counters().account_limits_reached);
  CheckNoViolation(with);
}

// Submits ordinary, repeated and best-effort jobs, and gangs, of two accounts.
void SubmitJobOfAccount(FakePool* pool, int number) {
  JobSpecification job = FakePool::Job(4, 2);
  std::string account = "first";
  switch (number % 4) {
    case 1:
      job = FakePool::Job(3, 1);
      job.steps[0].gang = true;
      account = "second";
      break;
    case 2:
      job.steps[0].best_effort = true;
      account = "second";
      break;
    case 3:
      job = FakePool::Job(2, 1);
      job.repetitions = 3;
      job.interval_ms = 500;
      break;
    default:
      break;
  }
  pool->Submit(absl::StrCat("job", number), job, account);
}

void ChangeAccounts(FakePool* pool, int kind) {
  switch (kind) {
    case 0:
      pool->SetAccounts({Account("first", 1'000), Account("second", 3'000)});
      break;
    case 1:
      pool->SetAccounts({Account("first", 5'000), Account("second", 6'000)});
      break;
    case 2:
      pool->Apply(CancelQueuedJob{"job0"});
      pool->Apply(CancelQueuedJob{"job1"});
      break;
    default:
      pool->ChangeLeader();
      pool->RunFor(Milliseconds(100));
      pool->ChangeLeader();
      break;
  }
}

// Fails when an account exceeds its limit, or a job never ends, under any mix
// of lost and late orders, silent and restarted workers, new leaders, changed
// limits and cancelled jobs.
TEST(AccountLimit, NoSequenceOfFaultsExceedsALimit) {
  CHECK(rc::check("limits", [] {
    FaultSequence sequence;
    sequence.prepare = [](FakePool* pool) {
      pool->SetAccounts({Account("first", 3'000), Account("second", 5'000)});
    };
    sequence.submit = SubmitJobOfAccount;
    sequence.apply_other = ChangeAccounts;
    CheckAnySequenceOfFaults({.fail_task = 0.02, .ends_gangs = true}, sequence);
  }));
}

}  // namespace
}  // namespace bramleyrail
