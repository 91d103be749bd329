#include "packages/control/dispatch_loop.h"

#include <algorithm>
#include <utility>

#include "packages/control/control_events.h"

namespace bramleyrail {

namespace {

// Timers of the dispatcher are at least 50 ms long.
constexpr Milliseconds kTickInterval{25};
// Responses that arrive within this time are handled before one common step.
constexpr Milliseconds kMinimumStepPause{2};
// A step waits until the responses that have arrived are read, but not longer
// than this.
constexpr Milliseconds kMaximumStepDelay{100};
// The event loop takes at most 128 ready sockets from the kernel at a time.
// After half as many responses, more may have arrived.
constexpr int kResponsesOfFullBatch = 64;
constexpr Milliseconds kRecordRetryDelay{50};
constexpr Milliseconds kPurgeInterval{10'000};
// Pause between two commands that forget withdrawn workers. A leader that takes
// over before then waits for them.
constexpr Milliseconds kForgetInterval{200};
// Pause between two commands that record suspected runs. A leader that takes
// over before then does not know of them.
constexpr Milliseconds kSuspicionInterval{200};
constexpr Milliseconds kLoadReportInterval{1'000};

}  // namespace

DispatchLoop::DispatchLoop(IoLoop* loop,
                           ReplicatedQueue* queue,
                           Options options)
    : loop_(loop),
      queue_(queue),
      options_(std::move(options)),
      alive_(std::make_shared<bool>(true)) {}

DispatchLoop::~DispatchLoop() {
  *alive_ = false;
}

void DispatchLoop::Start() {
  Tick();
}

void DispatchLoop::Tick() {
  const MonotonicTime now = options_.clock();
  if (next_tick_ != MonotonicTime()) {
    load_.AddDelay(now - next_tick_);
  }
  ScheduleStep();
  ReportLoad(options_.clock());
  next_tick_ = options_.clock() + kTickInterval;
  loop_->RunAfter(kTickInterval, [this, alive = alive_] {
    if (*alive) {
      Tick();
    }
  });
}

void DispatchLoop::Wake() {
  changed_ = true;
  if (wake_posted_.exchange(true)) {
    return;
  }
  loop_->Post([this, alive = alive_] {
    if (*alive) {
      wake_posted_ = false;
      ScheduleStep();
    }
  });
}

void DispatchLoop::ScheduleStep() {
  if (std::exchange(step_scheduled_, true)) {
    return;
  }
  step_due_ = options_.clock() + kMinimumStepPause;
  StepAfter(kMinimumStepPause);
}

void DispatchLoop::StepAfter(Milliseconds delay) {
  responses_before_step_ = 0;
  loop_->RunAfter(delay, [this, alive = alive_] {
    if (!*alive) {
      return;
    }
    const bool more_responses = responses_before_step_ >= kResponsesOfFullBatch;
    if (more_responses && options_.clock() - step_due_ < kMaximumStepDelay) {
      StepAfter(Milliseconds(0));
      return;
    }
    step_scheduled_ = false;
    Step();
  });
}

void DispatchLoop::Step() {
  FollowLeadership();
  if (dispatcher_ == nullptr) {
    return;
  }
  const MonotonicTime now = options_.clock();
  MonotonicTime synchronized = now;
  std::vector<WorkerOrder> orders;
  queue_->Read([&](const QueueState& state) {
    if (changed_.exchange(false)) {
      dispatcher_->Synchronize(state, now);
      synchronized = options_.clock();
    }
    orders = dispatcher_->Step(state, now, UnixMilliseconds());
  });
  if (dispatcher_->superseded()) {
    EndLeadership("a worker follows a newer leader");
    return;
  }
  const MonotonicTime decided = options_.clock();
  for (WorkerOrder& order : orders) {
    Send(std::move(order));
  }
  // The ends of the tasks that a step waits for come before its starts.
  ProposeFinishedRuns();
  ProposePlacements();
  PurgeOldJobs(now);
  ForgetWithdrawnWorkers(now);
  RecordSuspicions(now);
  const MonotonicTime sent = options_.clock();
  load_.AddStep({.synchronize = synchronized - now,
                 .decide = decided - synchronized,
                 .send = sent - decided});
}

void DispatchLoop::ReportLoad(MonotonicTime now) {
  if (now - last_report_ < kLoadReportInterval) {
    return;
  }
  last_report_ = now;
  if (dispatcher_ == nullptr) {
    load_.Reset();
    return;
  }
  load_.Report(*dispatcher_, options_.clients);
}

void DispatchLoop::FollowLeadership() {
  const bool leads = queue_->replica().IsLeader();
  if (!leads && dispatcher_ != nullptr) {
    EndLeadership("this instance no longer holds the leader lease");
  } else if (leads && dispatcher_ == nullptr && !taking_over_) {
    TakeOver();
  }
}

void DispatchLoop::TakeOver() {
  taking_over_ = true;
  queue_->Propose(
      BeginLeadership{.instance = options_.instance,
                      .records_placements = true,
                      .longest_lease_ms = options_.dispatcher.lease.count()},
      [this, alive = alive_, loop = loop_](Result<QueueOutcome> outcome) {
        loop->Post([this, alive, outcome = std::move(outcome)] {
          if (!*alive) {
            return;
          }
          taking_over_ = false;
          if (!outcome || !queue_->replica().IsLeader()) {
            return;  // The next tick retries.
          }
          dispatcher_ = std::make_unique<Dispatcher>(
              options_.dispatcher, outcome.value().leader_epoch,
              options_.clock());
          changed_ = true;
          LogEvent(kLeadershipTaken,
                   {{"leadership", outcome.value().leader_epoch}});
          if (leadership_hook_) {
            leadership_hook_(true);
          }
          Step();
        });
      });
}

void DispatchLoop::EndLeadership(std::string_view reason) {
  LogEvent(kLeadershipLost,
           {{"leadership", dispatcher_->leader_epoch()}, {"reason", reason}});
  dispatcher_.reset();
  load_.Reset();
  if (leadership_hook_) {
    leadership_hook_(false);
  }
}

void DispatchLoop::Send(WorkerOrder order) {
  const MonotonicTime sent = options_.clock();
  const int64_t leader_epoch = dispatcher_->leader_epoch();
  load_.AddOrder(order);
  const auto shared = std::make_shared<const WorkerOrder>(std::move(order));
  options_.call_worker(
      shared, leader_epoch,
      // An order may wait for a connection, or this process may be suspended
      // meanwhile, and another instance may lead by then.
      [this, alive = alive_, leader_epoch] {
        return *alive && StillLeads(leader_epoch) &&
               queue_->replica().IsLeader();
      },
      [this, alive = alive_, shared, sent,
       leader_epoch](const OrderResponse& response) {
        if (*alive && StillLeads(leader_epoch)) {
          HandleResponse(*shared, response, sent);
        }
      });
}

bool DispatchLoop::StillLeads(int64_t leader_epoch) const {
  return dispatcher_ != nullptr && dispatcher_->leader_epoch() == leader_epoch;
}

void DispatchLoop::HandleResponse(const WorkerOrder& order,
                                  const OrderResponse& response,
                                  MonotonicTime sent) {
  const MonotonicTime now = options_.clock();
  // Read keeps jobs from changing while the dispatcher follows its references
  // to them.
  queue_->Read([&](const QueueState&) {
    if (response.clock_ms > 0) {
      dispatcher_->ObserveClock(order.worker.id, order.worker.started_unix_ms,
                                response.clock_ms, now);
    }
    if (const auto* start = std::get_if<StartOrder>(&order.body)) {
      dispatcher_->HandleStartResponse(order.worker, start->task, start->run,
                                       response.outcome, now);
    } else if (const auto* stop = std::get_if<StopOrder>(&order.body)) {
      dispatcher_->HandleStopResponse(order.worker, stop->task, stop->run,
                                      response.outcome, now);
    } else if (const auto* cpu_limit =
                   std::get_if<CpuLimitOrder>(&order.body)) {
      dispatcher_->HandleCpuLimitResponse(
          order.worker, cpu_limit->task, cpu_limit->run,
          cpu_limit->cpu_limit_percent, response.outcome, now);
    } else {
      dispatcher_->HandleLeaseRenewalResponse(
          order.worker, response.outcome, response.lease_renewal, sent, now);
    }
  });
  load_.AddResponse(options_.clock() - now);
  ++responses_before_step_;
  ScheduleStep();
}

void DispatchLoop::ProposeFinishedRuns() {
  while (true) {
    auto batch = std::make_shared<Dispatcher::FinishedRunBatch>(
        dispatcher_->TakeFinishedRuns());
    if (batch->number == 0) {
      return;
    }
    ProposeBatch(std::move(batch));
  }
}

void DispatchLoop::ProposeBatch(
    std::shared_ptr<Dispatcher::FinishedRunBatch> batch) {
  if (batch->finished_runs.empty()) {
    dispatcher_->MarkFinishedRunsDurable(batch->number);
    return;
  }
  const int64_t leader_epoch = dispatcher_->leader_epoch();
  queue_->Propose(
      RecordFinishedRuns{batch->finished_runs},
      [this, alive = alive_, loop = loop_, batch,
       leader_epoch](const Result<QueueOutcome>& outcome) {
        loop->Post([this, alive, batch, leader_epoch, outcome] {
          if (!*alive || !StillLeads(leader_epoch)) {
            return;  // The next leader reads them from workers' reports.
          }
          if (outcome) {
            dispatcher_->MarkFinishedRunsDurable(batch->number);
            ScheduleStep();
            return;
          }
          LogEvent(kFinishedRunsNotRecorded,
                   {{"ends", batch->finished_runs.size()},
                    {"error", outcome.error().ToString()}});
          loop_->RunAfter(kRecordRetryDelay,
                          [this, alive, batch, leader_epoch] {
                            if (*alive && StillLeads(leader_epoch)) {
                              ProposeBatch(batch);
                            }
                          });
        });
      });
}

void DispatchLoop::ProposePlacements() {
  auto batch = std::make_shared<Dispatcher::PlacementBatch>(
      dispatcher_->TakePlacements());
  if (batch->number != 0) {
    ProposePlacementBatch(std::move(batch));
  }
}

void DispatchLoop::ProposePlacementBatch(
    std::shared_ptr<Dispatcher::PlacementBatch> batch) {
  queue_->Propose(batch->command, [this, alive = alive_, loop = loop_,
                                   batch](const Result<QueueOutcome>& outcome) {
    loop->Post([this, alive, batch, outcome] {
      if (*alive && StillLeads(batch->command.leader_epoch)) {
        HandlePlacementsRecorded(batch, outcome);
      }
    });
  });
}

void DispatchLoop::HandlePlacementsRecorded(
    const std::shared_ptr<Dispatcher::PlacementBatch>& batch,
    const Result<QueueOutcome>& outcome) {
  if (outcome && !outcome.value().found) {
    EndLeadership("a newer leader has begun");
    return;
  }
  if (!outcome) {
    LogEvent(kPlacementsNotRecorded,
             {{"batch", batch->number}, {"error", outcome.error().ToString()}});
    loop_->RunAfter(kRecordRetryDelay, [this, alive = alive_, batch] {
      if (*alive && StillLeads(batch->command.leader_epoch)) {
        ProposePlacementBatch(batch);
      }
    });
    return;
  }
  const MonotonicTime now = options_.clock();
  const std::vector<WorkerOrder> orders = queue_->Read([&](const QueueState&) {
    return dispatcher_->MarkPlacementsDurable(batch->number, now);
  });
  for (const WorkerOrder& order : orders) {
    Send(order);
  }
}

void DispatchLoop::PurgeOldJobs(MonotonicTime now) {
  if (now - last_purge_ < kPurgeInterval) {
    return;
  }
  last_purge_ = now;
  const int64_t before = UnixMilliseconds() - options_.job_retention.count();
  const bool any = queue_->Read([before](const QueueState& state) {
    return state.HasJobsEndedBefore(before);
  });
  if (any) {
    // If the proposal fails, the next interval proposes it again.
    queue_->Propose(PurgeJobsEndedBefore{before},
                    [](const Result<QueueOutcome>&) {});
  }
}

void DispatchLoop::ForgetWithdrawnWorkers(MonotonicTime now) {
  if (now < next_forget_) {
    return;
  }
  std::vector<WorkerIncarnation> ended =
      queue_->Read([this](const QueueState& state) {
        return dispatcher_->EndedWithdrawals(state);
      });
  if (ended.empty()) {
    return;
  }
  next_forget_ = now + kForgetInterval;
  // If the proposal fails, a later step proposes it again.
  queue_->Propose(
      bramleyrail::ForgetWithdrawnWorkers{dispatcher_->leader_epoch(),
                                          std::move(ended)},
      [](const Result<QueueOutcome>&) {});
}

void DispatchLoop::RecordSuspicions(MonotonicTime now) {
  if (now < next_suspicion_record_) {
    return;
  }
  std::vector<SuspectedRuns> changes =
      queue_->Read([this](const QueueState& state) {
        return dispatcher_->SuspicionChanges(state);
      });
  if (changes.empty()) {
    return;
  }
  next_suspicion_record_ = now + kSuspicionInterval;
  // If the proposal fails, a later step proposes it again.
  queue_->Propose(
      RecordSuspectedRuns{dispatcher_->leader_epoch(), std::move(changes)},
      [](const Result<QueueOutcome>&) {});
}

Result<AdmissionDecision> DispatchLoop::Admit(const SubmitJob& job) {
  return queue_->Read([&](const QueueState& state) {
    return dispatcher_->Admit(state, job, options_.clock());
  });
}

void DispatchLoop::WithdrawAdmission(const std::string& id,
                                     int64_t leader_epoch) {
  if (StillLeads(leader_epoch)) {
    dispatcher_->WithdrawAdmission(id);
  }
}

void DispatchLoop::ObserveClock(const std::string& worker,
                                int64_t started_unix_ms,
                                int64_t clock_ms) {
  if (dispatcher_ != nullptr) {
    dispatcher_->ObserveClock(worker, started_unix_ms, clock_ms,
                              options_.clock());
  }
}

}  // namespace bramleyrail
