#include "packages/control/dispatch_loop.h"

#include <utility>

#include "packages/control/control_events.h"

namespace bramleyrail {

namespace {

// Timers of the dispatcher are at least 50 ms long.
constexpr Milliseconds kTickInterval{25};
// Answers that arrive within this time share one step.
constexpr Milliseconds kStepDelay{2};
constexpr Milliseconds kRecordRetry{50};
constexpr Milliseconds kForgetInterval{10'000};

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
  Step();
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
  loop_->RunAfter(kStepDelay, [this, alive = alive_] {
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
  if (dispatcher_->deposed()) {
    EndLeadership("a worker follows a later leader");
    return;
  }
  for (WorkerOrder& order : orders) {
    Send(std::move(order));
  }
  RecordEnds();
  ForgetOldJobs(now);
}

void DispatchLoop::FollowLeadership() {
  const bool leads = queue_->replica().IsLeader();
  if (!leads && dispatcher_ != nullptr) {
    EndLeadership("the lease of the leader has ended");
  } else if (leads && dispatcher_ == nullptr && !taking_over_) {
    TakeOver();
  }
}

void DispatchLoop::TakeOver() {
  taking_over_ = true;
  queue_->Propose(BeginLeadership{options_.instance}, [this, alive = alive_,
                                                       loop = loop_](
                                                          Result<QueueOutcome>
                                                              outcome) {
    loop->Post([this, alive, outcome = std::move(outcome)] {
      if (!*alive) {
        return;
      }
      taking_over_ = false;
      if (!outcome || !queue_->replica().IsLeader()) {
        return;  // The next tick tries again.
      }
      dispatcher_ = std::make_unique<Dispatcher>(
          options_.dispatcher, outcome.value().leadership, options_.clock());
      changed_ = true;
      LogEvent(kLeadershipTaken, {{"leadership", outcome.value().leadership}});
      if (leadership_hook_) {
        leadership_hook_(true);
      }
      Step();
    });
  });
}

void DispatchLoop::EndLeadership(std::string_view reason) {
  LogEvent(kLeadershipLost,
           {{"leadership", dispatcher_->leadership()}, {"reason", reason}});
  dispatcher_.reset();
  if (leadership_hook_) {
    leadership_hook_(false);
  }
}

void DispatchLoop::Send(WorkerOrder order) {
  const MonotonicTime sent = options_.clock();
  const int64_t leadership = dispatcher_->leadership();
  options_.call_worker(order, leadership,
                       [this, alive = alive_, order, sent,
                        leadership](const OrderAnswer& answer) {
                         if (*alive && dispatcher_ != nullptr &&
                             dispatcher_->leadership() == leadership) {
                           HandleAnswer(order, answer, sent);
                         }
                       });
}

void DispatchLoop::HandleAnswer(const WorkerOrder& order,
                                const OrderAnswer& answer,
                                MonotonicTime sent) {
  const MonotonicTime now = options_.clock();
  // Jobs must not change while the dispatcher follows its references to them.
  queue_->Read([&](const QueueState&) {
    if (answer.clock_ms > 0) {
      dispatcher_->ObserveClock(order.worker.id, order.worker.started_unix_ms,
                                answer.clock_ms, now);
    }
    if (const auto* start = std::get_if<StartOrder>(&order.body)) {
      dispatcher_->HandleStartAnswer(order.worker, start->task, start->run,
                                     answer.outcome, now);
    } else if (const auto* stop = std::get_if<StopOrder>(&order.body)) {
      dispatcher_->HandleStopAnswer(order.worker, stop->task, stop->run,
                                    answer.outcome, now);
    } else if (const auto* pace = std::get_if<PaceOrder>(&order.body)) {
      dispatcher_->HandlePaceAnswer(order.worker, pace->task, pace->run,
                                    pace->percent, answer.outcome, now);
    } else {
      dispatcher_->HandleLookAnswer(order.worker, answer.outcome, answer.look,
                                    sent, now);
    }
  });
  ScheduleStep();
}

void DispatchLoop::RecordEnds() {
  auto batch = std::make_shared<Dispatcher::EndBatch>(dispatcher_->TakeEnds());
  if (batch->number != 0) {
    Record(std::move(batch));
  }
}

void DispatchLoop::Record(std::shared_ptr<Dispatcher::EndBatch> batch) {
  if (batch->ends.empty()) {
    dispatcher_->EndsRecorded(batch->number);
    return;
  }
  const int64_t leadership = dispatcher_->leadership();
  queue_->Propose(
      RecordRunEnds{batch->ends},
      [this, alive = alive_, loop = loop_, batch,
       leadership](const Result<QueueOutcome>& outcome) {
        loop->Post([this, alive, batch, leadership, outcome] {
          if (!*alive || dispatcher_ == nullptr ||
              dispatcher_->leadership() != leadership) {
            return;  // The next leader finds the ends in the workers' lists.
          }
          if (outcome) {
            dispatcher_->EndsRecorded(batch->number);
            ScheduleStep();
            return;
          }
          LogEvent(kEndsNotRecorded, {{"ends", batch->ends.size()},
                                      {"error", outcome.error().ToString()}});
          loop_->RunAfter(kRecordRetry, [this, alive, batch, leadership] {
            if (*alive && dispatcher_ != nullptr &&
                dispatcher_->leadership() == leadership) {
              Record(batch);
            }
          });
        });
      });
}

void DispatchLoop::ForgetOldJobs(MonotonicTime now) {
  if (now - last_forget_ < kForgetInterval) {
    return;
  }
  last_forget_ = now;
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
    // A failure is repeated at the next interval.
    queue_->Propose(ForgetJobsBefore{before},
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
