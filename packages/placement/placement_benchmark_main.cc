#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>

#include "absl/strings/str_cat.h"
#include "packages/placement/fakes/interference_simulation.h"
#include "packages/placement/interference_model.h"
#include "packages/placement/placement.h"
#include "packages/placement/scored_policy.h"

namespace bramleyrail {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr int kRunningTasks = 53'000;
constexpr int kOwners = 600;
constexpr int kKinds = 20;
constexpr int kWorkersPerRack = 8;
constexpr int kFailureDomains = 21;

std::string WorkerName(int number) {
  return absl::StrCat("w", number);
}

// Fills the fleet evenly. With fewer workers, each has more and smaller tasks.
void FillFleet(int workers, Fleet* fleet, InterferenceModel* model) {
  std::mt19937_64 random(kSeed);
  const int tasks_on_worker = kRunningTasks / workers + 1;
  const ResourceAmounts size{24'000 / tasks_on_worker, 90'000 / tasks_on_worker,
                             0};
  for (int i = 0; i < workers; ++i) {
    const int rack = i / kWorkersPerRack;
    fleet->PutWorker(WorkerName(i), "b",
                     {absl::StrCat("d", rack % kFailureDomains),
                      absl::StrCat("r", rack),
                      {32'000, 128'000, 0},
                      false},
                     true);
  }
  for (int i = 0; i < kRunningTasks; ++i) {
    const auto owner = static_cast<int>(random() % kOwners);
    fleet->PutTask(
        static_cast<uint32_t>(i % workers), absl::StrCat("t", i),
        {absl::StrCat("o", owner), owner % kKinds,
         owner % 3 == 0 ? CapacityClass::kService : CapacityClass::kBatch,
         Priority::kNormal, size, 1});
  }
  for (int i = 0; i < 20'000; ++i) {
    KindCounts mix{{static_cast<int32_t>(random() % kKinds), 1},
                   {static_cast<int32_t>(random() % kKinds), 2}};
    model->Observe(mix.begin()->first, mix,
                   static_cast<int64_t>(1000 + random() % 60), MonotonicTime{});
  }
}

// Measures one placement decision with the update of the index, and the removal
// of a task.
void PlaceOneTask(benchmark::State& state) {
  const auto workers = static_cast<int>(state.range(0));
  Fleet fleet(100);
  InterferenceModel model;
  ScoredPolicy policy(&model, kSeed);
  FillFleet(workers, &fleet, &model);
  std::mt19937_64 random(kSeed);
  int64_t number = 0;
  int64_t placed = 0;
  int64_t candidates = 0;
  for (auto unused : state) {
    const auto owner = static_cast<int>(random() % kOwners);
    const PlacementRequest request{
        absl::StrCat("o", owner),
        owner % kKinds,
        owner % 3 == 0 ? CapacityClass::kService : CapacityClass::kBatch,
        Priority::kNormal,
        {1000, 4000, 0},
        {}};
    const auto choice = policy(request, fleet);
    if (!choice) {
      continue;
    }
    ++placed;
    candidates += choice->candidates;
    const std::string task_id = absl::StrCat("new", number++);
    fleet.PutTask(choice->worker, task_id,
                  {request.owner_uid, request.task_kind, request.capacity_class,
                   request.priority, request.size, 1});
    fleet.RemoveTask(choice->worker, task_id);
  }
  state.counters["placed"] = benchmark::Counter(
      static_cast<double>(placed), benchmark::Counter::kAvgIterations);
  state.counters["candidates"] = benchmark::Counter(
      static_cast<double>(candidates), benchmark::Counter::kAvgIterations);
}
BENCHMARK(PlaceOneTask)
    ->Arg(65)
    ->Arg(500)
    ->Arg(2100)
    ->Unit(benchmark::kMicrosecond);

double Quantile(std::vector<double>* values, double quantile) {
  const auto rank =
      static_cast<size_t>(quantile * static_cast<double>(values->size() - 1));
  std::nth_element(values->begin(), values->begin() + rank, values->end());
  return (*values)[rank];
}

void Compare(const char* name, Controller::Options options) {
  constexpr int kWorkers = 48;
  constexpr int kSeconds = 600;
  InterferenceSimulation simulation(std::move(options), kSeed, kWorkers);
  InterferenceSimulation::Result result = simulation.Run(kSeconds);
  std::printf("%-18s %8.3f %8.3f %8.3f %10lld %10lld\n", name,
              Quantile(&result.service_slowdowns, 0.5),
              Quantile(&result.service_slowdowns, 0.99),
              Quantile(&result.service_slowdowns, 0.999),
              static_cast<long long>(result.completed),
              static_cast<long long>(result.evictions));
}

void CompareAll() {
  std::printf("%-18s %8s %8s %8s %10s %10s\n", "policy", "p50", "p99", "p99.9",
              "completed", "evictions");
  const auto declared = Controller::SizeSource::kDeclared;
  Compare("scored", {});
  Compare("random", {.policy = MakeRandomPolicy(kSeed),
                     .size_source = declared,
                     .eviction = Controller::Eviction::kOff});
  Compare("least loaded", {.policy = MakeLeastLoadedPolicy(),
                           .size_source = declared,
                           .eviction = Controller::Eviction::kOff});
  Compare("separate workers", {.policy = MakeSeparateWorkersPolicy(250),
                               .size_source = declared,
                               .eviction = Controller::Eviction::kOff});
}

}  // namespace
}  // namespace bramleyrail

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  bramleyrail::CompareAll();
  return 0;
}
