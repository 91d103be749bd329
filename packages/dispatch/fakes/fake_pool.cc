#include "packages/dispatch/fakes/fake_pool.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kStep{10};
constexpr Milliseconds kAnswerTimeout{1'000};
constexpr int64_t kMaximumLateMs = 6'000;
constexpr int64_t kFirstUnixMs = 1'000'000;
constexpr int64_t kCalmTailMs = 8;
constexpr int64_t kDisturbedTailMs = 90;

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
    worker.registration.started_unix_ms = kFirstUnixMs;
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
    step.estimated_ms = 400;
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
  command.maximum_attempts = 4;
  command.job = std::move(job);
  Apply(std::move(command));
}

void FakePool::Apply(QueueCommandBody body) {
  state_.Apply({kFirstUnixMs, std::move(body)});
  if (dispatcher_ != nullptr) {
    dispatcher_->Synchronize(state_, now_);
  }
}

void FakePool::ChangeLeader() {
  dispatcher_.reset();
  const QueueOutcome outcome =
      state_.Apply({kFirstUnixMs, BeginLeadership{"leader"}});
  Dispatcher::Options options;
  options.lease = options_.lease;
  options.maximum_lease = options_.lease + Milliseconds(500);
  dispatcher_ = std::make_unique<Dispatcher>(options, outcome.leadership, now_);
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
  while (now_ < end && fault_.empty()) {
    Step();
  }
}

bool FakePool::RunUntil(const std::function<bool()>& condition,
                        Milliseconds limit) {
  const MonotonicTime end = now_ + limit;
  while (!condition()) {
    if (now_ >= end || !fault_.empty()) {
      return false;
    }
    Step();
  }
  return true;
}

void FakePool::Step() {
  now_ += kStep;
  for (Worker& worker : workers_) {
    AdvanceWorker(&worker);
  }
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
  Check();
}

void FakePool::StepDispatcher(Dispatcher* dispatcher) {
  const int64_t unix_ms =
      kFirstUnixMs +
      std::chrono::floor<Milliseconds>(now_.time_since_epoch()).count();
  for (const WorkerOrder& order : dispatcher->Step(state_, now_, unix_ms)) {
    const int worker = std::stoi(order.worker.id.substr(1));
    Delivery delivery{now_ + Milliseconds(1 + random_() % 40), worker, order,
                      dispatcher->leadership(), true};
    const double luck = Random();
    if (luck < options_.lose_order) {
      // Answered as unknown after the time-out.
      delivery.time = now_ + kAnswerTimeout;
      delivery.worker = -1;
    } else if (luck < options_.lose_order + options_.delay_order) {
      Delivery late = delivery;
      late.time = now_ + Milliseconds(random_() % kMaximumLateMs);
      late.answered = false;
      deliveries_.push_back(late);
      delivery.time = now_ + kAnswerTimeout;
      delivery.worker = -1;
    }
    deliveries_.push_back(std::move(delivery));
  }
  const Dispatcher::EndBatch batch = dispatcher->TakeEnds();
  if (batch.number != 0) {
    for (const TaskRunEnd& end : batch.ends) {
      if (end.end == RunEnd::kDone) {
        recorded_done_.insert(end.task);
      }
    }
    state_.Apply({kFirstUnixMs, RecordRunEnds{batch.ends}});
    dispatcher->EndsRecorded(batch.number);
    dispatcher->Synchronize(state_, now_);
  }
}

void FakePool::Deliver(const Delivery& delivery) {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  LookAnswer look;
  if (delivery.worker >= 0) {
    Worker& worker = workers_[delivery.worker];
    if (worker.cut) {
      Delivery timed_out = delivery;
      timed_out.worker = -1;
      timed_out.time = now_ + kAnswerTimeout;
      deliveries_.push_back(timed_out);
      return;
    }
    std::tie(outcome, look) = Execute(&worker, delivery.order, delivery.fence);
  }
  if (!delivery.answered || delivery.fence != dispatcher_->leadership()) {
    return;
  }
  const WorkerOrder& order = delivery.order;
  if (const auto* start = std::get_if<StartOrder>(&order.body)) {
    dispatcher_->HandleStartAnswer(order.worker, start->task, start->run,
                                   outcome, now_);
  } else if (const auto* stop = std::get_if<StopOrder>(&order.body)) {
    dispatcher_->HandleStopAnswer(order.worker, stop->task, stop->run, outcome,
                                  now_);
  } else if (const auto* pace = std::get_if<PaceOrder>(&order.body)) {
    dispatcher_->HandlePaceAnswer(order.worker, pace->task, pace->run,
                                  pace->percent, outcome, now_);
  } else {
    // Lists are as of the moment of the answer.
    dispatcher_->HandleLookAnswer(order.worker, outcome, look,
                                  now_ - Milliseconds(1), now_);
  }
}

