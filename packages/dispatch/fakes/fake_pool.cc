#include "packages/dispatch/fakes/fake_pool.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kStepTime{10};
constexpr int64_t kMaximumAttempts = 4;
constexpr int64_t kBaselineTailMs = 8;
constexpr int64_t kInterferenceTailMs = 90;

}  // namespace

FakePool::FakePool(Options options)
    : options_(options), random_(options.seed), now_(std::chrono::hours(1)) {
  QueueConfiguration configuration;
  configuration.version = 1;
  configuration.pools.push_back({.name = "pool"});
  Apply(ReplaceConfiguration{configuration});
  for (int i = 0; i < options_.workers; ++i) {
    Worker& worker = workers_.emplace_back();
    worker.registration.id = absl::StrCat("w", i);
    worker.registration.started_unix_ms = kStartUnixMs;
    worker.registration.address = absl::StrCat("10.0.0.", i + 1, ":80");
    worker.registration.pool = "pool";
    worker.registration.failure_domain = i % 2 == 0 ? "east" : "west";
    worker.registration.labels = {"a", absl::StrCat("rack-", i % 2)};
    worker.registration.capacity = {8'000, 64'000, 0};
    worker.clock_start_ms = static_cast<int64_t>(random_() % 1'000'000);
    Apply(PutWorker{worker.registration});
  }
  ChangeLeader();
}

JobSpecification FakePool::Job(int tasks, int steps) {
  JobSpecification job;
  job.payload = "payload";
  for (int i = 0; i < steps; ++i) {
    JobStep& step = job.steps.emplace_back();
    step.tasks = tasks;
    step.size = {1'000, 1'000, 0};
    step.estimated_task_ms = 400;
    step.image = "image";
    if (i > 0) {
      step.predecessors.push_back(i - 1);
    }
  }
  return job;
}

void FakePool::Submit(const std::string& id,
                      JobSpecification job,
                      const std::string& account) {
  SubmitJob command = MakeSubmission(id, std::move(job));
  command.account = account;
  Apply(std::move(command));
}

bool FakePool::HandIn(const std::string& id, JobSpecification job) {
  SubmitJob command = MakeSubmission(id, std::move(job));
  const auto decision = dispatcher_->Admit(state_, command, now_);
  if (!decision || !decision.value().admitted) {
    return false;
  }
  Apply(std::move(command));
  return true;
}

SubmitJob FakePool::MakeSubmission(const std::string& id,
                                   JobSpecification job) {
  SubmitJob command;
  command.id = id;
  command.queue = "queue";
  command.pool = "pool";
  command.maximum_attempts = kMaximumAttempts;
  command.specification = std::move(job);
  return command;
}

void FakePool::Apply(QueueCommandBody body) {
  state_.Apply(
      {options_.stamps_commands ? UnixMs() : kStartUnixMs, std::move(body)});
  if (dispatcher_ != nullptr) {
    dispatcher_->Synchronize(state_, now_);
  }
}

void FakePool::ChangeLeader() {
  dispatcher_.reset();
  leader_resumes_ = now_;
  // Some records become durable although their leader never learns of it.
  for (const auto& [time, batch] : std::exchange(unrecorded_placements_, {})) {
    if (random_() % 2 == 0) {
      state_.Apply({kStartUnixMs, batch.command});
    }
  }
  if (options_.restores_snapshots) {
    state_ =
        std::move(*QueueState::FromSnapshot(state_.EncodeSnapshot()).value());
  }
  const QueueOutcome outcome = state_.Apply(
      {kStartUnixMs, BeginLeadership{"leader", options_.records_placements,
                                     options_.lease.count()}});
  Dispatcher::Options options;
  options.lease = options_.lease;
  options.plans_ending_steps = options_.plans_ending_steps;
  options.maximum_job_bytes = options_.maximum_job_bytes;
  options.maximum_lease = options_.lease + Milliseconds(500);
  dispatcher_ =
      std::make_unique<Dispatcher>(options, outcome.leader_epoch, now_);
  dispatcher_->Synchronize(state_, now_);
}

double FakePool::Random() {
  return static_cast<double>(random_() >> 11) * 0x1.0p-53;
}

