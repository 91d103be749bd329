// Long-running jobs that are handed in while short work needs room.

#include "absl/strings/str_cat.h"
#include "packages/dispatch/fakes/fake_pool.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr int kWorkers = 10;
constexpr int64_t kWorkerMillis = 8'000;
constexpr Milliseconds kTaskTime{400};
// Short jobs may wait for a second; an accepted long-running task counts as
// lost when it stands for 3 s with room for it.
constexpr Milliseconds kMaximumShortWait{1'000};
constexpr Milliseconds kMaximumStand{3'000};

JobSpecification Step(int tasks, int64_t processor_millis, bool long_running) {
  JobSpecification job = FakePool::Job(tasks, 1);
  job.steps[0].size = {processor_millis, 1'000, 0};
  job.steps[0].long_running = long_running;
  return job;
}

TEST_GROUP(LongRunningAdmission) {
  FakePool pool_{{.workers = kWorkers, .task_time = kTaskTime}};
  Milliseconds longest_short_wait_{0};
  int short_jobs_ = 0;
  int long_jobs_ = 0;
  int rejected_ = 0;
  std::vector<std::string> admitted_;

  // Lets a short job arrive in each interval.
  void RunShortWork(Milliseconds duration, const JobSpecification& job,
                    Milliseconds interval) {
    for (const MonotonicTime end = pool_.now() + duration; pool_.now() < end;) {
      pool_.Submit(absl::StrCat("short", short_jobs_++), job);
      pool_.RunFor(interval);
      longest_short_wait_ =
          std::max(longest_short_wait_, pool_.dispatcher().longest_wait());
    }
  }
  // 8 processors of 80 on average.
  void RunShortWork(Milliseconds duration) {
    RunShortWork(duration, Step(4, 1'000, false), Milliseconds(200));
  }
  bool HandInLongRunning(int tasks, int64_t processor_millis) {
    const std::string id = absl::StrCat("long", long_jobs_++);
    const bool admitted = pool_.HandIn(id, Step(tasks, processor_millis, true));
    if (admitted) {
      admitted_.push_back(id);
    } else {
      ++rejected_;
    }
    return admitted;
  }
  bool AllAdmittedRun() {
    return std::all_of(admitted_.begin(), admitted_.end(),
                       [&](const std::string& id) {
                         return pool_.IsRunning({id, 0, 0, 0});
                       });
  }
};

// A crowd of long-running jobs while short work keeps arriving. Fails when they
// take the room of the short work, so that it waits for long, and when room
// that nobody needs stays empty.
TEST(LongRunningAdmission, CrowdLeavesRoomForShortWorkThatKeepsArriving) {
  RunShortWork(Milliseconds(5'000));
  for (int i = 0; i < 60; ++i) {
    HandInLongRunning(1, 2'000);
    RunShortWork(Milliseconds(200));
  }
  CHECK(longest_short_wait_ < kMaximumShortWait);
  CHECK(rejected_ > 0);
  // Short work needs less than 24 processors of 80 even in peaks.
  CHECK(admitted_.size() * 2'000 >= (kWorkers * kWorkerMillis) - 24'000);
  CHECK(pool_.RunUntil([this] { return AllAdmittedRun(); }, kMaximumStand));
}

// The same crowd at one moment. Fails when jobs that are admitted and not
// placed yet don't count.
TEST(LongRunningAdmission, CrowdOfOneMomentLeavesRoomForShortWork) {
  RunShortWork(Milliseconds(5'000));
  for (int i = 0; i < 60; ++i) {
    HandInLongRunning(1, 2'000);
  }
  RunShortWork(Milliseconds(5'000));
  CHECK(longest_short_wait_ < kMaximumShortWait);
  CHECK(rejected_ > 0);
}

// A crowd of the largest tasks: short ones that need most of a worker. Fails
// when the room that is left over is in parts that are too small for them.
TEST(LongRunningAdmission, CrowdOfTheLargestTasksFindsWholeWorkers) {
  const JobSpecification largest = Step(2, 7'000, false);
  RunShortWork(Milliseconds(5'000), largest, Milliseconds(400));
  for (int i = 0; i < 40; ++i) {
    HandInLongRunning(1, 2'000);
    RunShortWork(Milliseconds(400), largest, Milliseconds(400));
  }
  CHECK(longest_short_wait_ < kMaximumShortWait);
  CHECK(rejected_ > 0);
  // Four workers are enough for the short work.
  CHECK(admitted_.size() >= 12);
}

// Pauses between arrivals. Fails when the need is forgotten while no short work
// arrives for some time.
TEST(LongRunningAdmission, PausesBetweenArrivalsDoNotGiveTheRoomAway) {
  RunShortWork(Milliseconds(5'000));
  pool_.RunFor(Milliseconds(20'000));
  for (int i = 0; i < 60; ++i) {
    HandInLongRunning(1, 2'000);
  }
  pool_.RunFor(kMaximumStand);
  RunShortWork(Milliseconds(5'000));
  CHECK(longest_short_wait_ < kMaximumShortWait);
}

// An evacuated failure domain. Fails when its workers count as room.
TEST(LongRunningAdmission, EvacuatedWorkersAreNoRoom) {
  RunShortWork(Milliseconds(5'000));
  pool_.Apply(SetEvacuated{"east", true, std::nullopt});
  RunShortWork(Milliseconds(1'000));
  CHECK(!HandInLongRunning(16, 2'000));
  pool_.Apply(SetEvacuated{"east", false, std::nullopt});
  RunShortWork(Milliseconds(1'000));
  CHECK(HandInLongRunning(16, 2'000));
}

// A takeover with 200 jobs open. Fails when the new leader gives all room away
// before it has seen short work arrive.
TEST(LongRunningAdmission, TakeoverWithOpenJobsKeepsRoomForThem) {
  for (int i = 0; i < 200; ++i) {
    pool_.Submit(absl::StrCat("open", i), Step(1, 1'000, false));
  }
  pool_.RunFor(Milliseconds(100));
  pool_.ChangeLeader();
  pool_.RunFor(Milliseconds(20));
  for (int i = 0; i < 60; ++i) {
    HandInLongRunning(1, 2'000);
  }
  // Short work has up to a half while both kinds need more than there is.
  CHECK(admitted_.size() * 2'000 <= kWorkers * kWorkerMillis / 2);
  CHECK(!admitted_.empty());
  CHECK(pool_.RunUntil(
      [this] {
        for (int i = 0; i < 200; ++i) {
          if (pool_.Outcome(absl::StrCat("open", i)) == JobOutcome::kOpen) {
            return false;
          }
        }
        return true;
      },
      Milliseconds(10'000)));
}

// REFUSED: fails when the resend of a job is rejected that is stored.
TEST(LongRunningAdmission, ResendOfAStoredJobIsNotRejected) {
  RunShortWork(Milliseconds(5'000));
  CHECK(HandInLongRunning(1, 2'000));
  while (HandInLongRunning(1, 2'000)) {
  }
  CHECK(pool_.HandIn(admitted_[0], Step(1, 2'000, true)));
}

// A deployment without short work. Fails when long-running jobs are rejected
// there, with room or without it.
TEST(LongRunningAdmission, AdmitsAllWithoutShortWork) {
  for (int i = 0; i < 60; ++i) {
    CHECK(HandInLongRunning(1, 2'000));
    pool_.RunFor(Milliseconds(100));
  }
}

// Fails when a deployment with little of both kinds rejects jobs.
TEST(LongRunningAdmission, AdmitsWhileThereIsRoom) {
  for (int i = 0; i < 20; ++i) {
    RunShortWork(Milliseconds(200));
    CHECK(HandInLongRunning(1, 2'000));
  }
}

SubmitJob Submission(const std::string& id, int64_t processor_millis) {
  SubmitJob job;
  job.id = id;
  job.pool = "pool";
  job.specification = Step(1, processor_millis, true);
  return job;
}

TEST_GROUP(AdmissionDecision) {
  MonotonicTime now_{std::chrono::hours(1)};
  double random_ = 0;
  LongRunningAdmission admission_{[this] { return random_; }};
  PoolRoom room_;
  QueuedJob job_;

  void setup() override {
    job_.pool = "pool";
    job_.specification = Step(4, 1'000, false);
    room_.AddWorker({kWorkerMillis, 64'000, 0}, {}, {});
    admission_.short_work().AddReadyTasks(job_, job_.specification.steps[0], 4,
                                          now_);
    admission_.short_work().Refresh(now_);
  }
};

// REFUSED: fails when the resend of a job is rejected that another request may
// still store.
TEST(AdmissionDecision, ResendWithAnUnknownOutcomeIsNotRejected) {
  CHECK(admission_.Decide(Submission("a", 2'000), room_, now_).admitted);
  CHECK(admission_.AdmitAgain("a"));
  admission_.Withdraw("a");
  CHECK(admission_.AdmitAgain("a"));
  admission_.Withdraw("a");
  admission_.Withdraw("a");
  CHECK(!admission_.AdmitAgain("a"));
}

// Fails when callers that are rejected together come back together, or sooner
// than jobs end.
TEST(AdmissionDecision, RetryAfterFollowsTheEndsAndIsSpread) {
  // 60 processors in 15 s.
  for (int i = 0; i < 15; ++i) {
    job_.specification = Step(1, 4'000, true);
    admission_.AddEndedJob(job_, now_);
  }
  const auto earliest = admission_.Decide(Submission("a", 8'000), room_, now_);
  CHECK(!earliest.admitted);
  LONGS_EQUAL(2'000, earliest.retry_after.count());
  random_ = 1;
  const auto latest = admission_.Decide(Submission("b", 8'000), room_, now_);
  LONGS_EQUAL(4'000, latest.retry_after.count());
}

}  // namespace
}  // namespace bramleyrail
