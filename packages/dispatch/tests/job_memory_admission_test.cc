#include "packages/dispatch/job_memory_admission.h"

#include <malloc.h>

#include <memory>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/dispatch.h"
#include "packages/dispatch/fakes/fake_pool.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr MonotonicTime kNow{std::chrono::hours(1)};
constexpr int64_t kUnixMs = 1'000'000;

SubmitJob Submission(const std::string& id, JobSpecification job) {
  SubmitJob command;
  command.id = id;
  command.queue = "queue";
  command.pool = "pool";
  command.maximum_attempts = 4;
  command.specification = std::move(job);
  return command;
}

SubmitJob Submission(const std::string& id) {
  return Submission(id, FakePool::Job(4, 2));
}

// A state, and an admission with memory for three jobs.
TEST_GROUP(JobMemoryAdmission) {
  QueueState state_;
  // Jobs are accepted up to three quarters of the memory.
  JobMemoryAdmission admission_{BytesOfOpenJob(FakePool::Job(4, 2)) * 4 + 1'000,
                                [] { return 0.5; }};

  bool Decide(const SubmitJob& job) {
    return admission_.Decide(state_, job, kNow).value().admitted;
  }
  void Apply(QueueCommandBody body) {
    state_.Apply({kUnixMs, std::move(body)});
  }
  void Store(const std::string& id) {
    Apply(Submission(id));
    admission_.MarkStored(id);
  }
};

// Fault: accepted jobs were not compared with the memory of the process, and
// took each leader over the memory of its machine.
TEST(JobMemoryAdmission, JobWithoutRoomIsRejectedUntilThereIsRoom) {
  for (const char* id : {"a", "b", "c"}) {
    CHECK(Decide(Submission(id)));
    Store(id);
  }
  const auto rejected = admission_.Decide(state_, Submission("d"), kNow);
  CHECK(!rejected.value().admitted);
  CHECK(rejected.value().retry_after > Milliseconds(0));
  // It can still be read, so it takes memory.
  Apply(CancelQueuedJob{"a"});
  CHECK(!Decide(Submission("d")));
  Apply(PurgeJobsEndedBefore{2 * kUnixMs});
  CHECK(Decide(Submission("d")));
  LONGS_EQUAL(2, admission_.rejected());
}

// Fails when a caller that repeats its request is told that its job, which is
// or may be stored, was not accepted.
TEST(JobMemoryAdmission, AcceptedJobIsNotRejectedWhenItIsSentAgain) {
  for (const char* id : {"a", "b"}) {
    CHECK(Decide(Submission(id)));
    Store(id);
  }
  CHECK(Decide(Submission("c")));
  CHECK(!Decide(Submission("d")));
  CHECK(Decide(Submission("a")));
  CHECK(Decide(Submission("c")));
  // One of two requests for it has failed; the other may have stored it.
  admission_.Withdraw("c");
  CHECK(!Decide(Submission("d")));
}

// Fails when jobs that are accepted at the same time exceed the memory
// together, or when the room of one that was not stored is never free again.
TEST(JobMemoryAdmission, JobsThatAreNotStoredYetCount) {
  for (const char* id : {"a", "b", "c"}) {
    CHECK(Decide(Submission(id)));
  }
  CHECK(!Decide(Submission("d")));
  admission_.Withdraw("b");
  CHECK(Decide(Submission("d")));
  CHECK(!Decide(Submission("e")));
  // The state shows that it was cancelled before its submission.
  Apply(CancelQueuedJob{"c"});
  Store("c");
  Apply(PurgeJobsEndedBefore{2 * kUnixMs});
  CHECK(Decide(Submission("e")));
}

// Fails when a caller is asked to come back with a job that never has room.
TEST(JobMemoryAdmission, JobThatNeverHasRoomIsInvalid) {
  JobSpecification large = FakePool::Job(10'000, 100);
  CHECK(ValidateJob(large).has_value());
  const auto decision =
      admission_.Decide(state_, Submission("large", large), kNow);
  CHECK(decision.has_error());
  CHECK(decision.error().kind == ErrorKind::kInvalidArgument);
  // The occurrences of a long-running step never finish.
  JobSpecification lasting = FakePool::Job(1, 1);
  lasting.steps[0].long_running = true;
  lasting.repetitions = 1'000;
  CHECK(admission_.Decide(state_, Submission("lasting", lasting), kNow)
            .has_error());
  CHECK(Decide(Submission("a")));
}

TEST(JobMemoryAdmission, NoLimitAdmitsEverything) {
  JobMemoryAdmission unlimited(0);
  for (int number = 0; number < 100; ++number) {
    CHECK(unlimited
              .Decide(state_,
                      Submission(absl::StrCat("job-", number),
                                 FakePool::Job(10'000, 100)),
                      kNow)
              .value()
              .admitted);
  }
}

int64_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<int64_t>(info.uordblks + info.hblkhd);
}

// Runs all tasks of the job but the last one, and returns what the state, its
// leader and two snapshots have allocated then.
int64_t AllocatedFor(const std::vector<SubmitJob>& jobs) {
  const int64_t before = AllocatedBytes();
  QueueState state;
  state.Apply({kUnixMs, BeginLeadership{.instance = "leader"}});
  for (const SubmitJob& job : jobs) {
    state.Apply({kUnixMs, job});
  }
  Dispatcher dispatcher({}, 1, kNow);
  dispatcher.Synchronize(state, kNow);
  (void)dispatcher.Step(state, kNow, kUnixMs);
  for (const SubmitJob& job : jobs) {
    const SharedText id(job.id);
    for (size_t step = 0; step < job.specification.steps.size(); ++step) {
      RecordFinishedRuns record;
      for (int64_t index = 1; index < job.specification.steps[step].tasks;
           ++index) {
        record.finished_runs.push_back(
            {{id, 0, static_cast<int64_t>(step), index},
             1,
             RunOutcome::kDone,
             ""});
      }
      state.Apply({kUnixMs, record});
    }
  }
  const std::vector<std::byte> newest = state.EncodeSnapshot();
  const std::vector<std::byte> next = state.EncodeSnapshot();
  CHECK(newest.size() == next.size());
  return AllocatedBytes() - before;
}

// Guards against records that grow while the estimate stays: the process would
// accept more than it has memory for.
TEST(JobMemoryAdmission, EstimateCoversWhatJobsTake) {
  JobSpecification texts = FakePool::Job(1, 1);
  texts.payload = std::string(4'000, 'x');
  JobSpecification control_characters = FakePool::Job(1, 1);
  control_characters.payload = std::string(4'000, '\x01');
  JobSpecification chain = FakePool::Job(1, 100);
  for (size_t step = 0; step < chain.steps.size(); ++step) {
    chain.steps[step].predecessors.clear();
    for (size_t earlier = 0; earlier < step; ++earlier) {
      chain.steps[step].predecessors.push_back(static_cast<int64_t>(earlier));
    }
  }
  for (const JobSpecification& specification :
       {FakePool::Job(6, 2), FakePool::Job(500, 4), texts, control_characters,
        chain}) {
    std::vector<SubmitJob> jobs;
    for (int number = 0; number < 30; ++number) {
      jobs.push_back(
          Submission(absl::StrCat("job-0000000000", number), specification));
    }
    const int64_t estimate =
        std::ssize(jobs) * BytesOfOpenJob(jobs.front().specification);
    CHECK(AllocatedFor(jobs) < estimate);
  }
}

}  // namespace
}  // namespace bramleyrail
