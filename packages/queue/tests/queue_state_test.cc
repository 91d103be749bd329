#include "packages/queue/queue.h"

#include <rapidcheck.h>

#include "absl/strings/str_cat.h"
#include "packages/queue/queue_codec.h"
#include "packages/queue/tests/two_step_job.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(QueueState){};

// Fails when a retried submission replaces the job or adds a second one.
TEST(QueueState, ResubmittedJobStaysOneJob) {
  QueueState state;
  CHECK(Apply(&state, Submission("a")).changed);
  CHECK(!Apply(&state, Submission("a")).changed);
  CHECK(Apply(&state, CancelQueuedJob{"a"}).changed);
  Apply(&state, Submission("a"));
  CHECK(state.FindJob("a")->outcome == JobOutcome::kCancelled);
}

// Fails when a job counts as completed before its last task is done.
TEST(QueueState, JobCompletesWithItsLastTask) {
  QueueState state;
  Apply(&state, Submission("a"));
  for (const TaskName& task : {TaskName{"a", 0, 0, 0}, TaskName{"a", 0, 0, 1},
                               TaskName{"a", 0, 1, 0}}) {
    CHECK(state.FindJob("a")->outcome == JobOutcome::kOpen);
    Apply(&state, RecordFinishedRuns{{Finished(task, 1, RunOutcome::kDone)}});
    Apply(&state, RecordFinishedRuns{{Finished(task, 1, RunOutcome::kDone)}});
  }
  CHECK(state.FindJob("a")->outcome == JobOutcome::kCompleted);
}

// TWICE: a leader that took over knew nothing of a worker that had been
// withdrawn and went on working. Fails when such a worker is forgotten before a
// leader knows that it runs nothing, or is still expected after its process has
// ended.
TEST(QueueState, WithdrawnWorkerIsKnownUntilItRunsNothing) {
  for (const int64_t draining : {0, 1}) {
    auto state = std::make_unique<QueueState>();
    WorkerRegistration worker;
    worker.id = "w";
    worker.started_unix_ms = 5;
    worker.address = "10.0.0.1:80";
    worker.draining = draining == 1;
    const auto withdraw = [&] {
      Apply(state.get(), PutWorker{worker});
      Apply(state.get(), RemoveWorker{"w", 0});
      state = QueueState::FromSnapshot(state->EncodeSnapshot()).value();
      LONGS_EQUAL(1, state->withdrawn_workers().size());
      CHECK(state->withdrawn_workers().at("w").registration == worker);
      CHECK(!state->workers().contains("w"));
    };
    withdraw();
    Apply(state.get(), RemoveWorker{"w", 0});  // Sent again.
    // A delayed heartbeat of an earlier incarnation, and a leader that another
    // one has replaced, say nothing of the worker.
    WorkerRegistration earlier = worker;
    earlier.started_unix_ms = 4;
    Apply(state.get(), PutWorker{earlier});
    CHECK(!state->workers().contains("w"));
    const int64_t epoch =
        Apply(state.get(), BeginLeadership{"leader"}).leader_epoch;
    Apply(state.get(), ForgetWithdrawnWorkers{epoch - 1, {{"w", 5}}});
    Apply(state.get(), ForgetWithdrawnWorkers{epoch, {{"w", 4}}});
    LONGS_EQUAL(1, state->withdrawn_workers().size());
    Apply(state.get(), ForgetWithdrawnWorkers{epoch, {{"w", 5}}});
    CHECK(state->withdrawn_workers().empty());
    // A process that has its address, and a later incarnation, show the end.
    worker.started_unix_ms = 6;
    withdraw();
    WorkerRegistration other = worker;
    other.id = "other";
    other.started_unix_ms = 7;
    Apply(state.get(), PutWorker{other});
    CHECK(state->withdrawn_workers().empty());
    worker.started_unix_ms = 8;
    withdraw();
    worker.started_unix_ms = 9;
    Apply(state.get(), PutWorker{worker});
    CHECK(state->withdrawn_workers().empty());
  }
}

