// Planned starts of tasks that are larger than any gap, and what starts before.

#include "packages/dispatch/planned_start.h"

#include "packages/dispatch/start_forecast.h"
#include "packages/dispatch/tests/busy_pool.h"
#include "packages/dispatch/worker_selector.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr int64_t kObjectiveMs = 60'000;
constexpr int64_t kLargeMillis = BusyPool::kWorkerMillis * 7 / 8;
// Half a second until a start is planned, the runs on the worker, another one
// that has just begun there, and the orders.
constexpr Milliseconds kMaximumWait =
    Milliseconds(500) + 3 * BusyPool::kTaskTime;

JobSpecification LargeJob() {
  JobSpecification job = FakePool::Job(1, 1);
  job.steps[0].size.processor_millis = kLargeMillis;
  return job;
}

bool IsRunningWithin(BusyPool* busy,
                     const std::string& id,
                     Milliseconds limit = kMaximumWait) {
  return busy->RunUntil(
      [&] {
        return busy->pool().IsRunning({id, 0, 0, 0});
      },
      limit);
}

TEST_GROUP(PlannedStart){};

// Pattern: a large task among a stream of small ones, whose estimates are wrong
// by nine tenths either way. Fails when the small ones take each part of its
// room as soon as it is free.
TEST(PlannedStart, LargeTaskStartsWhenTheRunsOfAWorkerEnd) {
  for (const int64_t wrong_by : {1, 10, 100}) {
    BusyPool busy(
        2, {.estimated_task_ms = BusyPool::kTaskTime.count() * wrong_by / 10,
            .objective_ms = kObjectiveMs});
    busy.Submit("large", LargeJob());
    CHECK(IsRunningWithin(&busy, "large"));
  }
}

// Pattern: a takeover under the same load. Fails when a leader that has learned
// no durations yet plans no start, or one that is too late.
TEST(PlannedStart, LargeTaskStartsAfterATakeover) {
  BusyPool busy(2, {.objective_ms = kObjectiveMs});
  busy.pool().ChangeLeader();
  busy.Submit("large", LargeJob());
  // The new leader first asks the workers what they run.
  CHECK(IsRunningWithin(&busy, "large", kMaximumWait + Milliseconds(500)));
}

// Pattern: two large steps and one gap. Fails when each holds room that the
// other one needs, or the second one is forgotten.
TEST(PlannedStart, TwoLargeTasksShareOneWorkerInTurn) {
  BusyPool busy(1, {.objective_ms = kObjectiveMs});
  busy.Submit("first", LargeJob());
  busy.Submit("second", LargeJob());
  CHECK(IsRunningWithin(&busy, "first"));
  CHECK(IsRunningWithin(&busy, "second", kMaximumWait + BusyPool::kTaskTime));
}

// Fails when a plan on a worker that has died keeps the task from another one.
TEST(PlannedStart, PlanEndsWithItsWorker) {
  for (const int silent : {0, 1}) {
    BusyPool busy(2, {.objective_ms = kObjectiveMs});
    busy.Submit("large", LargeJob());
    busy.RunFor(Milliseconds(600));
    busy.pool().SetPartitioned(silent, true);
    CHECK(IsRunningWithin(&busy, "large", 2 * kMaximumWait));
  }
}

// Fails when a plan outlives its job and keeps the worker empty.
TEST(PlannedStart, PlanEndsWithItsJob) {
  BusyPool busy(1, {.objective_ms = kObjectiveMs});
  busy.Submit("large", LargeJob());
  busy.RunFor(Milliseconds(700));
  busy.pool().Apply(CancelQueuedJob{"large"});
  CHECK(busy.RunUntil(
      [&] { return busy.pool().RunsOn(0) == BusyPool::kSmallTasksPerWorker; },
      4 * BusyPool::kTaskTime));
}

// Pattern: many tasks as large as all others in a full pool. Fails when room is
// held for tasks that get it by their urgency, so that it stands empty.
TEST(PlannedStart, TasksThatAreNoLargerThanOthersHoldNoRoom) {
  BusyPool busy(2, {.objective_ms = kObjectiveMs});
  for (int job = 0; job < 4; ++job) {
    JobSpecification equal = FakePool::Job(4, 1);
    equal.steps[0].size.processor_millis =
        BusyPool::kWorkerMillis / BusyPool::kSmallTasksPerWorker;
    busy.Submit(absl::StrCat("equal", job), std::move(equal));
  }
  busy.RunFor(Milliseconds(700));
  LONGS_EQUAL(0, busy.pool().dispatcher().counters().starts_planned);
}

