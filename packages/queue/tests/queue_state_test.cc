#include "packages/queue/queue.h"

#include <rapidcheck.h>

#include "absl/strings/str_cat.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

JobSpecification TwoSteps() {
  JobSpecification job;
  job.payload = "payload";
  job.steps.resize(2);
  job.steps[0].tasks = 2;
  job.steps[1].tasks = 1;
  job.steps[1].predecessors = {0};
  return job;
}

SubmitJob Submission(const std::string& id) {
  SubmitJob command;
  command.id = id;
  command.queue = "queue";
  command.pool = "pool";
  command.maximum_attempts = 2;
  command.job = TwoSteps();
  return command;
}

QueueOutcome Apply(QueueState* state, QueueCommandBody body) {
  // Through the codec, as in the log.
  const QueueCommand command{1'000, std::move(body)};
  return state->Apply(DecodeQueueCommand(EncodeQueueCommand(command)).value());
}

TaskRunEnd End(const TaskName& task, uint64_t run, RunEnd end) {
  return {task, run, end, ""};
}

TEST_GROUP(QueueState){};

// Guards against a second job for a submission that arrives again.
TEST(QueueState, ResubmittedJobStaysOneJob) {
  QueueState state;
  CHECK(Apply(&state, Submission("a")).changed);
  CHECK(!Apply(&state, Submission("a")).changed);
  CHECK(Apply(&state, CancelQueuedJob{"a"}).changed);
  Apply(&state, Submission("a"));
  CHECK(state.FindJob("a")->outcome == JobOutcome::kCancelled);
}

// Guards against a job that is shown as completed before its last task.
TEST(QueueState, JobCompletesWithItsLastTask) {
  QueueState state;
  Apply(&state, Submission("a"));
  for (const TaskName& task : {TaskName{"a", 0, 0, 0}, TaskName{"a", 0, 0, 1},
                               TaskName{"a", 0, 1, 0}}) {
    CHECK(state.FindJob("a")->outcome == JobOutcome::kOpen);
    Apply(&state, RecordRunEnds{{End(task, 1, RunEnd::kDone)}});
    Apply(&state, RecordRunEnds{{End(task, 1, RunEnd::kDone)}});
  }
  CHECK(state.FindJob("a")->outcome == JobOutcome::kCompleted);
}

// Guards against one failure that counts twice, since a new leader records the
// ends again that an earlier one recorded just before it was lost.
TEST(QueueState, FailureOfARunCountsOnce) {
  QueueState state;
  Apply(&state, Submission("a"));
  const TaskName task{"a", 0, 0, 0};
  Apply(&state, RecordRunEnds{{End(task, 1, RunEnd::kFailed)}});
  Apply(&state, RecordRunEnds{{End(task, 1, RunEnd::kFailed)}});
  CHECK(state.FindJob("a")->outcome == JobOutcome::kOpen);
  Apply(&state, RecordRunEnds{{End(task, 10'001, RunEnd::kFailed)}});
  CHECK(state.FindJob("a")->outcome == JobOutcome::kFailed);
}

// Guards against a configuration that goes back to an older version.
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

// Guards against a late heartbeat of an earlier life that displaces the later.
TEST(QueueState, EarlierLifeOfAWorkerDoesNotComeBack) {
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

// Guards against a worker that counts as there although another process has
// its address.
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

// Guards against a snapshot that loses or changes part of the state.
TEST(QueueState, SnapshotKeepsEverything) {
  CHECK(rc::check("round trip", [] {
    QueueState state;
    const auto choices =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    int number = 0;
    for (const int choice : choices) {
      const std::string id = absl::StrCat("job", number / 3);
      ++number;
      if (choice < 3) {
        Apply(&state, Submission(id));
      } else if (choice < 5) {
        Apply(&state, RecordRunEnds{{End(
                          {id, 0, 0, choice - 3}, number,
                          choice == 3 ? RunEnd::kFailed : RunEnd::kDone)}});
      } else if (choice == 5) {
        Apply(&state, SetEvacuated{id, number % 2 == 0});
      } else if (choice == 6) {
        Apply(&state, StartWave{{.number = number, .machines = {"m"}}});
      } else {
        Apply(&state, BeginLeadership{"instance"});
      }
    }
    const auto snapshot = state.EncodeSnapshot();
    const auto restored = QueueState::FromSnapshot(snapshot);
    RC_ASSERT(restored.has_value());
    RC_ASSERT(restored.value()->EncodeSnapshot() == snapshot);
  }));
}

TEST_GROUP(QueueConfiguration){};

// Guards against a configuration that is accepted although it cannot work.
TEST(QueueConfiguration, RefusesWhatCannotWork) {
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
  QueueConfiguration same_place = valid;
  same_place.queues.push_back(valid.queues[0]);
  CHECK(!ValidateQueues(same_place));
  QueueConfiguration no_timeout = valid;
  no_timeout.queues[0].timeout_ms = 0;
  CHECK(!ValidateQueues(no_timeout));
}

// Guards against a shorter prefix that takes the jobs of a longer one.
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