// EVAC: a machine that had been frozen carried out the end of an evacuation
// that had been revoked meanwhile. Fails when an order takes effect after
// another one that its sender, or another operator, has sent later.
TEST(QueueState, EvacuationOrderWithAnOldRevisionHasNoEffect) {
  auto state = std::make_unique<QueueState>();
  const auto set = [&](bool evacuated, std::optional<int64_t> revision) {
    return Apply(state.get(), SetEvacuated{"east", evacuated, revision}).found;
  };
  const int64_t first = state->EvacuationRevision("east");
  CHECK(set(true, first));
  const int64_t late = state->EvacuationRevision("east");
  // The same order, sent again, and orders that change nothing are newer, too.
  CHECK(!set(true, first));
  CHECK(set(true, late));
  state = QueueState::FromSnapshot(state->EncodeSnapshot()).value();
  CHECK(!set(false, late));
  CHECK(state->IsEvacuated("east"));
  CHECK(set(false, state->EvacuationRevision("east")));
  CHECK(!state->IsEvacuated("east"));
  LONGS_EQUAL(0, state->EvacuationRevision("west"));
  CHECK(set(true, std::nullopt));
}

// UNASKED: fails when a submission that was held up on its way starts a job
// whose caller has cancelled it meanwhile and knows that it does not run.
TEST(QueueState, SubmissionAfterItsCancellationIsCancelled) {
  auto state = std::make_unique<QueueState>();
  CHECK(!Apply(state.get(), CancelQueuedJob{"a"}).found);
  CHECK(state->FindJob("a") == nullptr);
  state = QueueState::FromSnapshot(state->EncodeSnapshot()).value();
  Apply(state.get(), Submission("a"));
  CHECK(state->FindJob("a")->outcome == JobOutcome::kCancelled);
  CHECK(!Apply(state.get(), Submission("a")).changed);
  // The cancellation is kept as long as an ended job.
  Apply(state.get(), CancelQueuedJob{"b"});
  CHECK(!state->HasJobsEndedBefore(1'000));
  CHECK(state->HasJobsEndedBefore(1'001));
  Apply(state.get(), PurgeJobsEndedBefore{1'001});
  CHECK(!state->HasJobsEndedBefore(1'001));
  Apply(state.get(), Submission("b"));
  CHECK(state->FindJob("b")->outcome == JobOutcome::kOpen);
}

// Fails when a leader misses a change of the workers or of the open jobs, which
// it recognizes by the revisions.
TEST(QueueState, RevisionsFollowWorkersAndOpenJobs) {
  QueueState state;
  uint64_t workers = state.workers_revision();
  uint64_t jobs = state.jobs_revision();
  const auto check = [&](bool workers_changed, bool jobs_changed) {
    CHECK_EQUAL(workers_changed, workers != state.workers_revision());
    CHECK_EQUAL(jobs_changed, jobs != state.jobs_revision());
    workers = state.workers_revision();
    jobs = state.jobs_revision();
  };
  WorkerRegistration worker;
  worker.id = "w";
  worker.started_unix_ms = 1;
  Apply(&state, PutWorker{worker});
  check(true, false);
  ++worker.heartbeat_sequence;
  worker.draining = true;
  Apply(&state, PutWorker{worker});
  check(true, false);
  Apply(&state, RemoveWorker{"w", 1});
  check(true, false);
  Apply(&state, Submission("a"));
  check(false, true);
  Apply(&state,
        RecordFinishedRuns{{Finished({"a", 0, 0, 0}, 1, RunOutcome::kFailed)}});
  check(false, false);
  Apply(&state,
        RecordFinishedRuns{{Finished({"a", 0, 0, 0}, 2, RunOutcome::kFailed)}});
  check(false, true);
  CHECK(state.jobs_revision() != QueueState().jobs_revision());
}

// Fails when a leader that follows the changes misses a job that was added or
// has ended, or takes a state that was restored from a snapshot for the one
// that it has followed.
TEST(QueueState, ChangedJobsAreKnownSinceARevision) {
  using Ids = std::vector<std::string>;
  QueueState state;
  const uint64_t start = state.jobs_revision();
  Apply(&state, Submission("a"));
  const uint64_t with_a = state.jobs_revision();
  Apply(&state, Submission("b"));
  Apply(&state, CancelQueuedJob{"a"});
  CHECK(state.JobsChangedSince(start) == Ids({"a", "b", "a"}));
  CHECK(state.JobsChangedSince(with_a) == Ids({"b", "a"}));
  CHECK(state.JobsChangedSince(state.jobs_revision()) == Ids());
  const auto restored =
      QueueState::FromSnapshot(state.EncodeSnapshot()).value();
  CHECK(!restored->JobsChangedSince(state.jobs_revision()));
}

// Fails when the changes are kept without a bound, or when changes are missing
// after the bound was reached.
TEST(QueueState, ForgottenJobChangesAreReported) {
  QueueState state;
  const uint64_t start = state.jobs_revision();
  uint64_t followed = start;
  for (int job = 0; job < 3'000; ++job) {
    Apply(&state, Submission(absl::StrCat("job-", job)));
    const auto changed = state.JobsChangedSince(followed);
    CHECK(changed.has_value());
    LONGS_EQUAL(1, changed->size());
    followed = state.jobs_revision();
  }
  CHECK(!state.JobsChangedSince(start));
}

// Fails when one failure counts twice because a new leader records a finished
// run that an earlier leader recorded just before it lost the leadership.
TEST(QueueState, FailureOfARunCountsOnce) {
  QueueState state;
  Apply(&state, Submission("a"));
  const TaskName task{"a", 0, 0, 0};
  Apply(&state, RecordFinishedRuns{{Finished(task, 1, RunOutcome::kFailed)}});
  Apply(&state, RecordFinishedRuns{{Finished(task, 1, RunOutcome::kFailed)}});
  CHECK(state.FindJob("a")->outcome == JobOutcome::kOpen);
  Apply(&state,
        RecordFinishedRuns{{Finished(task, 10'001, RunOutcome::kFailed)}});
  CHECK(state.FindJob("a")->outcome == JobOutcome::kFailed);
}

// Fails when one crash of a worker counts twice, or when a job with a task that
// crashes its workers stays open.
TEST(QueueState, CrashUnderARunCountsOnce) {
  QueueState state;
  Apply(&state, Submission("a"));
  const TaskName task{"a", 0, 0, 0};
  for (const uint64_t run : {1, 1, 2, 2}) {
    Apply(&state, RecordFinishedRuns{
                      {Finished(task, run, RunOutcome::kCrashSuspected)}});
  }
  CHECK(state.FindJob("a")->outcome == JobOutcome::kOpen);
  LONGS_EQUAL(2, state.FindJob("a")->progress.at(task).crashes().all);
  Apply(&state, RecordFinishedRuns{
                    {Finished(task, 10'001, RunOutcome::kCrashSuspected)}});
  CHECK(state.FindJob("a")->outcome == JobOutcome::kFailed);
}

// Fails when a job is given up after one crash, or is not given up although no
// other run can have caused the second one.
TEST(QueueState, SecondCrashGivesAJobUpWhenOneIsAttributed) {
  QueueState state;
  Apply(&state, Submission("a"));
  const TaskName task{"a", 0, 0, 0};
  Apply(&state,
        RecordFinishedRuns{{Finished(task, 1, RunOutcome::kCrashAttributed)}});
  CHECK(state.FindJob("a")->outcome == JobOutcome::kOpen);
  Apply(&state,
        RecordFinishedRuns{{Finished(task, 2, RunOutcome::kCrashSuspected)}});
  CHECK(state.FindJob("a")->outcome == JobOutcome::kFailed);
}

// Fails when crashes that other runs may have caused end a long-running task.
TEST(QueueState, SuspectedCrashesKeepALongRunningTask) {
  QueueState state;
  SubmitJob submission = Submission("a");
  submission.specification.steps[0].long_running = true;
  Apply(&state, submission);
  const TaskName task{"a", 0, 0, 0};
  for (uint64_t run = 1; run <= 10; ++run) {
    Apply(&state, RecordFinishedRuns{
                      {Finished(task, run, RunOutcome::kCrashSuspected)}});
  }
  CHECK(state.FindJob("a")->outcome == JobOutcome::kOpen);
}

// Fails when a snapshot that was written before crashes were counted cannot be
// read.
TEST(QueueState, SnapshotWithoutCrashesIsRead) {
  const TaskProgress written{.failed_runs = {3}, .checkpoint = "c"};
  std::vector<std::byte> encoded = codec::Encode(written);
  // Four instead of six fields, the last of which are an empty list and 0.
  LONGS_EQUAL(0x86, static_cast<int>(encoded.front()));
  encoded.front() = std::byte{0x84};
  encoded.resize(encoded.size() - 2);
  const auto decoded = codec::Decode<TaskProgress>(encoded, "the progress");
  CHECK(decoded.has_value());
  LONGS_EQUAL(1, decoded.value().failed_runs.size());
  STRCMP_EQUAL("c", decoded.value().checkpoint.c_str());
  LONGS_EQUAL(0, decoded.value().crashes().all);
}

// Fails when a configuration is replaced by an older version, or by another
// text of the same version.
TEST(QueueState, OnlyAHigherVersionTakesEffect) {
  QueueState state;
  CHECK(Apply(&state, ReplaceConfiguration{{.version = 7, .text = "seven"}})
            .changed);
  CHECK(!Apply(&state, ReplaceConfiguration{{.version = 7, .text = "other"}})
             .changed);
  CHECK(!Apply(&state, ReplaceConfiguration{{.version = 3, .text = "three"}})
             .changed);
  STRCMP_EQUAL("seven", state.configuration().text.c_str());
}

// LIMIT: fails when a capacity that shrinks while the worker runs does not
// reach the leader.
TEST(QueueState, ChangedCapacityIsAChange) {
  QueueState state;
  WorkerRegistration worker{.id = "w",
                            .started_unix_ms = 100,
                            .address = "10.0.0.1:80",
                            .pool = "pool",
                            .capacity = {8'000, 16'000, 0},
                            .heartbeat_sequence = 1};
  Apply(&state, PutWorker{worker});
  worker.heartbeat_sequence = 2;
  CHECK(!Apply(&state, PutWorker{worker}).changed);
  worker.capacity.processor_millis = 2'000;
  worker.heartbeat_sequence = 3;
  CHECK(Apply(&state, PutWorker{worker}).changed);
  LONGS_EQUAL(2'000, state.workers().at("w").capacity.processor_millis);
}

// Fails when a delayed heartbeat of an earlier incarnation replaces the
// registration of the newer one.
TEST(QueueState, EarlierIncarnationDoesNotReplaceANewerOne) {
  QueueState state;
  WorkerRegistration worker{.id = "w",
                            .started_unix_ms = 200,
                            .address = "10.0.0.1:80",
                            .pool = "pool"};
  Apply(&state, PutWorker{worker});
  worker.started_unix_ms = 100;
  worker.draining = true;
  CHECK(!Apply(&state, PutWorker{worker}).changed);
  CHECK(!state.workers().at("w").draining);
}

// A heartbeat that was delayed beyond a change of the leader put a worker that
// drains, or that had left, into use again: only the earlier leader remembered
// the newer heartbeats.
TEST(QueueState, DelayedHeartbeatDoesNotBringBackAWorkerThatLeaves) {
  QueueState state;
  WorkerRegistration worker{.id = "w",
                            .started_unix_ms = 100,
                            .address = "10.0.0.1:80",
                            .heartbeat_sequence = 7};
  const WorkerRegistration ready = worker;
  worker.draining = true;
  worker.heartbeat_sequence = 8;
  Apply(&state, PutWorker{worker});
  CHECK(!Apply(&state, PutWorker{ready}).changed);
  CHECK(state.workers().at("w").draining);
  Apply(&state, RemoveWorker{"w", 0});
  // The state of a later leader comes from a snapshot.
  auto restored = QueueState::FromSnapshot(state.EncodeSnapshot()).value();
  CHECK(!Apply(restored.get(), PutWorker{ready}).changed);
  CHECK(!restored->workers().contains("w"));
  // The worker may start again under its id.
  worker.started_unix_ms = 200;
  worker.draining = false;
  worker.heartbeat_sequence = 1;
  CHECK(Apply(restored.get(), PutWorker{worker}).changed);
  CHECK(restored->workers().contains("w"));
}

// Fails when a removal that was meant for an earlier incarnation keeps the
// later one out.
TEST(QueueState, WorkerThatDidNotDrainRegistersAgainAfterARemoval) {
  QueueState state;
  const WorkerRegistration worker{.id = "w",
                                  .started_unix_ms = 100,
                                  .address = "10.0.0.1:80",
                                  .heartbeat_sequence = 7};
  Apply(&state, PutWorker{worker});
  Apply(&state, RemoveWorker{"w", 0});
  CHECK(Apply(&state, PutWorker{worker}).changed);
}

// Fails when a worker stays registered although another process uses its
// address.
TEST(QueueState, AddressBelongsToOneWorker) {
  QueueState state;
  Apply(&state,
        PutWorker{
            {.id = "old", .started_unix_ms = 100, .address = "10.0.0.1:80"}});
  Apply(&state,
        PutWorker{
            {.id = "new", .started_unix_ms = 200, .address = "10.0.0.1:80"}});
  CHECK(!state.workers().contains("old"));
  CHECK(state.workers().contains("new"));
}

// Fails when a snapshot loses or changes a part of the state.
TEST(QueueState, SnapshotKeepsEverything) {
  CHECK(rc::check("round trip", [] {
    QueueState state;
    const auto choices =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
    int number = 0;
    for (const int choice : choices) {
      const std::string id = absl::StrCat("job", number / 3);
      ++number;
      if (choice < 3) {
        Apply(&state, Submission(id));
      } else if (choice < 5) {
        Apply(&state,
              RecordFinishedRuns{{Finished(
                  {id, 0, 0, choice - 3}, number,
                  choice == 3 ? RunOutcome::kFailed : RunOutcome::kDone)}});
      } else if (choice == 5) {
        Apply(&state, SetEvacuated{id, number % 2 == 0});
        Apply(&state, RecordFinishedRuns{{Finished(
                          {id, 0, 0, 0}, number,
                          number % 2 == 0 ? RunOutcome::kCrashAttributed
                                          : RunOutcome::kCrashSuspected)}});
      } else if (choice == 6) {
        Apply(&state, StartWave{{.number = number, .machines = {"m"}}});
      } else if (choice == 7) {
        Apply(&state, PutWorker{{.id = id, .started_unix_ms = number}});
        Apply(&state, RemoveWorker{id, 0});
      } else if (choice == 8) {
        Apply(&state, CancelQueuedJob{absl::StrCat("job", number)});
      } else {
        Apply(&state, BeginLeadership{"instance"});
      }
    }
    const auto snapshot = state.EncodeSnapshot();
    const auto restored = QueueState::FromSnapshot(snapshot);
    RC_ASSERT(restored.has_value());
    RC_ASSERT(restored.value()->EncodeSnapshot() == snapshot);
    RC_ASSERT(restored.value()->job_bytes() == state.job_bytes());
    // The format of the versions that encode and decode a snapshot as a whole.
    const auto whole = codec::Decode<QueueSnapshot>(snapshot, "the snapshot");
    RC_ASSERT(whole.has_value());
    const auto again = QueueState::FromSnapshot(codec::Encode(whole.value()));
    RC_ASSERT(again.value()->EncodeSnapshot() == snapshot);
  }));
}

TEST_GROUP(QueueConfiguration){};

// Fails when a configuration is accepted although its queues cannot run jobs or
// cannot be told apart.
TEST(QueueConfiguration, RejectsInvalidQueues) {
  QueueConfiguration valid;
  valid.version = 1;
  valid.pools.push_back({.name = "pool"});
  valid.queues.push_back({.name = "q",
                          .host = "h",
                          .path_prefix = "/p/",
                          .pool = "pool",
                          .timeout_ms = 1'000});
  CHECK(ValidateQueues(valid).has_value());
  QueueConfiguration unknown_pool = valid;
  unknown_pool.queues[0].pool = "other";
  CHECK(!ValidateQueues(unknown_pool));
  QueueConfiguration same_prefix = valid;
  same_prefix.queues.push_back(valid.queues[0]);
  CHECK(!ValidateQueues(same_prefix));
  QueueConfiguration no_timeout = valid;
  no_timeout.queues[0].timeout_ms = 0;
  CHECK(!ValidateQueues(no_timeout));
}

// Fails when the queue with a shorter prefix gets the jobs of a queue with a
// longer one.
TEST(QueueConfiguration, LongestPrefixWins) {
  QueueConfiguration configuration;
  configuration.queues.push_back(
      {.name = "short", .host = "h", .path_prefix = "/a/"});
  configuration.queues.push_back(
      {.name = "long", .host = "h", .path_prefix = "/a/b/"});
  STRCMP_EQUAL("long", configuration.FindQueue("h", "/a/b/1")->name.c_str());
  STRCMP_EQUAL("short", configuration.FindQueue("h", "/a/1")->name.c_str());
  CHECK(configuration.FindQueue("other", "/a/1") == nullptr);
}

}  // namespace
}  // namespace bramleyrail
