#include "packages/control/dispatch_loop.h"

#include <algorithm>
#include <utility>

#include "packages/control/control_events.h"

namespace bramleyrail {

namespace {

// Timers of the dispatcher are at least 50 ms long.
constexpr Milliseconds kTickInterval{25};
// Responses that arrive within this time are handled before one common step.
constexpr std::chrono::nanoseconds kMinimumStepPause{Milliseconds(2)};
// A pause as long as the step before it leaves half of the processor time to
// the responses, but never holds up a step by more than this.
constexpr std::chrono::nanoseconds kMaximumStepPause{Milliseconds(100)};
constexpr Milliseconds kRecordRetryDelay{50};
constexpr Milliseconds kPurgeInterval{10'000};
constexpr Milliseconds kLoadReportInterval{1'000};

int64_t ToMilliseconds(std::chrono::nanoseconds duration) {
  return std::chrono::round<Milliseconds>(duration).count();
}

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
    load_.longest_delay = std::max<std::chrono::nanoseconds>(
        load_.longest_delay, now - next_tick_);
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
  const std::chrono::nanoseconds pause =
      std::clamp(last_step_duration_, kMinimumStepPause, kMaximumStepPause);
  loop_->RunAfter(std::chrono::ceil<Milliseconds>(pause),
                  [this, alive = alive_] {
                    if (*alive) {
                      step_scheduled_ = false;
                      Step();
                    }
                  });
}

void DispatchLoop::Step() {
  FollowLeadership();
  if (dispatcher_ == nullptr) {
    return;
  }
  const MonotonicTime now = options_.clock();
  std::vector<WorkerOrder> orders;
  queue_->Read([&](const QueueState& state) {
    if (changed_.exchange(false)) {
      dispatcher_->Synchronize(state, now);
    }
    orders = dispatcher_->Step(state, now, UnixMilliseconds());
  });
  if (dispatcher_->superseded()) {
    EndLeadership("a worker follows a newer leader");
    return;
  }
  for (WorkerOrder& order : orders) {
    Send(std::move(order));
  }
  ProposeFinishedRuns();
  PurgeOldJobs(now);
  const std::chrono::nanoseconds duration = options_.clock() - now;
  ++load_.steps;
  load_.step_time += duration;
  load_.longest_step = std::max(load_.longest_step, duration);
  last_step_duration_ = duration;
}

void DispatchLoop::ReportLoad(MonotonicTime now) {
  if (now - last_report_ < kLoadReportInterval) {
    return;
  }
  last_report_ = now;
  const Load load = std::exchange(load_, {});
  if (dispatcher_ == nullptr) {
    return;
  }
  const auto [orders, renewals] = options_.clients;
  LogEvent(
      kDispatchLoad,
      {{"steps", load.steps},
       {"step_ms", ToMilliseconds(load.step_time)},
       {"longest_step_ms", ToMilliseconds(load.longest_step)},
       {"longest_delay_ms", ToMilliseconds(load.longest_delay)},
       {"responses", load.responses},
       {"response_ms", ToMilliseconds(load.response_time)},
       {"starts", load.starts},
       {"renewals", load.renewals},
       {"other_orders", load.other_orders},
       {"connections", orders ? orders->open_connections() : 0},
       {"calls_waiting", orders ? orders->waiting_calls() : 0},
       {"renewal_connections", renewals ? renewals->open_connections() : 0},
       {"renewals_waiting", renewals ? renewals->waiting_calls() : 0},
       {"ready_tasks", dispatcher_->ready_task_count()}});
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
      BeginLeadership{options_.instance},
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
  if (leadership_hook_) {
    leadership_hook_(false);
  }
}

void DispatchLoop::Send(WorkerOrder order) {
  const MonotonicTime sent = options_.clock();
  const int64_t leader_epoch = dispatcher_->leader_epoch();
  ++(std::holds_alternative<StartOrder>(order.body) ? load_.starts
     : std::holds_alternative<LeaseRenewalOrder>(order.body)
         ? load_.renewals
         : load_.other_orders);
  options_.call_worker(
      order, leader_epoch,
      // An order may wait for a connection, or this process may be suspended
      // meanwhile, and another instance may lead by then.
      [this, alive = alive_, leader_epoch] {
        return *alive && StillLeads(leader_epoch) &&
               queue_->replica().IsLeader();
      },
      [this, alive = alive_, order, sent,
       leader_epoch](const OrderResponse& response) {
        if (*alive && StillLeads(leader_epoch)) {
          HandleResponse(order, response, sent);
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
  ++load_.responses;
  load_.response_time += options_.clock() - now;
  ScheduleStep();
}

void DispatchLoop::ProposeFinishedRuns() {
  auto batch = std::make_shared<Dispatcher::FinishedRunBatch>(
      dispatcher_->TakeFinishedRuns());
  if (batch->number != 0) {
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

void DispatchLoop::PurgeOldJobs(MonotonicTime now) {
  if (now - last_purge_ < kPurgeInterval) {
    return;
  }
  last_purge_ = now;
  const int64_t before = UnixMilliseconds() - options_.job_retention.count();
  const bool any = queue_->Read([before](const QueueState& state) {
    for (const auto& [id, job] : state.jobs()) {
      if (job->outcome != JobOutcome::kOpen && job->ended_unix_ms < before) {
        return true;
      }
    }
    return false;
  });
  if (any) {
    // If the proposal fails, the next interval proposes it again.
    queue_->Propose(PurgeJobsEndedBefore{before},
                    [](const Result<QueueOutcome>&) {});
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
