// Long-running tasks beside ordinary ones, under random sequences of faults.

#include <rapidcheck.h>

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/fakes/fake_pool.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr int kWorkers = 5;
// With the remaining workers, every task of a case below has room.
constexpr int kMaximumWorkersGone = 2;
constexpr int kMaximumOrdinaryJobs = 6;
constexpr int kMaximumLongRunningJobs = 2;
constexpr int kLongRunningTasks = 4;

constexpr Milliseconds kLease{5'000};
// By a clock that is 2% slow.
constexpr Milliseconds kSlowLease = kLease * 51 / 50;
constexpr Milliseconds kTakeoverMargin{600};
constexpr Milliseconds kCallTimeout{1'000};
// Pauses before a failed lease renewal, a start, a stop and a placement are
// tried again.
constexpr Milliseconds kRetryIntervals{200 + 100 + 500 + 75};
// From the placement of a task to its start: the record and one order.
constexpr Milliseconds kStartTime{100};
// The last lease of a worker that is gone is granted until a call shows that it
// is silent, and after the lease a second call confirms that.
constexpr Milliseconds kBound = kCallTimeout + kSlowLease + kTakeoverMargin +
                                kCallTimeout + kRetryIntervals + kStartTime;
// A worker gets one task that may crash it in this time.
constexpr Milliseconds kCrashAttribution{3'000};
// A worker that was restarted registers within this time. If it is gone then,
// orders to its earlier incarnation count for the maximum lease and 1.6 s.
constexpr Milliseconds kRegistrationTime{1'500};
constexpr Milliseconds kInheritedLeaseExcess{510 + 1'000};

enum class Fault {
  kPartition,
  kHeal,
  kCrash,
  kLongCrash,
  kGone,
  kLeaderChange,
  kLeaderChanges,
  kLeaderPause,
  kUnreadable,
  kReadable,
  kOrdinaryJob,
  kLongRunningJob,
  kCount,
};

// A leader that is paused for longer than a call discards the responses that
// arrived meanwhile. When their workers are then silent, it cannot know which
// ordinary tasks are done, so long pauses have cases without ordinary jobs.
enum class Pauses { kShort, kLong };

// The faults of one case.
class FaultSequence {
 public:
  FaultSequence(uint64_t seed, Pauses pauses)
      : pauses_(pauses),
        pool_({.workers = kWorkers,
               .seed = seed,
               .lose_order = 0.05,
               .delay_order = 0.05,
               .lose_response = 0.05}) {
    SubmitLongRunning();
  }

  void Apply(Fault fault, int argument) {
    const int worker = argument % kWorkers;
    const Milliseconds time(argument % 7 * 500);
    switch (fault) {
      case Fault::kPartition:
        pool_.SetPartitioned(worker, true);
        break;
      case Fault::kHeal:
        pool_.SetPartitioned(worker, gone_.contains(worker));
        break;
      case Fault::kCrash:
      case Fault::kLongCrash:
        if (!gone_.contains(worker)) {
          pool_.Crash(worker, fault == Fault::kCrash ? Milliseconds(0) : time);
          ++crashes_;
        }
        break;
      case Fault::kGone:
        MakeGone(worker, argument % 2 == 0);
        break;
      case Fault::kLeaderChange:
        pool_.ChangeLeader();
        break;
      case Fault::kLeaderChanges:
        for (int i = 0; i < 3; ++i) {
          pool_.ChangeLeader();
          pool_.RunFor(Milliseconds(50 + argument % 250));
        }
        break;
      case Fault::kLeaderPause:
        PauseLeader(pauses_ == Pauses::kShort ? time / 4 : 3 * time);
        break;
      case Fault::kUnreadable:
        pool_.SetUnreadable(worker, true);
        break;
      case Fault::kReadable:
        pool_.SetUnreadable(worker, false);
        break;
      case Fault::kOrdinaryJob:
        SubmitOrdinary();
        break;
      case Fault::kLongRunningJob:
        SubmitLongRunning();
        break;
      case Fault::kCount:
        break;
    }
    pool_.RunFor(Milliseconds(20 + argument % 1'200));
  }

  // The workers that are gone stay gone.
  void Stop() {
    pool_.StopLosses();
    for (int worker = 0; worker < kWorkers; ++worker) {
      pool_.SetPartitioned(worker, gone_.contains(worker));
      pool_.SetUnreadable(worker, false);
    }
  }

  Milliseconds Bound() const {
    if (crashes_ == 0) {
      return kBound;
    }
    const int tasks = long_running_jobs_ * kLongRunningTasks;
    const int workers = kWorkers - kMaximumWorkersGone;
    return kBound + kInheritedLeaseExcess + kRegistrationTime +
           Milliseconds(7 * 500) +
           kCrashAttribution * ((tasks + workers - 1) / workers);
  }

  // The first task of a long-running job that does not run. A job under whose
  // tasks too many workers have crashed has failed.
  std::optional<std::string> FindStandingTask() const {
    for (int job = 0; job < long_running_jobs_; ++job) {
      if (pool_.Outcome(absl::StrCat("long", job)) == JobOutcome::kFailed) {
        continue;
      }
      for (int64_t task = 0; task < kLongRunningTasks; ++task) {
        const TaskName name{absl::StrCat("long", job), 0, 0, task};
        if (!pool_.IsRunning(name)) {
          return name.ToString();
        }
      }
    }
    return std::nullopt;
  }

  FakePool& pool() { return pool_; }

 private:
  void PauseLeader(Milliseconds time) {
    pool_.PauseLeader(time);
    pool_.RunFor(time);
  }

  void MakeGone(int worker, bool process_ends) {
    if (gone_.size() >= kMaximumWorkersGone || gone_.contains(worker)) {
      return;
    }
    gone_.insert(worker);
    if (process_ends) {
      pool_.Remove(worker);
      ++crashes_;
    }
    pool_.SetPartitioned(worker, true);
  }

  void SubmitOrdinary() {
    if (pauses_ == Pauses::kShort && ordinary_jobs_ < kMaximumOrdinaryJobs) {
      pool_.Submit(absl::StrCat("job", ordinary_jobs_++), FakePool::Job(2, 2));
    }
  }

  void SubmitLongRunning() {
    if (long_running_jobs_ >= kMaximumLongRunningJobs) {
      return;
    }
    JobSpecification job = FakePool::Job(kLongRunningTasks, 1);
    job.steps[0].long_running = true;
    // The tasks of the first job are on several workers, those of the second
    // one are packed.
    job.steps[0].maximum_tasks_per_worker = long_running_jobs_ == 0 ? 2 : 0;
    pool_.Submit(absl::StrCat("long", long_running_jobs_++), std::move(job));
  }

  const Pauses pauses_;
  FakePool pool_;
  std::set<int> gone_;
  int ordinary_jobs_ = 0;
  int long_running_jobs_ = 0;
  int crashes_ = 0;
};

void CheckAnySequenceOfFaults(Pauses pauses) {
  FaultSequence sequence(*rc::gen::arbitrary<uint64_t>(), pauses);
  const auto faults = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, static_cast<int>(Fault::kCount)),
                    rc::gen::inRange(0, 10'000)));
  for (const auto& [fault, argument] : faults) {
    sequence.Apply(static_cast<Fault>(fault), argument);
  }
  sequence.Stop();
  sequence.pool().RunFor(sequence.Bound());
  RC_ASSERT(sequence.pool().violation() == "");
  RC_ASSERT(sequence.FindStandingTask().value_or("none") == "none");
}

TEST_GROUP(LongRunning){};

// LOST: fails when a task of a long-running job stands still after the faults
// have ended, for longer than the lease of a worker that is gone, the calls
// that show its silence and the retries of orders allow.
TEST(LongRunning, RunsAgainAfterAnySequenceOfFaults) {
  CHECK(rc::check("faults", [] { CheckAnySequenceOfFaults(Pauses::kShort); }));
}

// Fails in the same way after pauses of the leader that are longer than its
// calls and its leases.
TEST(LongRunning, RunsAgainAfterLongPausesOfTheLeader) {
  CHECK(rc::check("pauses", [] { CheckAnySequenceOfFaults(Pauses::kLong); }));
}

// LOST: fails when a task stands still after takeovers although its run has
// ended, because another worker is silent.
TEST(LongRunning, SilentWorkerHoldsOnlyItsOwnTasksAfterTakeovers) {
  CHECK(rc::check("one silent worker", [] {
    FakePool pool(
        {.workers = kWorkers, .seed = *rc::gen::arbitrary<uint64_t>()});
    JobSpecification job = FakePool::Job(kLongRunningTasks, 1);
    job.steps[0].long_running = true;
    job.steps[0].maximum_tasks_per_worker = *rc::gen::inRange(0, 3);
    pool.Submit("long", job);
    pool.RunFor(Milliseconds(*rc::gen::inRange(0, 3'000)));
    pool.SetPartitioned(*rc::gen::inRange(0, kWorkers), true);
    const auto rounds = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8'000), rc::gen::inRange(0, 4)));
    for (const auto& [pause_ms, takeovers] : rounds) {
      pool.Submit(absl::StrCat("job", pool.starts()), FakePool::Job(2, 1));
      pool.PauseLeader(Milliseconds(pause_ms));
      pool.RunFor(Milliseconds(pause_ms));
      for (int i = 0; i < takeovers; ++i) {
        pool.RunFor(Milliseconds(200));
        pool.ChangeLeader();
      }
    }
    // After a pause of the leader, every task whose run has ended may start.
    pool.PauseLeader(kSlowLease + kCallTimeout);
    pool.RunFor(kSlowLease + kCallTimeout);
    pool.ChangeLeader();
    const RecordedRuns::JobRuns recorded =
        pool.state().recorded_runs().OfJob("long");
    pool.RunFor(Milliseconds(1'000));
    RC_ASSERT(pool.violation() == "");
    for (int64_t task = 0; task < kLongRunningTasks; ++task) {
      const auto run = recorded.find({0, 0, task});
      const bool may_run_on_silent =
          run != recorded.end() && pool.IsPartitioned(run->second.worker.id);
      RC_ASSERT(may_run_on_silent || pool.IsRunning({"long", 0, 0, task}));
    }
  }));
}

}  // namespace
}  // namespace bramleyrail