int64_t FakePool::ClockOf(const Worker& worker) const {
  return worker.clock_start_ms +
         std::chrono::floor<Milliseconds>(now_.time_since_epoch()).count();
}

int64_t FakePool::RecordedTasks(std::string_view job) const {
  return std::count_if(
      recorded_done_.begin(), recorded_done_.end(),
      [job](const TaskName& task) { return task.job.View() == job; });
}

int64_t FakePool::UnixMs() const {
  return kStartUnixMs +
         std::chrono::floor<Milliseconds>(now_.time_since_epoch()).count();
}

void FakePool::RunFor(Milliseconds duration) {
  const MonotonicTime end = now_ + duration;
  while (now_ < end && violation_.empty()) {
    Step();
  }
}

bool FakePool::RunUntil(const std::function<bool()>& condition,
                        Milliseconds limit) {
  const MonotonicTime end = now_ + limit;
  while (!condition()) {
    if (now_ >= end || !violation_.empty()) {
      return false;
    }
    Step();
  }
  return true;
}

void FakePool::Step() {
  now_ += kStepTime;
  for (Worker& worker : workers_) {
    AdvanceWorker(&worker);
  }
  CrashDueWorkers();
  RegisterRestartedWorkers();
  std::vector<Delivery> due;
  std::erase_if(deliveries_, [&](const Delivery& delivery) {
    if (delivery.time > now_) {
      return false;
    }
    due.push_back(delivery);
    return true;
  });
  for (const Delivery& delivery : due) {
    Deliver(delivery);
  }
  if (now_ >= leader_resumes_) {
    SendHeartbeats();
    ReadResponses();
    RecordDuePlacements();
    StepDispatcher(dispatcher_.get());
    state_.Apply({kStartUnixMs, ForgetWithdrawnWorkers{
                                    dispatcher_->leader_epoch(),
                                    dispatcher_->EndedWithdrawals(state_)}});
    state_.Apply({kStartUnixMs,
                  RecordSuspectedRuns{dispatcher_->leader_epoch(),
                                      dispatcher_->SuspicionChanges(state_)}});
  }
  CheckInvariants();
}

std::pair<OrderOutcome, LeaseRenewalResponse>
FakePool::Execute(Worker* worker, const WorkerOrder& order, int64_t fence) {
  if (fence < worker->fence) {
    return {OrderOutcome::kFenced, {}};
  }
  worker->fence = fence;
  if (const auto* start = std::get_if<StartOrder>(&order.body)) {
    return {StartRun(worker, *start), {}};
  }
  if (const auto* stop = std::get_if<StopOrder>(&order.body)) {
    return {StopRun(worker, *stop), {}};
  }
  if (const auto* limit = std::get_if<CpuLimitOrder>(&order.body)) {
    const auto run = worker->runs.find({limit->task, limit->run});
    if (run != worker->runs.end()) {
      run->second.cpu_limit_percent = limit->cpu_limit_percent;
    }
    return {OrderOutcome::kAccepted, {}};
  }
  LeaseRenewalResponse renewal =
      RenewLease(worker, std::get<LeaseRenewalOrder>(order.body));
  // Only the lists state which incarnation responds.
  if (worker->registration.started_unix_ms != order.worker.started_unix_ms) {
    return {OrderOutcome::kRestarted, {}};
  }
  return {OrderOutcome::kAccepted, std::move(renewal)};
}

