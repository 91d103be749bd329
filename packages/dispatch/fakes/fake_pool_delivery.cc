// Delivery of orders to the workers and of responses to the leader.

#include <utility>

#include "packages/dispatch/fakes/fake_pool.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kResponseTimeout{1'000};
constexpr int64_t kMaximumRecordTimeMs = 20;

}  // namespace

void FakePool::StepDispatcher(Dispatcher* dispatcher) {
  for (const WorkerOrder& order : dispatcher->Step(state_, now_, UnixMs())) {
    Send(order);
  }
  const Dispatcher::FinishedRunBatch ends = dispatcher->TakeFinishedRuns();
  if (ends.number != 0) {
    RecordEnds(ends);
    dispatcher->MarkFinishedRunsDurable(ends.number);
    dispatcher->Synchronize(state_, now_);
  }
  Dispatcher::PlacementBatch placements = dispatcher->TakePlacements();
  if (placements.number != 0) {
    unrecorded_placements_.emplace_back(
        now_ + Milliseconds(random_() % kMaximumRecordTimeMs),
        std::move(placements));
  }
}

void FakePool::RecordEnds(const Dispatcher::FinishedRunBatch& batch) {
  for (const FinishedRun& end : batch.finished_runs) {
    if (end.outcome != RunOutcome::kDone) {
      continue;
    }
    recorded_done_.insert(end.task);
    const QueuedJob* job = state_.FindJob(end.task.job);
    if (job == nullptr || !job->specification.steps[end.task.step].gang) {
      continue;
    }
    // One end as done represents all members of a gang.
    TaskName member = end.task;
    for (member.index = 0;
         member.index < job->specification.steps[end.task.step].tasks;
         ++member.index) {
      recorded_done_.insert(member);
    }
  }
  state_.Apply({kStartUnixMs, RecordFinishedRuns{batch.finished_runs}});
}

void FakePool::RecordDuePlacements() {
  if (now_ < placements_resume_) {
    return;
  }
  for (auto& [time, batch] : std::exchange(unrecorded_placements_, {})) {
    if (now_ < time) {
      unrecorded_placements_.emplace_back(time, std::move(batch));
      continue;
    }
    state_.Apply({kStartUnixMs, batch.command});
    for (const WorkerOrder& order :
         dispatcher_->MarkPlacementsDurable(batch.number, now_)) {
      Send(order);
    }
  }
}

void FakePool::Send(const WorkerOrder& order) {
  const int worker = std::stoi(order.worker.id.substr(1));
  Delivery delivery{now_ + Milliseconds(1 + random_() % 40),
                    worker,
                    order,
                    dispatcher_->leader_epoch(),
                    now_,
                    true,
                    false,
                    workers_[worker].registration.started_unix_ms};
  const double random_draw = losses_stopped_ ? 1 : Random();
  if (random_draw < options_.lose_order) {
    // The outcome is unknown after the response timeout.
    delivery.time = now_ + kResponseTimeout;
    delivery.worker = -1;
  } else if (random_draw < options_.lose_order + options_.delay_order) {
    Delivery delayed = delivery;
    delayed.time =
        now_ +
        Milliseconds(random_() % static_cast<uint64_t>(
                                     options_.maximum_delivery_delay.count()));
    delayed.has_response = false;
    deliveries_.push_back(delayed);
    delivery.time = now_ + kResponseTimeout;
    delivery.worker = -1;
  } else if (random_draw < options_.lose_order + options_.delay_order +
                               options_.lose_response) {
    delivery.response_lost = true;
  }
  deliveries_.push_back(std::move(delivery));
}

bool FakePool::IsOrderLost(const Worker& worker, const WorkerOrder& order) {
  return worker.cut == Cut::kOrders ||
         (worker.cut == Cut::kStarts &&
          std::holds_alternative<StartOrder>(order.body));
}

bool FakePool::IsResponseLost(const Worker& worker, const WorkerOrder& order) {
  return worker.cut == Cut::kResponses ||
         (worker.cut == Cut::kStartResponses &&
          std::holds_alternative<StartOrder>(order.body));
}

void FakePool::SendHeartbeats() {
  if (options_.heartbeat_interval == Milliseconds(0) ||
      now_ < next_heartbeats_) {
    return;
  }
  next_heartbeats_ = now_ + options_.heartbeat_interval;
  for (const Worker& worker : workers_) {
    if (!worker.partitioned && now_ >= worker.down_until) {
      dispatcher_->ObserveClock(worker.registration.id,
                                worker.registration.started_unix_ms,
                                ClockOf(worker), now_);
    }
  }
}

void FakePool::Deliver(const Delivery& delivery) {
  Response response{delivery.order,
                    delivery.fence,
                    delivery.sent,
                    OrderOutcome::kUnknown,
                    {}};
  Delivery timed_out = delivery;
  timed_out.worker = -1;
  timed_out.time = now_ + kResponseTimeout;
  if (delivery.worker >= 0) {
    Worker& worker = workers_[delivery.worker];
    if (worker.partitioned || IsOrderLost(worker, delivery.order)) {
      deliveries_.push_back(timed_out);
      return;
    }
    if (now_ < worker.down_until || worker.cut == Cut::kReset) {
      if (delivery.has_response) {
        response.outcome = OrderOutcome::kConnectionRefused;
        responses_.push_back(std::move(response));
      }
      return;
    }
    const bool ended =
        delivery.incarnation != worker.registration.started_unix_ms;
    if (ended && !delivery.has_response) {
      return;
    }
    std::tie(response.outcome, response.renewal) =
        Execute(&worker, delivery.order, delivery.fence);
    if (delivery.has_response &&
        (delivery.response_lost || IsResponseLost(worker, delivery.order))) {
      deliveries_.push_back(timed_out);
      return;
    }
    // The order waited for a connection when the earlier incarnation ended. The
    // response names another incarnation.
    if (ended && response.outcome != OrderOutcome::kAccepted &&
        response.outcome != OrderOutcome::kRunTooOld &&
        response.outcome != OrderOutcome::kRestarted) {
      response.outcome = OrderOutcome::kUnknown;
    }
    if (delivery.has_response &&
        delivery.fence == dispatcher_->leader_epoch()) {
      NoteListedRuns(worker, response.renewal);
    }
  }
  if (delivery.has_response) {
    responses_.push_back(std::move(response));
  }
}

void FakePool::ReadResponses() {
  for (Response& response : std::exchange(responses_, {})) {
    if (response.fence != dispatcher_->leader_epoch()) {
      continue;
    }
    // The client discards a response that it reads after the time-out.
    if (now_ - response.sent > kResponseTimeout) {
      response.outcome = OrderOutcome::kUnknown;
      response.renewal = {};
    }
    HandleResponse(response);
  }
}

void FakePool::HandleResponse(const Response& response) {
  const WorkerOrder& order = response.order;
  const OrderOutcome outcome = response.outcome;
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
    dispatcher_->HandleLeaseRenewalResponse(
        order.worker, outcome, response.renewal, response.sent, now_);
  }
}

void FakePool::NoteListedRuns(const Worker& worker,
                              const LeaseRenewalResponse& response) {
  for (const ReportedFinishedRun& reported : response.finished) {
    const MonotonicTime finished_at =
        worker.finished_at[static_cast<size_t>(reported.number - 1)];
    if (reported.finished_run.outcome == RunOutcome::kDone &&
        worker.lease_expired_at <= finished_at) {
      listed_done_.insert(reported.finished_run.task);
    }
  }
}

}  // namespace bramleyrail
