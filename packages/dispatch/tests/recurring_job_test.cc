// Jobs whose steps run repeatedly.

#include <malloc.h>
#include <rapidcheck.h>

#include <memory>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/fakes/fake_pool.h"
#include "packages/dispatch/tests/any_sequence_of_faults.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr int64_t kUnixMs = 1'000'000;
constexpr int64_t kHourMs = 3'600'000;
constexpr MonotonicTime kNow{std::chrono::hours(1)};
constexpr int kTasks = 4;

JobSpecification Recurring(int tasks,
                           int64_t repetitions,
                           int64_t first_start_unix_ms,
                           int64_t interval_ms) {
  JobSpecification job = FakePool::Job(tasks, 2);
  job.repetitions = repetitions;
  job.first_start_unix_ms = first_start_unix_ms;
  job.interval_ms = interval_ms;
  return job;
}

SubmitJob Submission(const std::string& id, JobSpecification job) {
  SubmitJob command;
  command.id = id;
  command.queue = "queue";
  command.pool = "pool";
  command.maximum_attempts = 4;
  command.specification = std::move(job);
  return command;
}

int64_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<int64_t>(info.uordblks + info.hblkhd);
}

// Memory of a leader and its state with jobs of this many repetitions, none of
// which is due.
int64_t BytesOfScheduledJobs(int jobs, int64_t repetitions) {
  const int64_t before = AllocatedBytes();
  QueueState state;
  Dispatcher dispatcher({}, 1, kNow);
  for (int job = 0; job < jobs; ++job) {
    state.Apply(
        {kUnixMs, Submission(absl::StrCat("job-", job),
                             Recurring(36, repetitions, kUnixMs + 24 * kHourMs,
                                       kHourMs))});
  }
  dispatcher.Synchronize(state, kNow);
  CHECK(dispatcher.Step(state, kNow, kUnixMs).empty());
  return AllocatedBytes() - before;
}

TEST_GROUP(RecurringJob){};

// Fault: a leader kept records of all tasks of all occurrences from the moment
// at which it took a job up. Eight accepted jobs of 1,000 occurrences took
// each leader over the memory of its machine, one after the other.
TEST(RecurringJob, OccurrencesThatAreNotDueTakeNoMemory) {
  constexpr int kJobs = 20;
  const int64_t once = BytesOfScheduledJobs(kJobs, 1);
  const int64_t often = BytesOfScheduledJobs(kJobs, 1'000);
  CHECK(often < 2 * once);
}

// Fails when an occurrence is left out, or runs twice, because its records were
// deleted or created at the wrong moment: after a takeover, a restart from a
// snapshot, a report before its release or one after its end.
TEST(RecurringJob, AnySequenceOfFaultsRunsEachOccurrenceOnce) {
  const bool holds = rc::check([] {
    FakePool::Options options;
    options.restores_snapshots = true;
    constexpr int64_t kRepetitions = 5;
    int jobs = 0;
    CheckAnySequenceOfFaults(
        options,
        {.submit =
             [&](FakePool* pool, int number) {
               // Intervals from none to one that is longer than a run.
               pool->Submit(absl::StrCat("job", number),
                            Recurring(2, kRepetitions, kUnixMs,
                                      int64_t{600} * (number % 3)));
               jobs = number + 1;
             },
         .apply_other =
             [](FakePool* pool, int number) {
               if (number < 2) {
                 pool->ChangeLeader();
               }
             },
         .finish =
             [&](FakePool* pool) {
               for (int number = 0; number < jobs; ++number) {
                 const std::string id = absl::StrCat("job", number);
                 // A job whose workers crash too often is given up.
                 RC_ASSERT(pool->Outcome(id) == JobOutcome::kFailed ||
                           pool->RecordedTasks(id) == 4 * kRepetitions);
               }
             }});
  });
  CHECK(holds);
}

// Fails when a job between two occurrences is shown as queued, and counted as
// one that waits for its first start, after a takeover.
TEST(RecurringJob, NewLeaderKnowsThatAnOccurrenceHasFinished) {
  FakePool::Options options;
  options.restores_snapshots = true;
  FakePool pool(options);
  pool.Submit("job", Recurring(kTasks, 2, kUnixMs, 240 * kHourMs));
  constexpr int64_t kTasksOfOccurrence = int64_t{2} * kTasks;
  CHECK(pool.RunUntil(
      [&] { return pool.RecordedTasks("job") == kTasksOfOccurrence; },
      std::chrono::minutes(1)));
  CHECK(pool.dispatcher().HasStarted("job"));
  pool.ChangeLeader();
  pool.RunFor(std::chrono::seconds(1));
  CHECK(pool.dispatcher().HasStarted("job"));
  LONGS_EQUAL(0, pool.dispatcher().CountWaitingJobs("queue"));
}

// Fails when all occurrences that are due get records, however many they are,
// or when those that wait for memory never run.
TEST(RecurringJob, ManyDueOccurrencesStayWithinTheMemory) {
  constexpr int64_t kRepetitions = 200;
  FakePool::Options options;
  options.stamps_commands = true;
  // Late occurrences, so all are due at once.
  const JobSpecification job = Recurring(kTasks, kRepetitions, 1, 1);
  const int64_t reserved = 2 * BytesOfOpenJob(job);
  const int64_t overlap = 10 * BytesOfOccurrence(job);
  options.maximum_job_bytes = reserved + overlap;
  FakePool pool(options);
  pool.Submit("first", job);
  pool.Submit("second", job);
  int64_t longest = 0;
  const bool ended = pool.RunUntil(
      [&] {
        longest = std::max(longest, pool.dispatcher().overlap_bytes());
        return pool.Outcome("first") == JobOutcome::kCompleted &&
               pool.Outcome("second") == JobOutcome::kCompleted;
      },
      std::chrono::minutes(10));
  STRCMP_EQUAL("", pool.violation().c_str());
  CHECK(ended);
  CHECK(longest > 0);
  CHECK(longest <= overlap);
  CHECK(pool.dispatcher().counters().occurrences_held > 0);
  // Two jobs of two steps.
  LONGS_EQUAL(kRepetitions * kTasks * 4, pool.starts());
}

// Fails when the first occurrence of a job waits for memory that the later
// ones of another job have: each job has memory of its own for one.
TEST(RecurringJob, OccurrenceThatRunsAloneNeedsNoFurtherMemory) {
  FakePool::Options options;
  const JobSpecification job = Recurring(kTasks, 3, 1, 1);
  options.maximum_job_bytes = 1;
  FakePool pool(options);
  pool.Submit("first", job);
  pool.Submit("second", job);
  CHECK(pool.RunUntil(
      [&] {
        return pool.Outcome("first") == JobOutcome::kCompleted &&
               pool.Outcome("second") == JobOutcome::kCompleted;
      },
      std::chrono::minutes(1)));
  LONGS_EQUAL(0, pool.dispatcher().overlap_bytes());
}

}  // namespace
}  // namespace bramleyrail