OrderOutcome FakePool::StartRun(Worker* worker, const StartOrder& start) {
  if (start.lease_until_ms <= ClockOf(*worker)) {
    return OrderOutcome::kLeaseTooOld;
  }
  worker->lease_until_ms =
      std::max(worker->lease_until_ms, start.lease_until_ms);
  const RunKey key(start.task, start.run);
  if (worker->runs.contains(key)) {
    return OrderOutcome::kAccepted;
  }
  const auto ended = worker->highest_finished.find(start.task);
  if (ended != worker->highest_finished.end() && start.run <= ended->second) {
    return OrderOutcome::kRunTooOld;
  }
  if (worker->start_rejection) {
    return *worker->start_rejection;
  }
  const QueuedJob* job = state_.FindJob(start.task.job);
  const JobStep& step = job->specification.steps[start.task.step];
  if (recorded_done_.contains(start.task)) {
    RecordViolation(start.task.ToString() +
                    " starts after it was recorded as done");
  }
  if (listed_done_.contains(start.task)) {
    RecordViolation(start.task.ToString() +
                    " starts after a response listed it as done");
  }
  for (const int64_t predecessor : step.predecessors) {
    for (int64_t i = 0; i < job->specification.steps[predecessor].tasks; ++i) {
      const TaskName name{start.task.job, start.task.occurrence, predecessor,
                          i};
      if (job->outcome == JobOutcome::kOpen && !recorded_done_.contains(name)) {
        RecordViolation(start.task.ToString() +
                        " starts before its predecessor " + name.ToString());
      }
    }
  }
  ++starts_;
  attempts_[start.task].last_start = now_;
  CheckAttempts(start.task);
  CheckStartsAfterCrashes(start.task);
  ScheduleCrash(start.task, worker);
  Run run;
  run.end_time = now_ + options_.task_time;
  run.image = step.image;
  run.target_ms = step.target_latency_ms;
  run.long_running = step.long_running;
  run.gang_members = options_.ends_gangs && step.gang ? step.tasks : 0;
  Run& added = worker->runs[key] = run;
  JoinGang(key, &added);
  CheckLimit(job->account);
  return OrderOutcome::kAccepted;
}

OrderOutcome FakePool::StopRun(Worker* worker, const StopOrder& stop) {
  const RunKey key(stop.task, stop.run);
  uint64_t& highest = worker->highest_finished[stop.task];
  highest = std::max(highest, stop.run);
  if (worker->runs.contains(key)) {
    FinishRun(worker, key, "stopped");
  }
  return OrderOutcome::kAccepted;
}

LeaseRenewalResponse FakePool::RenewLease(Worker* worker,
                                          const LeaseRenewalOrder& order) {
  if (order.lease_until_ms) {
    worker->lease_until_ms =
        std::max(worker->lease_until_ms, *order.lease_until_ms);
  }
  ObserveAcknowledged(*worker, worker->acknowledged_through,
                      order.acknowledged_through);
  worker->acknowledged_through =
      std::max(worker->acknowledged_through, order.acknowledged_through);
  LeaseRenewalResponse response;
  response.clock_ms = ClockOf(*worker);
  for (const auto& [key, run] : worker->runs) {
    ReportedRun reported{key.first, key.second, "", 50, std::nullopt};
    if (run.target_ms > 0) {
      const bool affected = std::any_of(
          worker->runs.begin(), worker->runs.end(), [this](const auto& item) {
            return item.second.image == interfering_image_ &&
                   item.second.cpu_limit_percent > 0;
          });
      reported.measurement = affected ? kInterferenceTailMs : kBaselineTailMs;
    }
    response.running.push_back(std::move(reported));
  }
  for (const ReportedFinishedRun& finished : worker->finished_runs) {
    if (finished.number > worker->acknowledged_through) {
      response.finished.push_back(finished);
    }
  }
  if (worker->unreadable) {
    response.running_complete = response.running.empty();
    response.finished_complete = response.finished.empty();
    response.running.erase(
        response.running.begin(),
        response.running.begin() + (response.running.empty() ? 0 : 1));
    response.finished.erase(
        response.finished.begin(),
        response.finished.begin() + (response.finished.empty() ? 0 : 1));
  }
  return response;
}

void FakePool::AdvanceWorker(Worker* worker) {
  std::vector<std::pair<RunKey, std::string>> ended;
  const bool lease_expired = ClockOf(*worker) > worker->lease_until_ms;
  if (lease_expired) {
    worker->lease_expired_at = now_;
  }
  for (const auto& [key, run] : worker->runs) {
    if (lease_expired) {
      ended.emplace_back(key, "lapsed");
    } else if (run.gang_breaks && *run.gang_breaks <= now_) {
      ended.emplace_back(key, "broken");
    } else if (run.gang_members > 0 && !run.gang_complete) {
      if (run.gang_wait_ends <= now_) {
        ended.emplace_back(key, "alone");
      }
    } else if (run.gang_breaks) {
      // The members of a gang end as done together only.
      continue;
    } else if (run.end_time <= now_ && !run.long_running) {
      const bool fails = worker->fails_all || Random() < options_.fail_task;
      ended.emplace_back(key, fails ? "failed" : "done");
    }
  }
  for (auto& [key, reason] : ended) {
    // The end of one member as done may have ended others.
    if (worker->runs.contains(key)) {
      FinishRun(worker, key, reason);
    }
  }
}

