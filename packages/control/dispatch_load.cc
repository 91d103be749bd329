#include "packages/control/dispatch_load.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "packages/control/control_events.h"

namespace bramleyrail {

namespace {

int64_t ToMilliseconds(DispatchLoad::Duration duration) {
  return std::chrono::round<Milliseconds>(duration).count();
}

}  // namespace

void DispatchLoad::AddStep(const Step& step) {
  ++steps_;
  step_time_.synchronize += step.synchronize;
  step_time_.decide += step.decide;
  step_time_.send += step.send;
  longest_step_ =
      std::max(longest_step_, step.synchronize + step.decide + step.send);
}

void DispatchLoad::AddResponse(Duration duration) {
  ++responses_;
  response_time_ += duration;
}

void DispatchLoad::AddOrder(const WorkerOrder& order) {
  ++(std::holds_alternative<StartOrder>(order.body)          ? starts_
     : std::holds_alternative<LeaseRenewalOrder>(order.body) ? renewals_
                                                             : other_orders_);
}

void DispatchLoad::AddDelay(Duration delay) {
  longest_delay_ = std::max(longest_delay_, delay);
}

void DispatchLoad::Report(const Dispatcher& dispatcher,
                          const WorkerClients& clients) {
  const Dispatcher::Counters& counters = dispatcher.counters();
  const auto [orders, renewals] = clients;
  LogEvent(
      kDispatchLoad,
      {{"steps", steps_},
       {"synchronize_ms", ToMilliseconds(step_time_.synchronize)},
       {"decide_ms", ToMilliseconds(step_time_.decide)},
       {"send_ms", ToMilliseconds(step_time_.send)},
       {"longest_step_ms", ToMilliseconds(longest_step_)},
       {"longest_delay_ms", ToMilliseconds(longest_delay_)},
       {"responses", responses_},
       {"response_ms", ToMilliseconds(response_time_)},
       {"starts", starts_},
       {"renewals", renewals_},
       {"other_orders", other_orders_},
       {"worker_ratings", counters.worker_ratings - reported_.worker_ratings},
       {"job_visits", counters.job_visits - reported_.job_visits},
       {"ready_task_visits",
        counters.ready_task_visits - reported_.ready_task_visits},
       {"run_visits", counters.run_visits - reported_.run_visits},
       {"connections", orders ? orders->open_connections() : 0},
       {"calls_waiting", orders ? orders->waiting_calls() : 0},
       {"renewal_connections", renewals ? renewals->open_connections() : 0},
       {"renewals_waiting", renewals ? renewals->waiting_calls() : 0},
       {"open_jobs", dispatcher.job_count()},
       {"ready_tasks", dispatcher.ready_task_count()},
       {"starts_planned", counters.starts_planned - reported_.starts_planned},
       {"plans_kept", counters.plans_kept - reported_.plans_kept},
       {"plans_failed", counters.plans_failed - reported_.plans_failed},
       {"backfilled_starts",
        counters.backfilled_starts - reported_.backfilled_starts},
       {"plan_visits", counters.plan_visits - reported_.plan_visits}});
  Reset();
  reported_ = counters;
}

}  // namespace bramleyrail