constexpr MonotonicTime kNow{std::chrono::hours(1)};
constexpr Milliseconds kUntilStart{1'000};

// A worker with a run that ends when the planned start is due, and some room.
TEST_GROUP(Backfill) {
  const WorkerSelector selector_{WorkerSelector::Options{}};
  LatencyInterferenceModel model_;
  QueuedJob job_;
  JobStep running_;
  JobStep step_;
  TrackedWorker worker_{
      {.id = "w", .pool = "pool", .capacity = {8'000, 64'000, 0}}};
  WorkerSelection selection_;

  void setup() override {
    job_.pool = "pool";
    job_.priority = 1;
    TrackedRun run;
    run.step = &running_;
    run.reserved = {6'000, 1'000, 0};
    run.started = kNow;
    run.expected_end = kNow + kUntilStart;
    worker_.AddRun({{"running", 0, 0, 0}, 1}, std::move(run));
    Plan(8'000);
    step_.size = {2'000, 1'000, 0};
  }

  void Plan(int64_t processor_millis) {
    worker_.planned_start = PlannedStart{.step = {"large", 0, 0, 0},
                                         .priority = 1,
                                         .size = {processor_millis, 1'000, 0},
                                         .planned = kNow,
                                         .first_start = kNow + kUntilStart,
                                         .start = kNow + kUntilStart,
                                         .room_kept_from = kNow + kUntilStart};
  }

  bool MayStart(std::optional<Milliseconds> longest_duration,
                const TaskName& task = {"small", 0, 0, 0}) {
    WorkerRequest request;
    request.job = &job_;
    request.step = &step_;
    request.task = task;
    request.now = kNow;
    request.longest_duration = longest_duration;
    selection_ = selector_.Select(request, {.workers = {&worker_}}, model_);
    return selection_.worker != nullptr;
  }
};

// Fails when a small task that ends before the planned start waits for it, or
// one that would delay it starts.
TEST(Backfill, OnlyATaskThatEndsInTimeStartsBefore) {
  CHECK(MayStart(kUntilStart - Milliseconds(100)));
  CHECK(!MayStart(kUntilStart + Milliseconds(100)));
  LONGS_EQUAL(1, selection_.rejections.planned);
  CHECK(!MayStart(std::nullopt));
}

// Fails when a task is held although the planned one has room beside it.
TEST(Backfill, TaskBesideThePlannedOneStarts) {
  Plan(6'000);
  CHECK(MayStart(10 * kUntilStart));
  Plan(6'001);
  CHECK(!MayStart(10 * kUntilStart));
}

// Fails when the planned task itself is held by its plan.
TEST(Backfill, PlannedTaskIsNotHeld) {
  CHECK(MayStart(10 * kUntilStart, {"large", 0, 0, 3}));
}

// Fails when the plan of a task holds one of a higher priority.
TEST(Backfill, HigherPriorityIsNotHeld) {
  job_.priority = 0;
  CHECK(MayStart(10 * kUntilStart));
}

// LOST: fails when a long-running task that fits is held by a plan.
TEST(Backfill, LongRunningTaskIsNotHeld) {
  step_.long_running = true;
  CHECK(MayStart(std::nullopt));
}

// Fails when a best-effort task, which takes no room for processors, is held.
TEST(Backfill, BestEffortTaskIsNotHeld) {
  step_.best_effort = true;
  CHECK(MayStart(10 * kUntilStart));
}

// Pattern: small tasks leave gaps that large ones can't use. Fails when a small
// task breaks the only gap for the large one that waits, although another
// worker, which is fuller, has room.
TEST(Backfill, GapOfALargeWaitingTaskIsKept) {
  TrackedWorker fuller{
      {.id = "x", .pool = "pool", .capacity = {8'000, 64'000, 0}}};
  TrackedRun run;
  run.step = &running_;
  run.reserved = {3'000, 1'000, 0};
  fuller.AddRun({{"other", 0, 0, 0}, 1}, std::move(run));
  worker_.RemoveRun({{"running", 0, 0, 0}, 1});
  worker_.planned_start.reset();
  WorkerRequest request;
  request.job = &job_;
  request.step = &step_;
  request.now = kNow;
  const EligibleWorkers both{.workers = {&worker_, &fuller}};
  CHECK(selector_.Select(request, both, model_).worker == &worker_);
  request.largest_waiting_millis = 7'000;
  CHECK(selector_.Select(request, both, model_).worker == &fuller);
}

TEST_GROUP(StartForecast){};

// Fails when a run that outlasts its estimate counts as ending at once, or not
// at all.
TEST(StartForecast, RunThatOutlastsItsEstimateEndsLater) {
  TrackedRun run;
  run.started = kNow;
  run.expected_end = kNow + Milliseconds(1'000);
  CHECK(ExpectedEnd(run, kNow + Milliseconds(500)) ==
        kNow + Milliseconds(1'000));
  CHECK(ExpectedEnd(run, kNow + Milliseconds(2'000)) ==
        kNow + Milliseconds(3'000));
}

}  // namespace
}  // namespace bramleyrail
