#include "packages/dispatch/fakes/fake_pool.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kStepTime{10};
constexpr Milliseconds kResponseTimeout{1'000};
constexpr int64_t kMaximumDeliveryDelayMs = 6'000;
constexpr int64_t kStartUnixMs = 1'000'000;
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

void FakePool::Submit(const std::string& id, JobSpecification job) {
  SubmitJob command;
  command.id = id;
  command.queue = "queue";
  command.pool = "pool";
  command.maximum_attempts = kMaximumAttempts;
  command.specification = std::move(job);
  Apply(std::move(command));
}

void FakePool::Apply(QueueCommandBody body) {
  state_.Apply({kStartUnixMs, std::move(body)});
  if (dispatcher_ != nullptr) {
    dispatcher_->Synchronize(state_, now_);
  }
}

void FakePool::ChangeLeader() {
  dispatcher_.reset();
  const QueueOutcome outcome =
      state_.Apply({kStartUnixMs, BeginLeadership{"leader"}});
  Dispatcher::Options options;
  options.lease = options_.lease;
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
  StepDispatcher(dispatcher_.get());
  CheckInvariants();
}

void FakePool::StepDispatcher(Dispatcher* dispatcher) {
  const int64_t unix_ms =
      kStartUnixMs +
      std::chrono::floor<Milliseconds>(now_.time_since_epoch()).count();
  for (const WorkerOrder& order : dispatcher->Step(state_, now_, unix_ms)) {
    const int worker = std::stoi(order.worker.id.substr(1));
    Delivery delivery{now_ + Milliseconds(1 + random_() % 40),
                      worker,
                      order,
                      dispatcher->leader_epoch(),
                      true,
                      workers_[worker].registration.started_unix_ms};
    const double random_draw = Random();
    if (random_draw < options_.lose_order) {
      // The outcome is unknown after the response timeout.
      delivery.time = now_ + kResponseTimeout;
      delivery.worker = -1;
    } else if (random_draw < options_.lose_order + options_.delay_order) {
      Delivery delayed = delivery;
      delayed.time = now_ + Milliseconds(random_() % kMaximumDeliveryDelayMs);
      delayed.has_response = false;
      deliveries_.push_back(delayed);
      delivery.time = now_ + kResponseTimeout;
      delivery.worker = -1;
    }
    deliveries_.push_back(std::move(delivery));
  }
  const Dispatcher::FinishedRunBatch batch = dispatcher->TakeFinishedRuns();
  if (batch.number != 0) {
    for (const FinishedRun& end : batch.finished_runs) {
      if (end.outcome == RunOutcome::kDone) {
        recorded_done_.insert(end.task);
      }
    }
    state_.Apply({kStartUnixMs, RecordFinishedRuns{batch.finished_runs}});
    dispatcher->MarkFinishedRunsDurable(batch.number);
    dispatcher->Synchronize(state_, now_);
  }
}

void FakePool::Deliver(const Delivery& delivery) {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  LeaseRenewalResponse renewal;
  if (delivery.worker >= 0) {
    Worker& worker = workers_[delivery.worker];
    if (worker.partitioned) {
      Delivery timed_out = delivery;
      timed_out.worker = -1;
      timed_out.time = now_ + kResponseTimeout;
      deliveries_.push_back(timed_out);
      return;
    }
    if (now_ < worker.down_until) {
      if (delivery.has_response) {
        Respond(delivery, OrderOutcome::kConnectionRefused, renewal);
      }
      return;
    }
    const bool ended =
        delivery.incarnation != worker.registration.started_unix_ms;
    if (ended && !delivery.has_response) {
      return;
    }
    std::tie(outcome, renewal) =
        Execute(&worker, delivery.order, delivery.fence);
    // The client sends the order again when its connection ends. Whether the
    // first copy was executed is not known then.
    if (ended && outcome != OrderOutcome::kAccepted &&
        outcome != OrderOutcome::kRunTooOld &&
        outcome != OrderOutcome::kRestarted) {
      outcome = OrderOutcome::kUnknown;
    }
  }
  if (delivery.has_response) {
    Respond(delivery, outcome, renewal);
  }
}

void FakePool::Respond(const Delivery& delivery,
                       OrderOutcome outcome,
                       const LeaseRenewalResponse& renewal) {
  if (delivery.fence != dispatcher_->leader_epoch()) {
    return;
  }
  const WorkerOrder& order = delivery.order;
  if (const auto* start = std::get_if<StartOrder>(&order.body)) {
    dispatcher_->HandleStartResponse(order.worker, start->task, start->run,
                                     outcome, now_);
  } else if (const auto* stop = std::get_if<StopOrder>(&order.body)) {
    dispatcher_->HandleStopResponse(order.worker, stop->task, stop->run,
                                    outcome, now_);
  } else if (const auto* limit = std::get_if<CpuLimitOrder>(&order.body)) {
    dispatcher_->HandleCpuLimitResponse(order.worker, limit->task, limit->run,
                                        limit->cpu_limit_percent, outcome,
                                        now_);
  } else {
    // The lists describe the time of the response, so the order counts as sent
    // just before it.
    dispatcher_->HandleLeaseRenewalResponse(order.worker, outcome, renewal,
                                            now_ - Milliseconds(1), now_);
  }
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
  const QueuedJob* job = state_.FindJob(start.task.job);
  const JobStep& step = job->specification.steps[start.task.step];
  if (recorded_done_.contains(start.task)) {
    RecordViolation(start.task.ToString() +
                    " starts after it was recorded as done");
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
  worker->runs[key] = run;
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
    } else if (run.end_time <= now_ && !run.long_running) {
      const bool fails = worker->fails_all || Random() < options_.fail_task;
      ended.emplace_back(key, fails ? "failed" : "done");
    }
  }
  for (auto& [key, reason] : ended) {
    FinishRun(worker, key, reason);
  }
}

void FakePool::FinishRun(Worker* worker,
                         const RunKey& key,
                         std::string reason) {
  worker->runs.erase(key);
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
