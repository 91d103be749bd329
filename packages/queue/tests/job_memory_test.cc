#include "packages/queue/job_memory.h"

#include <memory>

#include "packages/queue/queue_codec.h"
#include "packages/queue/tests/two_step_job.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(JobMemory){};

// Guards against progress of a recurring job that grows with each occurrence
// until the job ends, and against a report that counts for an occurrence after
// its progress was deleted.
TEST(JobMemory, FinishedOccurrenceKeepsNoProgress) {
  constexpr int64_t kRepetitions = 130;
  auto state = std::make_unique<QueueState>();
  SubmitJob submission = Submission("a");
  submission.specification.repetitions = kRepetitions;
  submission.specification.interval_ms = 1'000;
  Apply(state.get(), submission);
  const int64_t bytes = state->job_bytes();
  // The last occurrence ends first.
  for (int64_t number = kRepetitions - 1; number >= 0; --number) {
    CHECK(state->FindJob("a")->outcome == JobOutcome::kOpen);
    for (const TaskName& task :
         {TaskName{"a", number, 0, 0}, TaskName{"a", number, 0, 1},
          TaskName{"a", number, 1, 0}}) {
      Apply(state.get(),
            RecordFinishedRuns{{Finished(task, 1, RunOutcome::kDone)}});
    }
    for (const RunOutcome late : {RunOutcome::kDone, RunOutcome::kFailed}) {
      Apply(state.get(),
            RecordFinishedRuns{{Finished({"a", number, 0, 0}, 2, late)}});
    }
    CHECK(state->FindJob("a")->progress.empty());
    state = QueueState::FromSnapshot(state->EncodeSnapshot()).value();
    CHECK(number == 0 || state->job_bytes() == bytes);
  }
  CHECK(state->FindJob("a")->outcome == JobOutcome::kCompleted);
  LONGS_EQUAL(0, state->FindJob("a")->unfinished_tasks);
}

// Guards against a snapshot of a version that keeps the progress of finished
// occurrences: its job would never end, or keep its progress.
TEST(JobMemory, ProgressOfAnEarlierVersionIsReduced) {
  QueueSnapshot snapshot;
  snapshot.version = 1;
  JobRecord record;
  record.job.id = "a";
  record.job.specification = TwoSteps();
  record.job.specification.repetitions = 2;
  record.job.unfinished_tasks = 2;
  for (const TaskName& task :
       {TaskName{"a", 1, 0, 0}, TaskName{"a", 1, 0, 1}, TaskName{"a", 1, 1, 0},
        TaskName{"a", 0, 0, 1}}) {
    record.progress.push_back({task, {.done = true}});
  }
  snapshot.jobs.push_back(record);
  const auto state = QueueState::FromSnapshot(codec::Encode(snapshot)).value();
  CHECK(state->FindJob("a")->finished_occurrences.Contains(1));
  LONGS_EQUAL(1, state->FindJob("a")->progress.size());
  for (const TaskName& task :
       {TaskName{"a", 0, 0, 0}, TaskName{"a", 0, 1, 0}}) {
    Apply(state.get(),
          RecordFinishedRuns{{Finished(task, 1, RunOutcome::kDone)}});
  }
  CHECK(state->FindJob("a")->outcome == JobOutcome::kCompleted);
}

// Guards against memory of ended jobs that counts for ever, so that no job
// could be accepted any more, or that stops counting while it is in use.
TEST(JobMemory, MemoryOfAJobCountsUntilItIsForgotten) {
  QueueState state;
  Apply(&state, Submission("a"));
  const int64_t open = state.job_bytes();
  LONGS_EQUAL(BytesOfOpenJob(TwoSteps()), open);
  Apply(&state, Submission("a"));
  LONGS_EQUAL(open, state.job_bytes());
  Apply(&state, CancelQueuedJob{"a"});
  CHECK(state.job_bytes() > 0);
  CHECK(state.job_bytes() < open);
  Apply(&state, CancelQueuedJob{"unknown"});
  Apply(&state, PurgeJobsEndedBefore{2'000});
  LONGS_EQUAL(0, state.job_bytes());
}

TEST_GROUP(JobSpecification){};

// Fault: jobs with a payload of 250,000 bytes were accepted, and 170 of them
// took each control instance over the memory of its machine.
TEST(JobSpecification, PayloadBeyondItsLimitIsInvalid) {
  JobSpecification job = TwoSteps();
  job.payload = std::string(4'000, 'x');
  CHECK(ValidateJob(job).has_value());
  job.payload.push_back('x');
  CHECK(ValidateJob(job).has_error());
}

}  // namespace
}  // namespace bramleyrail
