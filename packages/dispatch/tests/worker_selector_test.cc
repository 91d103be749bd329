#include "packages/dispatch/worker_selector.h"

#include "packages/dispatch/fakes/worker_with_latency_target.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(WorkerSelector) {
  const JobStep interfering_ =
      WorkerWithLatencyTarget::BestEffortStep("disturber");
  const JobStep harmless_ = WorkerWithLatencyTarget::BestEffortStep("harmless");
  const WorkerSelector selector_{WorkerSelector::Options{}};
  QueuedJob job_;
  LatencyInterferenceModel model_;
  TrackedWorkers workers_;
  WorkerRejections rejections_;  // Of the last selection.
  // Best-effort runs of the image "disturber" interfere with its run.
  WorkerWithLatencyTarget sensitive_{"a-sensitive"};
  WorkerWithLatencyTarget robust_{"b-robust", "robust"};

  void setup() override {
    job_.pool = "pool";
    WorkerWithLatencyTarget::TrainModel(interfering_, harmless_, &model_);
    for (WorkerWithLatencyTarget* worker : {&sensitive_, &robust_}) {
      worker->SetTailLatency(8);
      workers_.emplace(
          worker->tracked_worker().registration().id,
          std::make_unique<TrackedWorker>(worker->tracked_worker()));
    }
  }

  std::string Select(const JobStep& step, Milliseconds lateness,
                     Milliseconds waited = Milliseconds(0)) {
    WorkerRequest request;
    request.job = &job_;
    request.step = &step;
    request.lateness = lateness;
    request.waited = waited;
    const WorkerSelection selection = selector_.Select(
        request,
        WorkerSelector::FindEligible(workers_, job_.pool, {},
                                     WorkerWithLatencyTarget::Now()),
        model_);
    rejections_ = selection.rejections;
    return selection.worker == nullptr ? ""
                                       : selection.worker->registration().id;
  }
};

// Fails when a best-effort run starts beside a run that its image is known to
// interfere with.
TEST(WorkerSelector, InterferingRunAvoidsAffectedRuns) {
  STRCMP_EQUAL("b-robust", Select(interfering_, Milliseconds(-5'000)).c_str());
  workers_.erase("b-robust");
  STRCMP_EQUAL("", Select(interfering_, Milliseconds(-5'000)).c_str());
}

// Fails when harmless runs use up the only workers that suit interfering
// images.
TEST(WorkerSelector, HarmlessRunLeavesCompatibleWorkersToOthers) {
  STRCMP_EQUAL("a-sensitive", Select(harmless_, Milliseconds(-5'000)).c_str());
}

// Fails when a best-effort run starts beside a run that currently misses its
// target.
TEST(WorkerSelector, MissedTargetExcludesBestEffortRuns) {
  sensitive_.SetTailLatency(2 * WorkerWithLatencyTarget::kTargetMs);
  workers_["a-sensitive"] =
      std::make_unique<TrackedWorker>(sensitive_.tracked_worker());
  STRCMP_EQUAL("b-robust", Select(harmless_, Milliseconds(5'000)).c_str());
}

// Pattern: best-effort work behind a full fleet. Every worker runs something
// that the task interferes with, or that misses its target, while each has
// capacity; the task waited 46 s, and nothing bounded that.
TEST(WorkerSelector, BestEffortTaskDoesNotWaitWithoutABound) {
  workers_.erase("b-robust");
  STRCMP_EQUAL("", Select(interfering_, Milliseconds(60'000)).c_str());
  STRCMP_EQUAL(
      "a-sensitive",
      Select(interfering_, Milliseconds(60'000), Milliseconds(6'000)).c_str());
  sensitive_.SetTailLatency(2 * WorkerWithLatencyTarget::kTargetMs);
  workers_["a-sensitive"] =
      std::make_unique<TrackedWorker>(sensitive_.tracked_worker());
  STRCMP_EQUAL(
      "", Select(harmless_, Milliseconds(60'000), Milliseconds(5'999)).c_str());
  STRCMP_EQUAL(
      "a-sensitive",
      Select(harmless_, Milliseconds(60'000), Milliseconds(6'000)).c_str());
}

// Fails when a task that has waited for long is sent beside a missed target
// although another worker misses none.
TEST(WorkerSelector, TaskThatWaitedAvoidsMissedTargets) {
  robust_.SetTailLatency(2 * WorkerWithLatencyTarget::kTargetMs);
  workers_["b-robust"] =
      std::make_unique<TrackedWorker>(robust_.tracked_worker());
  STRCMP_EQUAL(
      "a-sensitive",
      Select(interfering_, Milliseconds(60'000), Milliseconds(6'000)).c_str());
}

// Fails when the log does not say why no worker runs a task.
TEST(WorkerSelector, CountsTheReasonsOfRejections) {
  sensitive_.SetTailLatency(2 * WorkerWithLatencyTarget::kTargetMs);
  workers_["a-sensitive"] =
      std::make_unique<TrackedWorker>(sensitive_.tracked_worker());
  workers_["b-robust"]->contacted = false;
  STRCMP_EQUAL("", Select(harmless_, Milliseconds(0)).c_str());
  LONGS_EQUAL(1, rejections_.target_missed);
  LONGS_EQUAL(1, rejections_.ineligible);
  JobStep large = harmless_;
  large.size.memory_mib = 1'000'000'000;
  STRCMP_EQUAL("", Select(large, Milliseconds(0)).c_str());
  LONGS_EQUAL(1, rejections_.no_capacity);
}

// Fails when long-running tasks are spread, which leaves no worker with
// capacity for a large task.
TEST(WorkerSelector, LongRunningTasksArePackedAndOthersSpread) {
  workers_.clear();
  JobStep step;
  step.size = {2'000, 1'000, 0};
  for (const char* id : {"a-empty", "b-used"}) {
    workers_.emplace(
        id, std::make_unique<TrackedWorker>(WorkerRegistration{
                .id = id, .pool = "pool", .capacity = {16'000, 64'000, 0}}));
    workers_[id]->contacted = true;
    workers_[id]->ObserveClock(1, WorkerWithLatencyTarget::Now());
    workers_[id]->last_response = WorkerWithLatencyTarget::Now();
  }
  TrackedRun run;
  run.step = &step;
  run.reserved = step.size;
  workers_["b-used"]->AddRun({{"other", 0, 0, 0}, 1}, run);
  STRCMP_EQUAL("a-empty", Select(step, Milliseconds(0)).c_str());
  step.long_running = true;
  STRCMP_EQUAL("b-used", Select(step, Milliseconds(0)).c_str());
}

// Fails when an interfering run starts without a CPU limit beside the runs that
// it affects.
TEST(WorkerSelector, InitialCpuLimitLeavesHeadroom) {
  CHECK(WorkerSelector::InitialCpuLimit(
            interfering_, sensitive_.tracked_worker(), model_) < 100);
  LONGS_EQUAL(100, WorkerSelector::InitialCpuLimit(
                       harmless_, sensitive_.tracked_worker(), model_));
}

}  // namespace
}  // namespace bramleyrail
