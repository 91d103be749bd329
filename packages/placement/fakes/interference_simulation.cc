#include "packages/placement/fakes/interference_simulation.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr ResourceAmounts kWorkerCapacity{16'000, 61'440, 0};
constexpr ResourceAmounts kTaskSize{2000, 4096, 0};
constexpr ResourceAmounts kServiceSize{2000, 4096, 0};
constexpr ResourceAmounts kLargeQuota{100'000'000, 1'000'000'000, 0};
constexpr double kServiceUsageRatio = 0.5;
constexpr int kWorkersPerRack = 8;
// Slowdown per unit of overcommitment: a worker with overcommitted processors
// slows down all of its tasks.
constexpr double kOvercommitSlowdown = 2.0;
// Throttled tasks interfere at half the rate.
constexpr double kThrottledRate = 0.5;

ResourceAmounts Scale(const ResourceAmounts& size, double part) {
  return {
      static_cast<int64_t>(static_cast<double>(size.processor_millis) * part),
      static_cast<int64_t>(static_cast<double>(size.memory_mib) * part), 0};
}

}  // namespace

const std::vector<InterferenceSimulation::Kind>&
InterferenceSimulation::BatchKinds() {
  static const std::vector<Kind> kinds = {{"profiles", 0.4, 0.01, 40},
                                          {"plans", 0.6, 0.03, 60},
                                          {"renders", 0.9, 0.35, 30}};
  return kinds;
}

InterferenceSimulation::InterferenceSimulation(Controller::Options options,
                                               uint64_t seed,
                                               int workers)
    : cluster_(std::move(options)), arrivals_(seed) {
  cluster_.DeclareTeam("tailors", kLargeQuota);
  for (int i = 0; i < workers; ++i) {
    const int rack = i / kWorkersPerRack;
    workers_.push_back(absl::StrCat("w", i));
    cluster_.AddWorker(workers_.back(), absl::StrCat("domain-", rack % 3),
                       absl::StrCat("rack-", rack), kWorkerCapacity);
  }
  cluster_.Run(Milliseconds(1000));
  ServiceSpec service;
  service.task = {"tailors", "quotes", kServiceSize, "", {}};
  service.replicas = workers;
  cluster_.DeclareService("quotes", service);
  cluster_.Run(Milliseconds(3000));
}

const InterferenceSimulation::Kind* InterferenceSimulation::BatchKindOf(
    const std::string& task_id) const {
  const Task* task = cluster_.state().FindTask(task_id);
  if (task == nullptr || task->owner.kind != ResourceKind::kBatchJob) {
    return nullptr;
  }
  const Resource* job =
      cluster_.state().FindResource(ResourceKind::kBatchJob, task->owner.name);
  const std::string& name = std::get<BatchJobSpec>(job->spec).task.task_kind;
  const auto found =
      std::find_if(BatchKinds().begin(), BatchKinds().end(),
                   [&](const Kind& kind) { return name == kind.name; });
  return &*found;
}

void InterferenceSimulation::SubmitJobs() {
  // One job in two seconds for eight workers reserves about 80% of their
  // capacity at the declared sizes.
  const auto draws = static_cast<int>(workers_.size()) / 8;
  for (int i = 0; i < draws; ++i) {
    const uint64_t number = arrivals_();
    if (number % 2 == 0) {
      continue;
    }
    const Kind& kind = BatchKinds()[number / 2 % BatchKinds().size()];
    BatchJobSpec job;
    job.task = {"tailors", kind.name, kTaskSize, "", {}};
    job.tasks = static_cast<int64_t>(number / 16 % 4 + 1);
    job.checkpointable = true;
    cluster_.DeclareJob(absl::StrCat("job-", next_job_++), job);
  }
}

double InterferenceSimulation::SlowdownOn(
    const SimulatedCluster::Worker& worker) const {
  double added_slowdown = 0;
  double used = 0;
  for (const auto& [task_id, attempt] : worker.attempts) {
    if (attempt.state != ReportedAttemptState::kRunning) {
      continue;
    }
    const Kind* kind = BatchKindOf(task_id);
    if (kind == nullptr) {
      used += kServiceUsageRatio * kServiceSize.processor_millis;
      continue;
    }
    const bool throttled = cluster_.state().FindTask(task_id)->desired !=
                           DesiredAttemptState::kRun;
    const double rate = throttled ? kThrottledRate : 1.0;
    added_slowdown += rate * kind->added_slowdown;
    used += rate * kind->usage_ratio * kTaskSize.processor_millis;
  }
  const double over = used / kWorkerCapacity.processor_millis - 1;
  return 1 + added_slowdown + kOvercommitSlowdown * std::max(over, 0.0);
}

void InterferenceSimulation::Measure(int second, Result* result) {
  for (const std::string& name : workers_) {
    SimulatedCluster::Worker& worker = cluster_.worker(name);
    const double slowdown = SlowdownOn(worker);
    for (const auto& [task_id, attempt] : worker.attempts) {
      if (attempt.state != ReportedAttemptState::kRunning) {
        continue;
      }
      const Kind* kind = BatchKindOf(task_id);
      AttemptUsage usage{task_id, attempt.attempt, {}, 0};
      if (kind == nullptr) {
        result->service_slowdowns.push_back(slowdown);
        usage.used = Scale(kServiceSize, kServiceUsageRatio);
        usage.slowdown_permille = static_cast<int64_t>(slowdown * 1000);
      } else {
        usage.used = Scale(kTaskSize, kind->usage_ratio);
      }
      if (second % 2 == 0) {
        worker.usage.push_back(std::move(usage));
      }
    }
  }
}

void InterferenceSimulation::FinishTasks(Result* result) {
  for (const std::string& name : workers_) {
    std::vector<std::string> done;
    for (const auto& [task_id, attempt] : cluster_.worker(name).attempts) {
      const Kind* kind = BatchKindOf(task_id);
      if (kind != nullptr && attempt.state == ReportedAttemptState::kRunning &&
          cluster_.now() - attempt.started >=
              std::chrono::seconds(kind->seconds)) {
        done.push_back(task_id);
      }
    }
    for (const std::string& task_id : done) {
      cluster_.Finish(task_id, ReportedAttemptState::kCompleted);
      ++result->completed;
    }
  }
}

InterferenceSimulation::Result InterferenceSimulation::Run(int seconds) {
  Result result;
  for (int second = 0; second < seconds; ++second) {
    SubmitJobs();
    cluster_.Run(Milliseconds(1000));
    Measure(second, &result);
    FinishTasks(&result);
  }
  for (int job = 0; job < next_job_; ++job) {
    for (const Task* task :
         cluster_.TasksOf(ResourceKind::kBatchJob, absl::StrCat("job-", job))) {
      result.evictions += task->evictions;
    }
  }
  return result;
}

}  // namespace bramleyrail
