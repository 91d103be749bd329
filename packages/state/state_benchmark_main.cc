// Measures ClusterState at the scale of the design: bytes for a running task,
// time of a start batch, and time and size of a snapshot and its restore.
// Run it with: build/bin/state_benchmark

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>
#include <string>
#include <vector>

#include "packages/state/state.h"

namespace bramleyrail {
namespace {

constexpr int64_t kWorkers = 2'100;
constexpr int64_t kFailureDomains = 21;
constexpr int64_t kTasksOfOneJob = 10;
// Starts at peak (550 in a second) that one step of 50 ms has to place.
constexpr int64_t kStartsOfOneBatch = 28;

int64_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<int64_t>(info.uordblks + info.hblkhd);
}

// A uid or boot id of the length that NewUniqueId() gives.
std::string LongId(const char* prefix, int64_t number) {
  const std::string digits = std::to_string(number);
  std::string id = prefix;
  id.append(32 - id.size() - digits.size(), '0');
  return id + digits;
}

std::string WorkerName(int64_t number) {
  return "worker-" + std::to_string(number);
}

// Applies commands and keeps count of the ids that it needs.
class Cluster {
 public:
  explicit Cluster(int64_t tasks) {
    DeclarePlaces();
    for (int64_t i = 0; i < kWorkers; ++i) {
      Apply(RegisterWorker{
          WorkerName(i), LongId("boot", i),
          WorkerSpec{"domain-" + std::to_string(i % kFailureDomains),
                     "rack",
                     {32'000, 128'000, 0}},
          LongId("worker", i)});
    }
    for (int64_t made = 0; made < tasks; made += kTasksOfOneJob) {
      DeclareJob();
    }
  }

  ClusterState& state() { return *state_; }

  void Apply(CommandBody body) {
    const CommandOutcome outcome = state_->Apply({1, std::move(body)});
    BRAMLEYRAIL_ASSERT(!outcome.refusal, "the benchmark was refused");
  }

  void MakeTasks() {
    while (!state_->owners_to_reconcile().empty()) {
      Apply(ReconcileTasks{state_->owners_to_reconcile().begin()->second});
    }
  }

  // Starts up to `count` pending tasks, and reports them as running.
  void StartPending(int64_t count) {
    StartAttempts starts = NextStarts(count);
    std::vector<ReportAttempts> reports;
    for (const AttemptStart& start : starts.starts) {
      reports.push_back({start.worker,
                         start.worker_boot_id,
                         {{start.task_id, start.expected_attempt + 1,
                           ReportedAttemptState::kRunning, "", "", true}}});
    }
    Apply(std::move(starts));
    for (ReportAttempts& report : reports) {
      Apply(std::move(report));
    }
  }

  StartAttempts NextStarts(int64_t count) {
    StartAttempts starts;
    for (const auto& [uid, task_ids] : state_->pending_by_owner()) {
      for (const std::string& task_id : task_ids) {
        if (static_cast<int64_t>(starts.starts.size()) == count) {
          return starts;
        }
        const int64_t worker = next_worker_++ % kWorkers;
        starts.starts.push_back({task_id,
                                 state_->FindTask(task_id)->attempt,
                                 WorkerName(worker),
                                 LongId("boot", worker),
                                 {1'000, 2'000, 0}});
      }
    }
    return starts;
  }

 private:
  void DeclarePlaces() {
    ApplyResources places{"places", {}, {}};
    const auto add = [&places](std::string name, ResourceSpec spec) {
      places.new_uids.push_back(
          LongId("place", static_cast<int64_t>(places.new_uids.size())));
      places.declarations.push_back({std::move(name), std::move(spec), "", {}});
    };
    add("team", TeamSpec{{1'000'000'000, 1'000'000'000, 0}, 1});
    for (int64_t i = 0; i < kFailureDomains; ++i) {
      add("domain-" + std::to_string(i), FailureDomainSpec{"region", false});
    }
    Apply(std::move(places));
  }

  void DeclareJob() {
    const std::string name = "job-" + std::to_string(jobs_);
    const std::string uid = LongId("job", jobs_++);
    BatchJobSpec spec;
    spec.task = {"team", "plans", {1'000, 2'000, 0}, "payload", {}};
    spec.tasks = kTasksOfOneJob;
    Apply(ApplyResources{"change-" + name, {{name, spec, "", {}}}, {uid}});
  }

  std::unique_ptr<ClusterState> state_ = std::make_unique<ClusterState>();
  int64_t jobs_ = 0;
  int64_t next_worker_ = 0;
};

void Sizes(benchmark::internal::Benchmark* benchmark) {
  benchmark->Arg(5'300)->Arg(16'000)->Arg(53'000)->Unit(
      benchmark::kMillisecond);
}

// Heap of a state without its watch history, which does not grow with tasks.
int64_t RestoredBytes(const ClusterState& state) {
  const auto snapshot = state.EncodeSnapshot();
  const int64_t before = HeapBytes();
  const auto restored = ClusterState::FromSnapshot(snapshot).value();
  return HeapBytes() - before;
}

// The whole cost of a running task: its place in the job, in the indexes and
// on the worker. The same state before its tasks are made is subtracted.
void RunningTaskBytes(benchmark::State& run) {
  for (auto _ : run) {
    Cluster cluster(run.range(0));
    const int64_t without_tasks = RestoredBytes(cluster.state());
    cluster.MakeTasks();
    cluster.StartPending(run.range(0));
    const int64_t with_tasks = RestoredBytes(cluster.state());
    run.counters["state_MB"] = static_cast<double>(with_tasks) / 1e6;
    run.counters["bytes_per_task"] =
        static_cast<double>(with_tasks - without_tasks) /
        static_cast<double>(run.range(0));
  }
}
BENCHMARK(RunningTaskBytes)->Apply(Sizes)->Iterations(1);

void StartBatch(benchmark::State& run) {
  Cluster cluster(run.range(0) + 100 * kStartsOfOneBatch);
  cluster.MakeTasks();
  cluster.StartPending(run.range(0));
  for (auto _ : run) {
    run.PauseTiming();
    StartAttempts starts = cluster.NextStarts(kStartsOfOneBatch);
    run.ResumeTiming();
    cluster.Apply(std::move(starts));
  }
}
BENCHMARK(StartBatch)->Apply(Sizes)->Iterations(100);

void Snapshot(benchmark::State& run) {
  Cluster cluster(run.range(0));
  cluster.MakeTasks();
  cluster.StartPending(run.range(0));
  size_t bytes = 0;
  for (auto _ : run) {
    bytes = cluster.state().EncodeSnapshot().size();
  }
  run.counters["snapshot_MB"] = static_cast<double>(bytes) / 1e6;
}
BENCHMARK(Snapshot)->Apply(Sizes);

void Restore(benchmark::State& run) {
  Cluster cluster(run.range(0));
  cluster.MakeTasks();
  cluster.StartPending(run.range(0));
  const auto snapshot = cluster.state().EncodeSnapshot();
  for (auto _ : run) {
    benchmark::DoNotOptimize(ClusterState::FromSnapshot(snapshot).value());
  }
}
BENCHMARK(Restore)->Apply(Sizes);

}  // namespace
}  // namespace bramleyrail

BENCHMARK_MAIN();
