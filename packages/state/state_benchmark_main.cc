// Measures ClusterState at the size that the system is designed for: memory of
// a running task, duration of a batch of starts, and duration and size of a
// snapshot and its restore.
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
constexpr int64_t kTasksPerJob = 10;
// Starts in one placement step of 50 ms at the peak rate of 550 a second.
constexpr int64_t kStartsPerBatch = 28;

int64_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<int64_t>(info.uordblks + info.hblkhd);
}

// Returns a uid or boot id as long as those of NewUniqueId().
std::string LongId(const char* prefix, int64_t number) {
  const std::string digits = std::to_string(number);
  std::string id = prefix;
  id.append(32 - id.size() - digits.size(), '0');
  return id + digits;
}

std::string WorkerName(int64_t number) {
  return "worker-" + std::to_string(number);
}

// A ClusterState with workers and jobs, to which commands are applied.
class Cluster {
 public:
  explicit Cluster(int64_t tasks) {
    DeclareLocations();
    for (int64_t i = 0; i < kWorkers; ++i) {
      Apply(RegisterWorker{
          WorkerName(i), LongId("boot", i),
          WorkerSpec{"domain-" + std::to_string(i % kFailureDomains),
                     "rack",
                     {32'000, 128'000, 0}},
          LongId("worker", i)});
    }
    for (int64_t made = 0; made < tasks; made += kTasksPerJob) {
      DeclareJob();
    }
  }

  ClusterState& state() { return *state_; }

  void Apply(CommandBody body) {
    const CommandOutcome outcome = state_->Apply({1, std::move(body)});
    BRAMLEYRAIL_ASSERT(!outcome.refusal,
                       "a command of the benchmark was refused");
  }

  void CreateTasks() {
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
  void DeclareLocations() {
    ApplyResources locations{"places", {}, {}};
    const auto add = [&locations](std::string name, ResourceSpec spec) {
      locations.new_uids.push_back(
          LongId("place", static_cast<int64_t>(locations.new_uids.size())));
      locations.declarations.push_back(
          {std::move(name), std::move(spec), "", {}});
    };
    add("team", TeamSpec{{1'000'000'000, 1'000'000'000, 0}, 1});
    for (int64_t i = 0; i < kFailureDomains; ++i) {
      add("domain-" + std::to_string(i), FailureDomainSpec{"region", false});
    }
    Apply(std::move(locations));
  }

  void DeclareJob() {
    const std::string name = "job-" + std::to_string(jobs_);
    const std::string uid = LongId("job", jobs_++);
    BatchJobSpec spec;
    spec.task = {"team", "plans", {1'000, 2'000, 0}, "payload", {}};
    spec.tasks = kTasksPerJob;
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

// Returns the heap size of a state without its watch history, whose size does
// not depend on the number of tasks.
int64_t RestoredBytes(const ClusterState& state) {
  const auto snapshot = state.EncodeSnapshot();
  const int64_t before = HeapBytes();
  const auto restored = ClusterState::FromSnapshot(snapshot).value();
  return HeapBytes() - before;
}

// Measures the memory of a running task, including its part of the job, the
// indexes and the worker's state: the difference between the state with the
// tasks running and the same state before the tasks are created.
void RunningTaskBytes(benchmark::State& run) {
  for (auto _ : run) {
    Cluster cluster(run.range(0));
    const int64_t without_tasks = RestoredBytes(cluster.state());
    cluster.CreateTasks();
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
  Cluster cluster(run.range(0) + 100 * kStartsPerBatch);
  cluster.CreateTasks();
  cluster.StartPending(run.range(0));
  for (auto _ : run) {
    run.PauseTiming();
    StartAttempts starts = cluster.NextStarts(kStartsPerBatch);
    run.ResumeTiming();
    cluster.Apply(std::move(starts));
  }
}
BENCHMARK(StartBatch)->Apply(Sizes)->Iterations(100);

void Snapshot(benchmark::State& run) {
  Cluster cluster(run.range(0));
  cluster.CreateTasks();
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
  cluster.CreateTasks();
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
