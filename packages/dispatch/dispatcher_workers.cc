// Communication with workers: lease renewals, retries of orders, lost workers.

#include <algorithm>
#include <iterator>
#include <utility>

#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

// Pause between searches for orders without a response. Steps follow each other
// more often, and a search visits every run.
constexpr Milliseconds kOrderCheckInterval{50};
// Minimum time between two sends of an order whose response is missing.
constexpr Milliseconds kOrderRetryInterval{100};
constexpr Milliseconds kStopRetryInterval{500};
// A start that is still unconfirmed after this many orders is replaced by a
// stop.
constexpr int kMaximumStartAttempts = 3;
// Pause between lease renewals to a worker that does not respond.
constexpr Milliseconds kFailedRenewalPause{200};
// Pause between lease renewals while finished runs are not durable yet.
constexpr Milliseconds kRenewalIntervalWithoutDurability{1'000};
// A worker that refuses connections after this many failed renewals may have no
// process any more. It may also be cut off by a device that resets connections,
// and only a process that takes its place shows which.
constexpr int kRefusedRenewalsOfSuspectedEnd = 2;
// Orders are not retried when the last response of the worker is older.
constexpr Milliseconds kMaximumResponseAgeForRetry{2'500};
// Maximum wait of a lease renewal while a run exceeds its target latency.
constexpr Milliseconds kOverTargetRenewalWait{300};
// Time for reading responses that arrived before all leases have expired.
constexpr Milliseconds kExpiryConfirmationTime{100};
// A lease renewal that was not sent may have lacked a free connection on this
// side, or the worker's machine may be unreachable. It counts as one without a
// response from this number and this time since the expiry on, so that the runs
// of an unreachable machine do not wait for ever. The time covers two calls
// that wait for a connection until their time-out.
constexpr int kMaximumUnsentRenewals = 2;
constexpr Milliseconds kUnsentRenewalTime{2'000};
// A leader whose steps are further apart reads responses late, and the time-out
// of a call may pass before it has opened a connection or read the response.
constexpr Milliseconds kMaximumStepInterval{200};
// After this many failed renewals, the worker counts as silent even though the
// leader lags, because the runs of a worker that is gone must start again.
constexpr int kMaximumRenewalsWithLag = 4;
// After this many consecutive failures, a worker gets no new runs for the
// avoidance time.
constexpr int kConsecutiveFailureLimit = 3;
constexpr Milliseconds kAvoidanceTime{8'000};

// Whether only a confirmed stop shows that the run never begins: its start was
// meant for an earlier incarnation, whose clock is another one. The stop is
// sent without contact, too, since a contact may be over before it is sent.
bool NeedsConfirmedStop(const TrackedRun& run) {
  return run.phase == RunPhase::kStopping && !run.confirmed &&
         !run.start_validity && !run.from_earlier_leader;
}

}  // namespace

void Dispatcher::StepWorker(TrackedWorker* worker, MonotonicTime now) {
  if (HasLostRuns(worker, now)) {
    // Whether the worker has crashed is known only once it is back.
    const std::vector<PossibleCrash> possible = PossibleCrashes(*worker);
    worker->possible_crashes.insert(worker->possible_crashes.end(),
                                    possible.begin(), possible.end());
    RequeueLostRuns(
        worker, "the lease expired without a response from the worker", now);
  }
  if (IsRenewalDue(*worker, now)) {
    RenewLease(worker, now);
  }
  RetryOrders(worker, now);
  if (worker->registration().draining && !worker->deregistered) {
    MoveRunsOffDrainingWorker(worker, now);
  }
}

bool Dispatcher::AllLeasesExpired(const TrackedWorker& worker,
                                  MonotonicTime now) const {
  const MonotonicTime deadline =
      worker.LeaseDeadline().value_or(EndOfEarlierLeases());
  return now > (worker.contacted ? deadline
                                 : std::max(deadline, EndOfEarlierLeases()));
}

bool Dispatcher::HasLostRuns(TrackedWorker* worker, MonotonicTime now) const {
  const bool may_have_runs = !worker->contacted || !worker->runs().empty();
  if (!may_have_runs || !AllLeasesExpired(*worker, now)) {
    worker->expiry_check.reset();
    return false;
  }
  // A leader that lags has responses that it has not read yet, or discards them
  // after the time-out of the call, and they may show that runs were completed.
  // Only a lease renewal that was sent after the expiry was noticed shows that
  // the worker is silent.
  if (!worker->expiry_check) {
    worker->expiry_check = ExpiryCheck{.noticed = now};
  }
  return worker->expiry_check->unanswered &&
         now - worker->expiry_check->noticed >= kExpiryConfirmationTime;
}

void Dispatcher::RecordFailedRenewal(TrackedWorker* worker,
                                     OrderOutcome outcome,
                                     MonotonicTime sent,
                                     MonotonicTime now) const {
  ++worker->failed_renewals;
  worker->next_renewal = now + kFailedRenewalPause;
  if (!worker->expiry_check || sent < worker->expiry_check->noticed) {
    return;
  }
  ExpiryCheck& check = *worker->expiry_check;
  ++check.failed_renewals;
  check.unanswered =
      check.unanswered || ShowsSilence(check, outcome, sent, now);
}

bool Dispatcher::ShowsSilence(const ExpiryCheck& check,
                              OrderOutcome outcome,
                              MonotonicTime sent,
                              MonotonicTime now) const {
  if (outcome != OrderOutcome::kUnknown && outcome != OrderOutcome::kNotSent) {
    return true;
  }
  if (HasLaggedSince(sent, now)) {
    return check.failed_renewals >= kMaximumRenewalsWithLag;
  }
  return outcome == OrderOutcome::kUnknown ||
         (check.failed_renewals >= kMaximumUnsentRenewals &&
          now - check.noticed >= kUnsentRenewalTime);
}

void Dispatcher::ObserveLag(MonotonicTime now) {
  if (now - last_step_ > kMaximumStepInterval) {
    last_lag_ = now;
  }
  last_step_ = now;
}

bool Dispatcher::HasLaggedSince(MonotonicTime time, MonotonicTime now) const {
  return last_lag_ > time || now - last_step_ > kMaximumStepInterval;
}

bool Dispatcher::IsRenewalDue(const TrackedWorker& worker, MonotonicTime now) {
  // Runs wait for the outcome of a renewal that was sent after the expiry, so
  // it does not wait for an earlier one or for the pause after a failure.
  if (worker.failed_renewals > 0 && worker.expiry_check &&
      worker.last_renewal_sent < worker.expiry_check->noticed) {
    return true;
  }
  if (worker.renewal_in_flight || now < worker.next_renewal) {
    return false;
  }
  // A worker with finished runs that are not acknowledged responds at once, so
  // the next renewal waits until they are durable. The lease must not expire
  // while that takes long, though, and one of an earlier leader may soon.
  return !worker.awaiting_durability || !worker.has_lease() ||
         now - worker.last_renewal_sent >= kRenewalIntervalWithoutDurability;
}

void Dispatcher::RenewLease(TrackedWorker* worker, MonotonicTime now) {
  LeaseRenewalOrder order;
  // A worker that does not respond, or not with lists that tell what became of
  // a run, gets no new lease, so that its current lease expires and its runs
  // can start elsewhere.
  if (worker->failed_renewals == 0 && !worker->lease_withheld &&
      !worker->deregistered) {
    order.lease_until_ms = worker->GrantLease(options_.lease, now);
  }
  // After a failure, the worker may have been restarted. The numbers of
  // finished runs start anew then, and an acknowledgement would make the worker
  // discard some that this leader has never received.
  order.acknowledged_through =
      worker->failed_renewals > 0
          ? 0
          : std::min(worker->acknowledged_through,
                     worker->acknowledgement_limit.value_or(
                         worker->acknowledged_through));
  if (worker->contacted && worker->failed_renewals == 0) {
    order.wait = HasRunOverTarget(*worker) ? kOverTargetRenewalWait
                                           : options_.renewal_wait;
  }
  worker->renewal_in_flight = true;
  worker->last_renewal_sent = now;
  ++counters_.lease_renewals;
  orders_.push_back({worker->Address(), order});
}

void Dispatcher::RetryOrders(TrackedWorker* worker, MonotonicTime now) {
  if (now < worker->next_order_check) {
    return;
  }
  worker->next_order_check = now + kOrderCheckInterval;
  const bool has_contact =
      now - worker->last_response <= kMaximumResponseAgeForRetry;
  for (auto& [key, run] : worker->runs()) {
    if ((!has_contact && !NeedsConfirmedStop(run)) || run.order_in_flight ||
        now - run.last_order_sent < kOrderRetryInterval) {
      continue;
    }
    const bool may_begin =
        !run.start_validity || now < run.start_validity->until;
    if (run.phase == RunPhase::kStarting && may_begin &&
        run.orders_sent < kMaximumStartAttempts) {
      SendStart(worker, key, &run, now);
    } else if (run.phase == RunPhase::kStarting) {
      SendStop(worker, key, &run, "no response to the start order", now);
    } else if (run.phase == RunPhase::kStopping &&
               now - run.last_order_sent >= kStopRetryInterval) {
      SendStop(worker, key, &run, "", now);
    }
  }
}

void Dispatcher::MoveRunsOffDrainingWorker(TrackedWorker* worker,
                                           MonotonicTime now) {
  for (auto& [key, run] : worker->runs()) {
    const bool movable = run.step != nullptr &&
                         (run.step->long_running || run.step->checkpointing) &&
                         !run.step->gang && run.phase == RunPhase::kRunning;
    if (movable) {
      SendStop(worker, key, &run, "the worker is draining", now);
    }
  }
}

void Dispatcher::RequeueLostRuns(TrackedWorker* worker,
                                 std::string_view reason,
                                 MonotonicTime now) {
  std::vector<RunKey> keys;
  for (const auto& [key, run] : worker->runs()) {
    keys.push_back(key);
  }
  RequeueRuns(worker, keys, reason, now);
}

void Dispatcher::RequeueRunsOfEndedIncarnation(TrackedWorker* worker,
                                               MonotonicTime now) {
  std::vector<RunKey> ended;
  for (const auto& [key, run] : worker->runs()) {
    if (!MayRunOnLaterIncarnation(run)) {
      ended.push_back(key);
    }
  }
  RequeueRuns(worker, ended, "the worker was restarted", now);
}

void Dispatcher::ForgetAcknowledgements(const std::string& worker) {
  received_through_.erase(worker);
  for (auto& [batch, numbers] : unconfirmed_batches_) {
    numbers.erase(worker);
  }
}

void Dispatcher::StopInheritedRuns(TrackedWorker* earlier,
                                   TrackedWorker* later,
                                   MonotonicTime now) {
  // An order that was meant for the earlier incarnation, whose clock is another
  // one, may grant the later one the longest lease that it accepts.
  later->AssumeLease(EndOfInheritedLeases(now, options_.maximum_lease));
  for (auto& [key, run] : earlier->runs()) {
    run.phase = RunPhase::kStarting;
    run.listed = false;
    run.start_confirmed = false;
    run.list_number = 0;
    run.start_validity.reset();
    run.started = now;
    SendStop(later, key, &later->AddRun(key, run),
             "the worker was restarted and may have executed the start", now);
  }
}

void Dispatcher::RequeueRuns(TrackedWorker* worker,
                             const std::vector<RunKey>& runs,
                             std::string_view reason,
                             MonotonicTime now) {
  if (runs.empty()) {
    return;
  }
  LogEvent(kRunsLost, {{"worker", worker->registration().id},
                       {"runs", runs.size()},
                       {"reason", reason},
                       {"silent_ms", std::chrono::floor<Milliseconds>(
                                         now - worker->last_response)
                                         .count()}});
  counters_.runs_lost += runs.size();
  for (const RunKey& key : runs) {
    worker->RemoveRun(key);
    RecordEnd(key);
    Requeue(key.first, key.second, now);
  }
}

void Dispatcher::AvoidWorker(const TaskName& task,
                             const TrackedWorker& worker) {
  TrackedJob* job = FindJob(task.job);
  if (job != nullptr && job->HasTask(task)) {
    job->task(task).avoid_worker = worker.registration().id;
  }
}

void Dispatcher::Requeue(const TaskName& task,
                         uint64_t run,
                         MonotonicTime not_before) {
  TrackedJob* job = FindJob(task.job);
  if (job == nullptr || !job->HasTask(task)) {
    return;
  }
  TrackedTask& tracked_task = job->task(task);
  if (tracked_task.phase != TaskPhase::kActive ||
      tracked_task.last_run != run) {
    return;
  }
  tracked_task.not_before = not_before;
  EnqueueReadyTasks(job, job->MarkReady(task));
}

void Dispatcher::RecordFailure(TrackedWorker* worker,
                               std::string_view reason,
                               MonotonicTime now) {
  ++worker->consecutive_failures;
  if (worker->consecutive_failures < kConsecutiveFailureLimit ||
      now < worker->avoid_until || now < worker->failing_until) {
    return;
  }
  worker->failing_until = now + kAvoidanceTime;
  LogEvent(kWorkerAvoided, {{"worker", worker->registration().id},
                            {"failures", worker->consecutive_failures},
                            {"reason", reason},
                            {"for_ms", kAvoidanceTime.count()}});
}

void Dispatcher::ObserveClock(const std::string& worker_id,
                              int64_t started_unix_ms,
                              int64_t clock_ms,
                              MonotonicTime now) {
  if (TrackedWorker* worker = FindWorker({worker_id, started_unix_ms, ""})) {
    worker->ObserveClock(clock_ms, now);
  }
}

void Dispatcher::HandleLeaseRenewalResponse(
    const WorkerAddress& address,
    OrderOutcome outcome,
    const LeaseRenewalResponse& response,
    MonotonicTime sent,
    MonotonicTime now) {
  TrackedWorker* worker = FindWorker(address);
  if (worker == nullptr) {
    return;
  }
  // An entry that cannot be read may be a run of an earlier leader. Without
  // further leases it ends, and its task can start again. The ends that can be
  // read count nevertheless: a task that is done must not start again.
  if (outcome == OrderOutcome::kAccepted &&
      HandleUnknownLists(worker, response, sent, now)) {
    outcome = OrderOutcome::kUnknown;
  }
  due_workers_.push_back(address.id);
  // Two renewals may be in flight after the leases have expired.
  if (sent >= worker->last_renewal_sent) {
    worker->renewal_in_flight = false;
  }
  if (outcome == OrderOutcome::kFenced) {
    superseded_ = true;
    return;
  }
  if (outcome != OrderOutcome::kAccepted) {
    RecordFailedRenewal(worker, outcome, sent, now);
    if (outcome == OrderOutcome::kWrongWorker) {
      RecordCrash(worker, "another worker responds at its address");
      RequeueLostRuns(worker, "the worker has ended", now);
      worker->contacted = true;
      worker->avoid_until = now + kAvoidanceTime;
    } else if (outcome == OrderOutcome::kConnectionRefused &&
               worker->failed_renewals >= kRefusedRenewalsOfSuspectedEnd) {
      // Its runs stay until the lease has expired or a later incarnation
      // registers, but no other task of their steps may crash a worker in the
      // meantime.
      SuspectCrash(worker, now);
    } else if (outcome == OrderOutcome::kRestarted) {
      RecordCrash(worker, "a later incarnation responds");
      RequeueRunsOfEndedIncarnation(worker, now);
    }
    if (worker->failed_renewals == 1) {
      LogEvent(kWorkerUnreachable, {{"worker", address.id},
                                    {"outcome", OrderOutcomeName(outcome)},
                                    {"runs", worker->runs().size()}});
    }
    return;
  }
  if (worker->failed_renewals > 0) {
    LogEvent(kWorkerReachable, {{"worker", address.id},
                                {"silent_ms", std::chrono::floor<Milliseconds>(
                                                  now - worker->last_response)
                                                  .count()}});
    worker->failed_renewals = 0;
    worker->returned = now;
  }
  worker->last_response = now;
  worker->next_renewal = now;
  worker->expiry_check.reset();
  worker->possible_crashes.clear();
  worker->crash_recorded = false;
  WithdrawSuspicion(worker);
  worker->ObserveClock(response.clock_ms, now);
  for (const ReportedFinishedRun& reported : response.finished) {
    HandleFinishedRun(worker, reported, now);
  }
  ReconcileRunningRuns(worker, response, sent, now);
  interference_model_.Observe(*worker, now);
  ProtectTargets(worker, now);
  worker->best_effort_estimate.reset();
}

void Dispatcher::SendCpuLimit(TrackedWorker* worker,
                              const RunKey& key,
                              TrackedRun* run) {
  run->cpu_limit_in_flight = true;
  ++counters_.cpu_limit_orders;
  orders_.push_back({worker->Address(), CpuLimitOrder{key.first, key.second,
                                                      run->cpu_limit_percent}});
}

void Dispatcher::ProtectTargets(TrackedWorker* worker, MonotonicTime now) {
  for (const CpuLimitPolicy::Change& change :
       cpu_limit_policy_.Decide(*worker, interference_model_, now)) {
    TrackedRun* run = worker->FindRun(change.run);
    worker->best_effort_changed = now;
    if (change.cpu_limit_percent < run->cpu_limit_percent || change.move) {
      worker->cpu_limit_lowered = now;
    }
    if (change.move) {
      AvoidWorker(change.run.first, *worker);
      SendStop(worker, change.run, run,
               "it interferes with a run that has a target latency", now);
      continue;
    }
    LogEvent(kRunCpuLimitChanged, {{"task", change.run.first.ToString()},
                                   {"run", change.run.second},
                                   {"worker", worker->registration().id},
                                   {"percent", change.cpu_limit_percent},
                                   {"disturbance", change.expected_loss}});
    run->cpu_limit_percent = change.cpu_limit_percent;
    run->cpu_limit_changed = now;
    SendCpuLimit(worker, change.run, run);
  }
}

}  // namespace bramleyrail