std::pair<OrderOutcome, LookAnswer> FakePool::Execute(Worker* worker,
                                                      const WorkerOrder& order,
                                                      int64_t fence) {
  if (worker->registration.started_unix_ms != order.worker.started_unix_ms) {
    return {OrderOutcome::kOtherLife, {}};
  }
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
  if (const auto* pace = std::get_if<PaceOrder>(&order.body)) {
    const auto run = worker->runs.find({pace->task, pace->run});
    if (run != worker->runs.end()) {
      run->second.percent = pace->percent;
    }
    return {OrderOutcome::kAccepted, {}};
  }
  return {OrderOutcome::kAccepted,
          Look(worker, std::get<LookOrder>(order.body))};
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
  const auto ended = worker->highest_ended.find(start.task);
  if (ended != worker->highest_ended.end() && start.run <= ended->second) {
    return OrderOutcome::kRunTooOld;
  }
  const QueuedJob* job = state_.FindJob(start.task.job);
  const JobStep& step = job->job.steps[start.task.step];
  if (recorded_done_.contains(start.task)) {
    Fail(start.task.ToString() + " starts after its end was recorded");
  }
  for (const int64_t predecessor : step.predecessors) {
    for (int64_t i = 0; i < job->job.steps[predecessor].tasks; ++i) {
      const TaskName name{start.task.job, start.task.occurrence, predecessor,
                          i};
      if (job->outcome == JobOutcome::kOpen && !recorded_done_.contains(name)) {
        Fail(start.task.ToString() + " starts before " + name.ToString());
      }
    }
  }
  ++starts_;
  Run run;
  run.ends = now_ + options_.task_time;
  run.image = step.image;
  run.target_ms = step.target_latency_ms;
  run.long_running = step.long_running;
  worker->runs[key] = run;
  return OrderOutcome::kAccepted;
}

OrderOutcome FakePool::StopRun(Worker* worker, const StopOrder& stop) {
  const RunKey key(stop.task, stop.run);
  uint64_t& highest = worker->highest_ended[stop.task];
  highest = std::max(highest, stop.run);
  if (worker->runs.contains(key)) {
    EndRun(worker, key, "stopped");
  }
  return OrderOutcome::kAccepted;
}

LookAnswer FakePool::Look(Worker* worker, const LookOrder& look) {
  if (look.lease_until_ms) {
    worker->lease_until_ms =
        std::max(worker->lease_until_ms, *look.lease_until_ms);
  }
  worker->recorded = std::max(worker->recorded, look.ends_recorded);
  LookAnswer answer;
  answer.clock_ms = ClockOf(*worker);
  for (const auto& [key, run] : worker->runs) {
    ListedRun listed{key.first, key.second, "", 50, std::nullopt};
    if (run.target_ms > 0) {
      const bool disturbed = std::any_of(
          worker->runs.begin(), worker->runs.end(), [this](const auto& item) {
            return item.second.image == disturber_ && item.second.percent > 0;
          });
      listed.load = disturbed ? kDisturbedTailMs : kCalmTailMs;
    }
    answer.running.push_back(std::move(listed));
  }
  for (const ListedEnd& end : worker->ends) {
    if (end.number > worker->recorded) {
      answer.ended.push_back(end);
    }
  }
  return answer;
}

void FakePool::AdvanceWorker(Worker* worker) {
  std::vector<std::pair<RunKey, std::string>> ended;
  const bool lapsed = ClockOf(*worker) > worker->lease_until_ms;
  for (const auto& [key, run] : worker->runs) {
    if (lapsed) {
      ended.emplace_back(key, "lapsed");
    } else if (run.ends <= now_ && !run.long_running) {
      const bool fails = worker->fails_all || Random() < options_.fail_task;
      ended.emplace_back(key, fails ? "failed" : "done");
    }
  }
  for (auto& [key, reason] : ended) {
    EndRun(worker, key, reason);
  }
}

void FakePool::EndRun(Worker* worker, const RunKey& key, std::string reason) {
  worker->runs.erase(key);
  uint64_t& highest = worker->highest_ended[key.first];
  highest = std::max(highest, key.second);
  ListedEnd end;
  end.number = ++worker->end_count;
  end.end = {key.first, key.second,
             reason == "done"     ? RunEnd::kDone
             : reason == "failed" ? RunEnd::kFailed
                                  : RunEnd::kInterrupted,
             ""};
  end.reason = std::move(reason);
  worker->ends.push_back(std::move(end));
}

void FakePool::Crash(int number) {
  Worker& worker = workers_[number];
  Worker next;
  next.registration = worker.registration;
  ++next.registration.started_unix_ms;
  worker = std::move(next);
  Apply(PutWorker{worker.registration});
}

void FakePool::SetDraining(int number) {
  workers_[number].registration.draining = true;
  Apply(PutWorker{workers_[number].registration});
}

void FakePool::Check() {
  std::set<TaskName> running;
  for (const Worker& worker : workers_) {
    for (const auto& [key, run] : worker.runs) {
      if (!running.insert(key.first).second) {
        Fail(key.first.ToString() + " runs twice");
      }
    }
  }
}

void FakePool::Fail(const std::string& fault) {
  if (fault_.empty()) {
    fault_ = fault;
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

int64_t FakePool::PaceOf(const TaskName& task) const {
  for (const Worker& worker : workers_) {
    for (const auto& [key, run] : worker.runs) {
      if (key.first == task) {
        return run.percent;
      }
    }
  }
  return -1;
}

}  // namespace bramleyrail
