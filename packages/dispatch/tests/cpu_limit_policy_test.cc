#include "packages/dispatch/cpu_limit_policy.h"

#include "packages/dispatch/fakes/worker_with_latency_target.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr int64_t kTargetMs = WorkerWithLatencyTarget::kTargetMs;

std::vector<CpuLimitPolicy::Change> Decide(
    WorkerWithLatencyTarget* worker,
    const LatencyInterferenceModel& model) {
  return CpuLimitPolicy().Decide(worker->tracked_worker(), model,
                                 WorkerWithLatencyTarget::Now());
}

TEST_GROUP(CpuLimitPolicy) {
  const JobStep interfering_ =
      WorkerWithLatencyTarget::BestEffortStep("disturber");
  const JobStep harmless_ = WorkerWithLatencyTarget::BestEffortStep("harmless");
  LatencyInterferenceModel model_;
  WorkerWithLatencyTarget worker_;
};

// Fails when a target stays missed because the best-effort run on the worker
// has an image without samples, from which the model expects no loss.
TEST(CpuLimitPolicy, ThrottlesAnUnknownRunBesideAMissedTarget) {
  const RunKey unknown = worker_.AddBestEffortRun("a", &interfering_, 100, 10);
  worker_.SetTailLatency(3 * kTargetMs);
  const auto changes = Decide(&worker_, model_);
  LONGS_EQUAL(1, changes.size());
  CHECK(changes[0].run == unknown);
  CHECK(changes[0].cpu_limit_percent < 100);
}

// Fails when a run stays throttled although no target is missed any more.
TEST(CpuLimitPolicy, RaisesTheLimitImmediatelyWithoutInterference) {
  WorkerWithLatencyTarget::TrainModel(interfering_, harmless_, &model_);
  worker_.AddBestEffortRun("a", &harmless_, 25, 10);
  worker_.SetTailLatency(kTargetMs / 2);
  const auto changes = Decide(&worker_, model_);
  LONGS_EQUAL(1, changes.size());
  LONGS_EQUAL(100, changes[0].cpu_limit_percent);
}

// Fails when the limit of an interfering run is raised so far that the run
// takes back the headroom that throttling it provided.
TEST(CpuLimitPolicy, InterferingRunStaysThrottledWhileHeadroomIsNeeded) {
  WorkerWithLatencyTarget::TrainModel(interfering_, harmless_, &model_);
  worker_.AddBestEffortRun("a", &interfering_, 25, 10);
  worker_.tracked_worker().FindRun({{"a", 0, 0, 0}, 1})->cpu_limit_changed =
      WorkerWithLatencyTarget::Now() - Milliseconds(1'000);
  worker_.SetTailLatency(kTargetMs * 2 / 3);
  LONGS_EQUAL(0, Decide(&worker_, model_).size());
}

// Fails when a harmless run is throttled for the interference of another run.
TEST(CpuLimitPolicy, ThrottlesOnlyTheInterferingRun) {
  WorkerWithLatencyTarget::TrainModel(interfering_, harmless_, &model_);
  const RunKey active = worker_.AddBestEffortRun("a", &interfering_, 100, 10);
  worker_.AddBestEffortRun("b", &harmless_, 100, 10);
  worker_.SetTailLatency(3 * kTargetMs);
  const auto changes = Decide(&worker_, model_);
  LONGS_EQUAL(1, changes.size());
  CHECK(changes[0].run == active);
  CHECK(changes[0].move);
}

// Fails when a target is missed for seconds because the model expects no loss
// from the runs on the worker.
TEST(CpuLimitPolicy, LongMissPausesEveryBestEffortRun) {
  WorkerWithLatencyTarget::TrainModel(interfering_, harmless_, &model_);
  worker_.AddBestEffortRun("a", &harmless_, 100, 10);
  worker_.SetTailLatency(2 * kTargetMs);
  worker_.SetOverTargetSince(WorkerWithLatencyTarget::Now() -
                             Milliseconds(1'000));
  LONGS_EQUAL(0, Decide(&worker_, model_).size());
  worker_.SetOverTargetSince(WorkerWithLatencyTarget::Now() -
                             Milliseconds(2'000));
  LONGS_EQUAL(1, Decide(&worker_, model_).size());
}

// Fails when a paused run that cannot be moved without losing its work gets a
// change in every decision, which prevents the throttling of another
// interfering run.
TEST(CpuLimitPolicy, PausedRunThatCannotMoveGetsNoChange) {
  WorkerWithLatencyTarget::TrainModel(interfering_, harmless_, &model_);
  worker_.AddBestEffortRun("paused", &interfering_, 0, 80);
  const RunKey active =
      worker_.AddBestEffortRun("active", &interfering_, 100, 10);
  worker_.SetTailLatency(6 * kTargetMs);
  const auto changes = Decide(&worker_, model_);
  LONGS_EQUAL(1, changes.size());
  CHECK(changes[0].run == active);
}

}  // namespace
}  // namespace bramleyrail
