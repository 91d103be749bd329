// Measures the leader's decisions for the tasks of one job, from its submission
// to the ends of its runs, beside jobs that wait for room, without accounts and
// with 20 and 600 of them.

#include <benchmark/benchmark.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "packages/base/base.h"
#include "packages/dispatch/dispatch.h"

namespace bramleyrail {
namespace {

constexpr int kWorkers = 350;
constexpr int kTasksPerJob = 20;
constexpr int kWaitingJobs = 500;
constexpr int64_t kUnixMs = 1'000'000;
constexpr Milliseconds kStepTime{10};
constexpr int kStepsPerRenewal = 100;

// A leader and the workers' responses, with a simulated clock.
class Leader {
 public:
  explicit Leader(int accounts) : accounts_(accounts) {
    QueueConfiguration configuration;
    configuration.version = 1;
    configuration.pools.push_back({.name = "pool"});
    for (int number = 0; number < accounts; ++number) {
      configuration.accounts.push_back(
          {.name = AccountOf(number), .limit = {1'000'000, 0, 0}});
    }
    state_.Apply({kUnixMs, ReplaceConfiguration{configuration}});
    for (int number = 0; number < kWorkers; ++number) {
      WorkerRegistration worker;
      worker.id = absl::StrCat("w", number);
      worker.started_unix_ms = kUnixMs;
      worker.address = absl::StrCat("10.0.0.1:", number);
      worker.pool = "pool";
      worker.labels = {"a", absl::StrCat("rack-", number / 20)};
      worker.capacity = {16'000, 64'000, 0};
      state_.Apply({kUnixMs, PutWorker{worker}});
    }
    dispatcher_.Synchronize(state_, now_);
    for (int number = 0; number < kWaitingJobs; ++number) {
      Submit("nowhere");
    }
    RenewAll();
    Step();
  }

  // Runs one job to its end. Returns the number of its tasks.
  int64_t RunJob() {
    Submit("");
    const std::vector<WorkerOrder> orders = Step();
    std::map<std::string, LeaseRenewalResponse> responses;
    int64_t started = 0;
    for (const WorkerOrder& order : orders) {
      const auto* start = std::get_if<StartOrder>(&order.body);
      if (start == nullptr) {
        continue;
      }
      ++started;
      dispatcher_.HandleStartResponse(order.worker, start->task, start->run,
                                      OrderOutcome::kAccepted, now_);
      responses[order.worker.id].finished.push_back(
          {++ended_runs_[order.worker.id],
           {start->task, start->run, RunOutcome::kDone, ""},
           "done"});
    }
    now_ += kStepTime;
    for (auto& [id, response] : responses) {
      Renew(state_.workers().at(id), std::move(response));
    }
    const Dispatcher::FinishedRunBatch ends = dispatcher_.TakeFinishedRuns();
    state_.Apply({kUnixMs, RecordFinishedRuns{ends.finished_runs}});
    state_.Apply({kUnixMs, PurgeJobsEndedBefore{kUnixMs + 1}});
    dispatcher_.MarkFinishedRunsDurable(ends.number);
    dispatcher_.Synchronize(state_, now_);
    if (++steps_ % kStepsPerRenewal == 0) {
      RenewAll();
    }
    return started;
  }

 private:
  static std::string AccountOf(int number) {
    return absl::StrCat("account-", number);
  }

  void Submit(const std::string& label) {
    SubmitJob job;
    job.id = absl::StrCat("5c0e7a21d94b", 1'000'000 + jobs_);
    job.pool = "pool";
    job.maximum_attempts = 4;
    job.target_latency_ms = 600'000;
    job.account = accounts_ == 0 ? "" : AccountOf(jobs_ % accounts_);
    job.specification.payload = "payload";
    job.specification.steps.resize(1);
    job.specification.steps[0].tasks = kTasksPerJob;
    job.specification.steps[0].size = {2'000, 4'000, 0};
    job.specification.steps[0].required_label = label;
    ++jobs_;
    state_.Apply({kUnixMs, std::move(job)});
    dispatcher_.Synchronize(state_, now_);
  }

  std::vector<WorkerOrder> Step() {
    return dispatcher_.Step(state_, now_, kUnixMs);
  }

  void Renew(const WorkerRegistration& worker, LeaseRenewalResponse response) {
    response.clock_ms =
        std::chrono::floor<Milliseconds>(now_.time_since_epoch()).count();
    dispatcher_.HandleLeaseRenewalResponse(
        {worker.id, worker.started_unix_ms, worker.address},
        OrderOutcome::kAccepted, response, now_, now_);
  }

  void RenewAll() {
    for (const auto& [id, worker] : state_.workers()) {
      Renew(worker, {});
    }
  }

  const int accounts_;
  QueueState state_;
  MonotonicTime now_{std::chrono::hours(1)};
  Dispatcher dispatcher_{{}, 1, now_};
  std::map<std::string, int64_t> ended_runs_;  // By worker.
  int jobs_ = 0;
  int64_t steps_ = 0;
};

void RunOneJob(benchmark::State& state) {
  Leader leader(static_cast<int>(state.range(0)));
  int64_t tasks = 0;
  for (auto unused : state) {
    tasks += leader.RunJob();
  }
  state.counters["tasks"] = benchmark::Counter(
      static_cast<double>(tasks), benchmark::Counter::kAvgIterations);
}
BENCHMARK(RunOneJob)->Arg(0)->Arg(20)->Arg(600)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace bramleyrail

int main(int argc, char** argv) {
  if (!bramleyrail::StartLogging({.file = "/dev/null"})) {
    return 1;
  }
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  bramleyrail::StopLogging();
  return 0;
}
