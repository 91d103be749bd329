// Handling of responses to orders, and of the runs that workers report.

#include <algorithm>
#include <utility>

#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

// Pauses before a worker that rejected a start gets new runs. A worker without
// capacity needs time to report its finished runs.
constexpr Milliseconds kNoRoomPause{300};
constexpr Milliseconds kUnhealthyPause{1'000};
constexpr Milliseconds kNotSentPause{500};
// Pause before a task whose start was rejected for another reason starts again.
constexpr Milliseconds kInvalidPause{1'000};
// Delay before a failed task starts again; doubles with each failure.
constexpr Milliseconds kInitialFailureBackoff{50};
constexpr Milliseconds kMaximumFailureBackoff{2'000};
// Measurements cover the last half second, so they describe the current state
// only this long after a start or a change of the CPU limit.
constexpr Milliseconds kMeasurementSettleTime{600};
// A best-effort run that uses less than this share of the processor time that
// it may use is in a light phase.
constexpr double kBusyUtilization = 0.85;

Milliseconds Backoff(int64_t failures) {
  const int64_t shift = std::clamp<int64_t>(failures - 1, 0, 10);
  return std::min(kInitialFailureBackoff * (int64_t{1} << shift),
                  kMaximumFailureBackoff);
}

}  // namespace

void Dispatcher::HandleStartResponse(const WorkerAddress& address,
                                     const TaskName& task,
                                     uint64_t run_number,
                                     OrderOutcome outcome,
                                     MonotonicTime now) {
  if (outcome == OrderOutcome::kFenced) {
    superseded_ = true;
    return;
  }
  TrackedWorker* worker = FindWorker(address);
  const RunKey key(task, run_number);
  TrackedRun* run = worker == nullptr ? nullptr : worker->FindRun(key);
  if (run == nullptr) {
    return;
  }
  if (outcome == OrderOutcome::kWrongWorker) {
    RecordCrash(worker, "another worker responds at its address");
    RequeueLostRuns(worker, "the worker has ended", now);
    worker->avoid_until = now + kUnhealthyPause;
    return;
  }
  // A run that is too old was executed by an earlier start order.
  if (outcome == OrderOutcome::kAccepted ||
      outcome == OrderOutcome::kRunTooOld) {
    run->start_confirmed = true;
    ForgetUnansweredStarts(task);
  }
  if (run->phase != RunPhase::kStarting) {
    return;
  }
  run->order_in_flight = false;
  if (outcome == OrderOutcome::kAccepted) {
    run->phase = RunPhase::kRunning;
    run->confirmed = now;
    run->progress_changed = now;
    if (run->step != nullptr && run->step->best_effort) {
      worker->best_effort_changed = now;
    }
    if (run->cpu_limit_percent < run->confirmed_cpu_limit_percent) {
      SendCpuLimit(worker, key, run);
    }
    if (TrackedJob* job = FindJob(task.job)) {
      job->started = true;
    }
    return;
  }
  LogEvent(kRunRefused, {{"task", task.ToString()},
                         {"run", run_number},
                         {"worker", address.id},
                         {"outcome", OrderOutcomeName(outcome)},
                         {"orders_sent", run->orders_sent}});
  ++counters_.starts_refused;
  if (outcome == OrderOutcome::kUnknown ||
      outcome == OrderOutcome::kRestarted) {
    // RetryOrders() retries the start, or the registration of the later
    // incarnation resolves it.
    return;
  }
  if (outcome == OrderOutcome::kRunTooOld) {
    // An earlier start order of this run was executed, and the run has ended.
    // The worker will report its outcome; until then the task must not start
    // again.
    run->phase = RunPhase::kStopping;
    run->confirmed = now;
    worker->next_renewal = now;
    due_workers_.push_back(address.id);
    return;
  }
  if (run->orders_sent > 1) {
    // An earlier start order of this run may still arrive and be executed.
    SendStop(worker, key, run, "an earlier start order may still arrive", now);
    return;
  }
  Milliseconds pause{0};
  switch (outcome) {
    case OrderOutcome::kNoRoom:
      worker->avoid_until = now + kNoRoomPause;
      break;
    case OrderOutcome::kUnhealthy:
      worker->avoid_until = now + kUnhealthyPause;
      RecordFailure(worker, OrderOutcomeName(outcome), now);
      break;
    case OrderOutcome::kNotSent:
    case OrderOutcome::kConnectionRefused:
      worker->avoid_until = now + kNotSentPause;
      break;
    default:
      pause = kInvalidPause;
      if (TrackedJob* job = FindJob(task.job);
          job != nullptr && job->HasTask(task)) {
        job->task(task).avoid_worker = address.id;
        // Several workers may reject it. An ordinary job that is invalid itself
        // must not count against all of them.
        worker->consecutive_failures += job->step(task).long_running ? 1 : 0;
      }
      break;
  }
  worker->RemoveRun(key);
  RecordEnd(key);
  Requeue(task, run_number, now + pause);
}

void Dispatcher::HandleStopResponse(const WorkerAddress& address,
                                    const TaskName& task,
                                    uint64_t run_number,
                                    OrderOutcome outcome,
                                    MonotonicTime now) {
  if (outcome == OrderOutcome::kFenced) {
    superseded_ = true;
    return;
  }
  TrackedWorker* worker = FindWorker(address);
  TrackedRun* run =
      worker == nullptr ? nullptr : worker->FindRun({task, run_number});
  if (run == nullptr) {
    return;
  }
  run->order_in_flight = false;
  if (outcome == OrderOutcome::kAccepted) {
    // The worker rejects a start order of this run that arrives later. The stop
    // is sent again every 500 ms and a renewal takes up to 1 s, so the run
    // would never count as missing in a list if each confirmation counted as
    // the first.
    if (!run->confirmed) {
      run->confirmed = now;
    }
    worker->next_renewal = now;
    due_workers_.push_back(address.id);
  } else if (outcome == OrderOutcome::kWrongWorker) {
    RecordCrash(worker, "another worker responds at its address");
    RequeueLostRuns(worker, "the worker has ended", now);
  }
}

void Dispatcher::HandleCpuLimitResponse(const WorkerAddress& address,
                                        const TaskName& task,
                                        uint64_t run_number,
                                        int64_t cpu_limit_percent,
                                        OrderOutcome outcome,
                                        MonotonicTime) {
  if (outcome == OrderOutcome::kFenced) {
    superseded_ = true;
    return;
  }
  TrackedWorker* worker = FindWorker(address);
  TrackedRun* run =
      worker == nullptr ? nullptr : worker->FindRun({task, run_number});
  if (run == nullptr) {
    return;
  }
  run->cpu_limit_in_flight = false;
  if (outcome == OrderOutcome::kAccepted) {
    run->confirmed_cpu_limit_percent = cpu_limit_percent;
  }
}

void Dispatcher::HandleFinishedRun(TrackedWorker* worker,
                                   const ReportedFinishedRun& reported,
                                   MonotonicTime now) {
  const FinishedRun& finished = reported.finished_run;
  const RunKey key(finished.task, finished.run);
  const TrackedRun* tracked = worker->FindRun(key);
  // The end of a run that is still tracked could not be read in the earlier
  // list that contained it.
  if (reported.number <= worker->received_through && tracked == nullptr) {
    return;
  }
  worker->received_through =
      std::max(worker->received_through, reported.number);
  worker->awaiting_durability = true;
  received_through_[worker->registration().id] = worker->received_through;
  if (tracked != nullptr && tracked->step != nullptr &&
      tracked->step->best_effort) {
    worker->best_effort_changed = now;
  }
  // A run that was stopped may still crash its worker.
  if (tracked != nullptr && tracked->isolated &&
      finished.outcome == RunOutcome::kDone) {
    worker->isolated_until = {};
  }
  if (tracked != nullptr && tracked->step != nullptr &&
      finished.outcome == RunOutcome::kDone) {
    if (!tracked->step->long_running) {
      RecordRunTime(*tracked, now);
    }
    admission_.short_work().AddFinishedRun(
        *tracked->job, *tracked->step,
        std::chrono::floor<Milliseconds>(now - tracked->started), now);
  }
  worker->RemoveRun(key);
  LogEvent(kRunEnded, {{"task", finished.task.ToString()},
                       {"run", finished.run},
                       {"worker", worker->registration().id},
                       {"end", reported.reason},
                       {"number", reported.number},
                       {"tracked", tracked != nullptr}});
  TrackedJob* job = FindJob(finished.task.job);
  if (job == nullptr || !job->HasTask(finished.task)) {
    return;
  }
  const JobStep& step = job->step(finished.task);
  TrackedTask& tracked_task = job->task(finished.task);
  const bool active_elsewhere =
      tracked_task.phase == TaskPhase::kActive &&
      (tracked_task.last_run != finished.run ||
       tracked_task.worker != worker->registration().id);
  const bool done = finished.outcome == RunOutcome::kDone && !step.long_running;
  // The task was started again only after the lease of this run was known to
  // have expired, so the result of this run is discarded.
  if (done && active_elsewhere) {
    return;
  }
  finished_runs_.push_back(finished);
  ForgetUnansweredStarts(finished.task);
  TrackedStep& tracked_step = job->step_record(finished.task);
  if (tracked_step.crash_suspect == finished.task.index &&
      finished.outcome != RunOutcome::kInterrupted) {
    tracked_step.crash_suspect.reset();
  }
  tracked_task.last_run = std::max(tracked_task.last_run, finished.run);
  if (!finished.checkpoint.empty()) {
    tracked_task.checkpoint = finished.checkpoint;
    if (step.gang) {
      TaskName first = finished.task;
      first.index = 0;
      job->task(first).checkpoint = finished.checkpoint;
    }
  }
  job->started = true;
  job->occurrence(finished.task.occurrence).started = true;
  if (done) {
    ++counters_.runs_completed;
    worker->consecutive_failures = 0;
    // One member ends the whole gang, also those that wait to start again.
    TaskName member = finished.task;
    const int64_t last = step.gang ? step.tasks - 1 : member.index;
    for (member.index = step.gang ? 0 : last; member.index <= last;
         ++member.index) {
      ready_.Remove(job, member);
    }
    EnqueueReadyTasks(job, job->MarkDone(finished.task));
    return;
  }
  if (finished.outcome == RunOutcome::kFailed) {
    ++counters_.runs_failed;
    std::set<uint64_t>& failed_runs =
        job->FailureRecordOf(finished.task).failed_runs;
    failed_runs.insert(finished.run);
    const auto failures = static_cast<int64_t>(failed_runs.size());
    tracked_task.avoid_worker = worker->registration().id;
    RecordFailure(worker, "its runs fail", now);
    if (!step.long_running && failures >= job->job().maximum_attempts) {
      // QueueState fails the job once the finished run is recorded. Until then
      // the task must not start, even if this run was unknown to this leader.
      ready_.Remove(job, finished.task);
      tracked_task.phase = TaskPhase::kWaiting;
      return;
    }
    Requeue(finished.task, finished.run, now + Backoff(failures));
    return;
  }
  ++counters_.runs_interrupted;
  Requeue(finished.task, finished.run, now);
}

void Dispatcher::ReconcileRunningRuns(TrackedWorker* worker,
                                      const LeaseRenewalResponse& response,
                                      MonotonicTime sent,
                                      MonotonicTime now) {
  ++worker->list_number;
  for (const ReportedRun& reported : response.running) {
    const RunKey key(reported.task, reported.run);
    TrackedRun* run = worker->FindRun(key);
    if (run == nullptr) {
      AdoptRun(worker, reported, now);
      continue;
    }
    if (!run->listed) {
      ForgetUnansweredStarts(reported.task);
    }
    run->listed = true;
    run->list_number = worker->list_number;
    if (run->phase == RunPhase::kStarting) {
      run->phase = RunPhase::kRunning;
      run->order_in_flight = false;
      run->confirmed = now;
      if (TrackedJob* job = FindJob(reported.task.job)) {
        job->started = true;
      }
      if (run->from_earlier_leader) {
        LogEvent(kRunAdopted, {{"task", reported.task.ToString()},
                               {"run", reported.run},
                               {"worker", worker->registration().id}});
      }
    }
    if (reported.progress_percent != run->progress_percent) {
      run->progress_percent = reported.progress_percent;
      run->progress_changed = now;
    }
    run->measurement = reported.measurement;
    RecordMeasurement(run, now);
  }
  ResolveUnlistedRuns(worker, response, sent, now);
}

void Dispatcher::RecordMeasurement(TrackedRun* run, MonotonicTime now) {
  if (!IsOverTarget(*run)) {
    run->over_target_since.reset();
  } else if (!run->over_target_since) {
    run->over_target_since = now;
  }
  const bool settled = run->confirmed &&
                       now - *run->confirmed > kMeasurementSettleTime &&
                       now - run->cpu_limit_changed > kMeasurementSettleTime;
  if (run->step == nullptr || !run->step->best_effort || !run->measurement ||
      !settled || run->confirmed_cpu_limit_percent == 0) {
    return;
  }
  const double requested =
      static_cast<double>(run->reserved.processor_millis *
                          run->confirmed_cpu_limit_percent) /
      100;
  run->best_effort_phase =
      static_cast<double>(*run->measurement) >= kBusyUtilization * requested
          ? BestEffortPhase::kBusy
          : BestEffortPhase::kLight;
}

bool Dispatcher::MayAdopt(const ReportedRun& reported, TrackedJob* job) {
  if (job->IsFinished(reported.task.occurrence)) {
    return false;
  }
  const TrackedTask& task = job->task(reported.task);
  const bool startable =
      task.phase == TaskPhase::kReady || task.phase == TaskPhase::kWaiting;
  return startable && reported.run > task.last_run;
}

void Dispatcher::AdoptRun(TrackedWorker* worker,
                          const ReportedRun& reported,
                          MonotonicTime now) {
  const RunKey key(reported.task, reported.run);
  TrackedJob* job = FindJob(reported.task.job);
  TrackedRun run;
  run.started = now;
  run.confirmed = now;
  run.listed = true;
  run.list_number = worker->list_number;
  run.progress_percent = reported.progress_percent;
  run.progress_changed = now;
  run.measurement = reported.measurement;
  run.phase = RunPhase::kRunning;
  if (job == nullptr || !job->Contains(reported.task)) {
    accounts_.ChargeRunOfEndedJob(reported.task, &run);
    SendStop(worker, key, &worker->AddRun(key, std::move(run)),
             "the job is not open", now);
    return;
  }
  const JobStep& step = job->step(reported.task);
  run.job = job->shared_job();
  run.step = &step;
  run.reserved = step.size;
  run.expected_end =
      now + LongestDuration(job->job(), step).value_or(Milliseconds(0));
  run.charge = accounts_.Charge(job->account, step);
  job->workers.insert(worker->registration().id);
  TrackedRun& added = worker->AddRun(key, std::move(run));
  if (!MayAdopt(reported, job)) {
    SendStop(worker, key, &added, "the task is active elsewhere or done", now);
    return;
  }
  TrackedTask& tracked_task = job->task(reported.task);
  ready_.Remove(job, reported.task);
  job->occurrence(reported.task.occurrence).started = true;
  tracked_task.phase = TaskPhase::kActive;
  tracked_task.worker = worker->registration().id;
  tracked_task.last_run = reported.run;
  job->started = true;
  if (step.long_running) {
    placements_.push_back({reported.task,
                           reported.run,
                           {{worker->registration().id,
                             worker->registration().started_unix_ms}}});
  }
  LogEvent(kRunAdopted, {{"task", reported.task.ToString()},
                         {"run", reported.run},
                         {"worker", worker->registration().id}});
}

}  // namespace bramleyrail
