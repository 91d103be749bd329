#include "packages/placement/fakes/simulated_cluster.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kStep{50};
constexpr int64_t kStepsBetweenPolls = 10;

bool HasEnded(const SimulatedCluster::RunningAttempt& attempt) {
  return attempt.state >= ReportedAttemptState::kCompleted;
}

}  // namespace

SimulatedCluster::SimulatedCluster(Controller::Options options)
    : options_(std::move(options)) {
  options_.new_uid = [this] { return absl::StrCat("uid-", next_id_++); };
  options_.unix_clock = [] { return int64_t{1'000}; };
  ChangeLeader();
}

void SimulatedCluster::ChangeLeader() {
  controller_ = std::make_unique<Controller>(options_);
}

SimulatedCluster::Worker& SimulatedCluster::AddWorker(
    const std::string& name,
    const std::string& failure_domain,
    const std::string& rack,
    ResourceAmounts capacity) {
  Worker& worker = workers_[name];
  worker.name = name;
  worker.boot_id = "boot-" + name;
  worker.spec = {failure_domain, rack, capacity, false};
  return worker;
}

void SimulatedCluster::Declare(ResourceDeclaration declaration) {
  ApplyResources change;
  change.change_id = absl::StrCat("change-", next_id_++);
  change.declarations.push_back(std::move(declaration));
  change.new_uids.push_back(absl::StrCat("uid-", next_id_++));
  Apply(std::move(change));
}

void SimulatedCluster::Apply(CommandBody body) {
  const CommandOutcome outcome = state_.Apply({1'000, std::move(body)});
  BRAMLEYRAIL_ASSERT(!outcome.refusal, outcome.refusal->ToString());
}

void SimulatedCluster::DeclareTeam(const std::string& name,
                                   ResourceAmounts quota,
                                   int64_t weight) {
  Declare({name, TeamSpec{quota, weight}, "", {}});
}

void SimulatedCluster::DeclareJob(const std::string& name, BatchJobSpec spec) {
  Declare({name, std::move(spec), "", {}});
}

void SimulatedCluster::DeclareService(const std::string& name,
                                      ServiceSpec spec) {
  Declare({name, std::move(spec), "", {}});
}

std::vector<const Task*> SimulatedCluster::TasksOf(ResourceKind kind,
                                                   const std::string& name) {
  const Resource* resource = state_.FindResource(kind, name);
  BRAMLEYRAIL_ASSERT(resource != nullptr, "the owner must be declared");
  return state_.TasksOf(resource->uid);
}

void SimulatedCluster::Finish(const std::string& task_id,
                              ReportedAttemptState state) {
  Worker& worker = workers_.at(running_on_.at(task_id));
  worker.attempts.at(task_id).state = state;
  running_on_.erase(task_id);
}

void SimulatedCluster::Reboot(const std::string& name) {
  Worker& worker = workers_.at(name);
  std::erase_if(running_on_,
                [&](const auto& entry) { return entry.second == name; });
  worker.attempts.clear();
  worker.lease_end = {};
  worker.permit_end = {};
  worker.boot_id = absl::StrCat("boot-", next_id_++, "-", name);
}

void SimulatedCluster::Run(Milliseconds time) {
  proposed_.clear();
  const MonotonicTime end = now_ + time;
  while (now_ < end) {
    now_ += kStep;
    Step();
  }
}

void SimulatedCluster::Step() {
  ++step_;
  int64_t turn = 0;
  for (auto& [name, worker] : workers_) {
    RunTasks(&worker);
    if (worker.connected && (step_ + turn++) % kStepsBetweenPolls == 0) {
      Poll(&worker);
    }
  }
  for (Command& command : controller_->Step(state_, now_)) {
    if (const auto* start = std::get_if<StartAttempts>(&command.body)) {
      starts_ += static_cast<int64_t>(start->starts.size());
    }
    state_.Apply(command);
    proposed_.push_back(std::move(command));
  }
  state_.AssertConsistent();
}

void SimulatedCluster::Poll(Worker* worker) {
  const WorkerState* known = state_.FindWorkerState(worker->name);
  const bool registered = known != nullptr && known->boot_id == worker->boot_id;
  if (registered && !known->suspended) {
    worker->lease_end = now_ + kWorkerLeaseDuration;
    if (!known->on_probation && !state_.IsWorkerDrained(worker->name)) {
      worker->permit_end = now_ + kStartPermitDuration;
    }
  }
  WorkerReport report{worker->name,
                      worker->boot_id,
                      worker->spec,
                      {},
                      std::exchange(worker->usage, {})};
  for (const auto& [task_id, attempt] : worker->attempts) {
    const auto ran =
        std::chrono::duration_cast<Milliseconds>(now_ - attempt.started);
    report.attempts.push_back({{task_id, attempt.attempt, attempt.state,
                                attempt.checkpoint, "", true},
                               ran.count()});
  }
  controller_->EnqueueReport(std::move(report));
  ApplyTaskList(worker);
}

void SimulatedCluster::ApplyTaskList(Worker* worker) {
  const WorkerState* known = state_.FindWorkerState(worker->name);
  std::map<std::string, const Task*> listed;
  if (known != nullptr && known->boot_id == worker->boot_id) {
    for (const auto& task_id : known->task_ids) {
      listed[std::string(task_id)] = state_.FindTask(task_id);
    }
  }
  std::erase_if(worker->attempts, [&](const auto& entry) {
    const auto found = listed.find(entry.first);
    const bool gone =
        found == listed.end() || found->second->attempt != entry.second.attempt;
    if (gone && entry.second.state == ReportedAttemptState::kRunning) {
      running_on_.erase(entry.first);
    }
    return gone;
  });
  for (const auto& [task_id, task] : listed) {
    RunningAttempt& attempt = worker->attempts[task_id];
    attempt.attempt = task->attempt;
    attempt.when_partitioned = task->when_partitioned;
    if (task->desired == DesiredAttemptState::kCheckpoint) {
      attempt.checkpoint = absl::StrCat("checkpoint-", task->attempt);
    }
    if (task->desired == DesiredAttemptState::kStop && !HasEnded(attempt)) {
      running_on_.erase(task_id);
      attempt.state = ReportedAttemptState::kStopped;
    }
  }
}

void SimulatedCluster::RunTasks(Worker* worker) {
  for (auto& [task_id, attempt] : worker->attempts) {
    if (attempt.state == ReportedAttemptState::kRunning &&
        attempt.when_partitioned == PartitionBehaviour::kStop &&
        now_ >= worker->lease_end) {
      running_on_.erase(task_id);
      attempt.state = ReportedAttemptState::kStopped;
    }
    if (attempt.state == ReportedAttemptState::kAccepted &&
        now_ < worker->permit_end) {
      StartTask(worker, task_id, &attempt);
    }
  }
}

void SimulatedCluster::StartTask(Worker* worker,
                                 const std::string& task_id,
                                 RunningAttempt* attempt) {
  const auto [entry, is_new] = running_on_.try_emplace(task_id, worker->name);
  BRAMLEYRAIL_ASSERT(is_new,
                     absl::StrCat("task ", task_id, " starts on ", worker->name,
                                  " but runs on ", entry->second));
  attempt->started = now_;
  attempt->state = ReportedAttemptState::kRunning;
  if (worker->fails_all) {
    Finish(task_id, ReportedAttemptState::kFailed);
  }
}

}  // namespace bramleyrail
