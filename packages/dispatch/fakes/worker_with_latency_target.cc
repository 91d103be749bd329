#include "packages/dispatch/fakes/worker_with_latency_target.h"

#include <utility>

namespace bramleyrail {

namespace {

constexpr int64_t kBaselineTailMs = 8;
constexpr int64_t kInterferenceTailMs = 40;
constexpr int kTrainingRounds = 60;

}  // namespace

WorkerWithLatencyTarget::WorkerWithLatencyTarget(std::string id,
                                                 std::string serving_image)
    : serving_key_({"serving", 0, 0, 0}, 1),
      worker_({.id = std::move(id),
               .pool = "pool",
               .capacity = {16'000, 64'000, 0}}) {
  serving_.long_running = true;
  serving_.target_latency_ms = kTargetMs;
  serving_.image = std::move(serving_image);
  TrackedRun run;
  run.phase = RunPhase::kRunning;
  run.confirmed = MonotonicTime();
  run.step = &serving_;
  worker_.AddRun(serving_key_, run);
  worker_.contacted = true;
  worker_.ObserveClock(1, Now());
  worker_.last_response = Now();
}

JobStep WorkerWithLatencyTarget::BestEffortStep(std::string image) {
  JobStep step;
  step.best_effort = true;
  step.image = std::move(image);
  step.size = {2'000, 1'000, 0};
  return step;
}

RunKey WorkerWithLatencyTarget::AddBestEffortRun(const std::string& job,
                                                 const JobStep* step,
                                                 int64_t cpu_limit_percent,
                                                 int64_t progress_percent) {
  TrackedRun run;
  run.phase = RunPhase::kRunning;
  run.confirmed = MonotonicTime();
  run.step = step;
  run.reserved = step->size;
  run.cpu_limit_percent = cpu_limit_percent;
  run.confirmed_cpu_limit_percent = cpu_limit_percent;
  run.progress_percent = progress_percent;
  run.measurement = step->size.processor_millis * cpu_limit_percent / 100;
  const RunKey key({job, 0, 0, 0}, 1);
  worker_.AddRun(key, run);
  return key;
}

void WorkerWithLatencyTarget::SetTailLatency(int64_t tail_ms) {
  worker_.FindRun(serving_key_)->measurement = tail_ms;
}

void WorkerWithLatencyTarget::SetOverTargetSince(MonotonicTime time) {
  worker_.FindRun(serving_key_)->over_target_since = time;
}

void WorkerWithLatencyTarget::TrainModel(const JobStep& interfering,
                                         const JobStep& harmless,
                                         LatencyInterferenceModel* model) {
  WorkerWithLatencyTarget affected("taught-1");
  affected.AddBestEffortRun("disturber", &interfering, 100, 0);
  affected.SetTailLatency(kInterferenceTailMs);
  WorkerWithLatencyTarget unaffected("taught-2");
  unaffected.AddBestEffortRun("harmless", &harmless, 100, 0);
  unaffected.SetTailLatency(kBaselineTailMs);
  WorkerWithLatencyTarget isolated("taught-3");
  isolated.SetTailLatency(kBaselineTailMs);
  for (int i = 0; i < kTrainingRounds; ++i) {
    model->Observe(affected.worker_, Now());
    model->Observe(unaffected.worker_, Now());
    model->Observe(isolated.worker_, Now());
  }
}

}  // namespace bramleyrail