void FakePool::FinishRun(Worker* worker,
                         const RunKey& key,
                         std::string reason) {
  const auto run = worker->runs.find(key);
  const bool in_gang = run->second.gang_members > 0;
  worker->runs.erase(run);
  if (in_gang && reason == "done") {
    FinishGangOf(key);
  } else if (in_gang) {
    BreakGangOf(key);
  }
  uint64_t& highest = worker->highest_finished[key.first];
  highest = std::max(highest, key.second);
  ReportedFinishedRun end;
  end.number = ++worker->finished_run_count;
  end.finished_run = {key.first, key.second,
                      reason == "done"     ? RunOutcome::kDone
                      : reason == "failed" ? RunOutcome::kFailed
                                           : RunOutcome::kInterrupted,
                      ""};
  end.reason = std::move(reason);
  worker->finished_runs.push_back(std::move(end));
  worker->finished_at.push_back(now_);
}

void FakePool::ObserveAcknowledged(const Worker& worker,
                                   int64_t from,
                                   int64_t through) {
  for (int64_t number = from; number < through; ++number) {
    const auto position = static_cast<size_t>(number);
    if (position >= worker.finished_runs.size()) {
      return;
    }
    const FinishedRun& finished = worker.finished_runs[position].finished_run;
    // The leader may start the task again once the lease has expired.
    if (finished.outcome != RunOutcome::kFailed ||
        worker.lease_expired_at > worker.finished_at[position]) {
      continue;
    }
    attempts_[finished.task].acknowledged_failures.insert(
        worker.finished_at[position]);
    CheckAttempts(finished.task);
  }
}

void FakePool::CheckAttempts(const TaskName& task) {
  const Attempts& attempts = attempts_[task];
  if (attempts.acknowledged_failures.size() < kMaximumAttempts) {
    return;
  }
  const auto last_allowed =
      std::next(attempts.acknowledged_failures.begin(), kMaximumAttempts - 1);
  if (attempts.last_start > *last_allowed) {
    RecordViolation(task.ToString() + " starts after its last attempt");
  }
}

void FakePool::CheckInvariants() {
  std::set<TaskName> running;
  for (const Worker& worker : workers_) {
    for (const auto& [key, run] : worker.runs) {
      if (!running.insert(key.first).second) {
        RecordViolation(key.first.ToString() + " runs twice at the same time");
      }
    }
  }
  if (const auto inconsistency = dispatcher_->FindInconsistency()) {
    RecordViolation(*inconsistency);
  }
}

void FakePool::RecordViolation(const std::string& violation) {
  if (violation_.empty()) {
    violation_ = violation;
  }
}

JobOutcome FakePool::Outcome(const std::string& id) const {
  return state_.FindJob(id)->outcome;
}

int FakePool::RunsOn(int worker) const {
  return static_cast<int>(workers_[worker].runs.size());
}

int FakePool::RunningTasks() const {
  int count = 0;
  for (size_t i = 0; i < workers_.size(); ++i) {
    count += RunsOn(static_cast<int>(i));
  }
  return count;
}

bool FakePool::IsPartitioned(std::string_view id) const {
  return std::any_of(
      workers_.begin(), workers_.end(), [id](const Worker& worker) {
        return worker.registration.id == id && worker.partitioned;
      });
}

bool FakePool::IsRunning(const TaskName& task) const {
  return CpuLimitOf(task) >= 0;
}

int FakePool::WorkerOf(const TaskName& task) const {
  for (size_t i = 0; i < workers_.size(); ++i) {
    for (const auto& [key, run] : workers_[i].runs) {
      if (key.first == task) {
        return static_cast<int>(i);
      }
    }
  }
  return -1;
}

int64_t FakePool::CpuLimitOf(const TaskName& task) const {
  for (const Worker& worker : workers_) {
    for (const auto& [key, run] : worker.runs) {
      if (key.first == task) {
        return run.cpu_limit_percent;
      }
    }
  }
  return -1;
}

}  // namespace bramleyrail
