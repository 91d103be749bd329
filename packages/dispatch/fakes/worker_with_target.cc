#include "packages/dispatch/fakes/worker_with_target.h"

#include <utility>

namespace bramleyrail {

namespace {

constexpr int64_t kCalmTailMs = 8;
constexpr int64_t kDisturbedTailMs = 40;
constexpr int kLessons = 60;

}  // namespace

WorkerWithTarget::WorkerWithTarget(std::string id, std::string serving_image)
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
  worker_.heard = true;
  worker_.ObserveClock(1, Now());
  worker_.last_answer = Now();
}

JobStep WorkerWithTarget::SpareStep(std::string image) {
  JobStep step;
  step.uses_spare_capacity = true;
  step.image = std::move(image);
  step.size = {2'000, 1'000, 0};
  return step;
}

RunKey WorkerWithTarget::AddSpare(const std::string& job,
                                  const JobStep* step,
                                  int64_t pace,
                                  int64_t percent) {
  TrackedRun run;
  run.phase = RunPhase::kRunning;
  run.confirmed = MonotonicTime();
  run.step = step;
  run.reserved = step->size;
  run.pace = pace;
  run.confirmed_pace = pace;
  run.percent = percent;
  run.load = step->size.processor_millis * pace / 100;
  const RunKey key({job, 0, 0, 0}, 1);
  worker_.AddRun(key, run);
  return key;
}

void WorkerWithTarget::SetTail(int64_t tail_ms) {
  worker_.FindRun(serving_key_)->load = tail_ms;
}

void WorkerWithTarget::SetOverSince(MonotonicTime time) {
  worker_.FindRun(serving_key_)->over_since = time;
}

void WorkerWithTarget::Teach(const JobStep& disturber,
                             const JobStep& harmless,
                             DisturbanceModel* model) {
  WorkerWithTarget disturbed("taught-1");
  disturbed.AddSpare("disturber", &disturber, 100, 0);
  disturbed.SetTail(kDisturbedTailMs);
  WorkerWithTarget calm("taught-2");
  calm.AddSpare("harmless", &harmless, 100, 0);
  calm.SetTail(kCalmTailMs);
  WorkerWithTarget alone("taught-3");
  alone.SetTail(kCalmTailMs);
  for (int i = 0; i < kLessons; ++i) {
    model->Observe(disturbed.worker_, Now());
    model->Observe(calm.worker_, Now());
    model->Observe(alone.worker_, Now());
  }
}

}  // namespace bramleyrail
