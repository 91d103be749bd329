// Placement of ready tasks.

#include <algorithm>
#include <utility>

#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

// Bound the duration of one step, during which no response is read. Tasks that
// wait for the retry interval below do not count, because they would otherwise
// block the tasks behind them.
constexpr int64_t kMaximumStartsPerStep = 100;
constexpr int64_t kMaximumAttemptsPerStep = 400;
// Interval at which job steps that wait for a worker are tried again, all of
// them together, so that they share the requests that fail.
constexpr Milliseconds kPlacementRetryInterval{75};
// A task that may crash its worker waits this long for one without other recent
// runs.
constexpr Milliseconds kMaximumIsolationWait{1'000};
// A long-running task for which no other worker has room starts on a failing
// one after this time. A planned start mostly finds room before.
constexpr Milliseconds kLastResortWait{2'000};
// A step that waits this long is logged.
constexpr Milliseconds kFirstWaitReport{1'000};
// A new leader starts long-running tasks this long after the takeover, or once
// all workers have responded. Otherwise the first ones to respond would get all
// of them.
constexpr Milliseconds kContactTime{500};

// Whether the rank of the account of a step has risen beyond that of the next
// step. `position` is the place of the step in the order, perhaps a former one.
bool IsOvertaken(const ReadySteps& ready,
                 const TrackedJob& job,
                 const ReadySteps::Key& position) {
  const AccountRank rank = job.account_rank();
  if (rank == position.account_rank) {
    return false;
  }
  const auto next = ready.steps().upper_bound(position);
  return next != ready.steps().end() &&
         next->first.priority == position.priority &&
         next->first.account_rank < rank;
}

}  // namespace

bool Dispatcher::IsHeldByTakeover(TrackedJob* job,
                                  const TaskName& step,
                                  MonotonicTime now) const {
  if (all_workers_contacted_ ||
      job->earlier_runs() == TrackedJob::EarlierRuns::kNone) {
    return false;
  }
  // A worker that is not contacted yet may run any task that an earlier leader
  // started without a record.
  const bool recorded =
      job->earlier_runs() == TrackedJob::EarlierRuns::kRecorded &&
      job->step(step).long_running;
  return !recorded || now - takeover_time_ < kContactTime;
}

void Dispatcher::PlaceReadyTasks(const QueueState& state, MonotonicTime now) {
  CheckEarlierRuns(now);
  PlacementPass pass{.now = now,
                     .starts_left = kMaximumStartsPerStep,
                     .attempts_left = kMaximumAttemptsPerStep};
  const bool retries_all = now >= next_resume_;
  if (retries_all) {
    accounts_.Update(workers_, ready_, now);
    ready_.Resume(unix_ms_);
    next_resume_ = now + kPlacementRetryInterval;
    longest_wait_ = Milliseconds(0);
  }
  for (auto position = ready_.steps().begin();
       position != ready_.steps().end() && !pass.IsOver();) {
    // Placing the last ready task of the step removes its entry.
    const ReadySteps::Key& key = position->first;
    const TaskName first{key.job, key.occurrence, key.step, 0};
    TrackedJob* const job = position->second;
    ++position;
    longest_wait_ =
        std::max(longest_wait_, job->step_record(first).WaitTime(now));
    if (const auto next = ready_.UpdateAccountRank(job, first)) {
      position = *next;
      continue;
    }
    if (!IsHeldByTakeover(job, first, now)) {
      const auto [pool, added] = pass.eligible.try_emplace(job->job().pool);
      if (added) {
        pool->second = WorkerSelector::FindEligible(workers_, pool->first,
                                                    state.evacuated(), now);
      }
      PlaceStep(first, job, pool->second, &pass);
      // The account may have reached the next level of its share.
      position = ready_.UpdateAccountRank(job, first).value_or(position);
    }
  }
  if (retries_all) {
    start_planner_.Update({pass, workers_, ready_.deferred_steps(),
                           [this](std::string_view id) { return FindJob(id); },
                           [this](const TrackedJob& job, const TaskName& task) {
                             return IsHeldByLimit(job, task);
                           }});
  }
}

void Dispatcher::PlaceStep(TaskName task,
                           TrackedJob* job,
                           const EligibleWorkers& eligible,
                           PlacementPass* pass) {
  const MonotonicTime now = pass->now;
  TrackedStep& step = job->step_record(task);
  if (job->step(task).gang && !job->AreAllTasksReady(task)) {
    return;
  }
  std::optional<WorkerRanking> ranking;
  bool held_after_crash = false;
  bool without_worker = false;
  bool held_by_limit = false;
  // Placing a task removes its index, or those of its gang.
  for (auto index = step.ready_tasks.begin();
       index != step.ready_tasks.end() && !pass->IsOver();
       index = step.ready_tasks.upper_bound(task.index)) {
    task.index = *index;
    const TrackedTask& tracked_task = step.tasks[task.index];
    if (tracked_task.phase != TaskPhase::kReady ||
        now < tracked_task.not_before) {
      continue;
    }
    if (IsHeldAfterCrash(job, task, &step, now)) {
      held_after_crash = true;
      continue;
    }
    // The tasks of a step have the same size.
    held_by_limit = IsHeldByLimit(*job, task);
    if (held_by_limit) {
      HoldForLimit(job, task, now);
      break;
    }
    if (step.limited_since) {
      EndLimitWait(job, task, now);
    }
    const bool suspected = IsSuspected(job, task, now);
    if (suspected && without_worker) {
      continue;
    }
    WorkerSelection selection =
        job->step(task).gang ? PlaceGang(eligible, job, task, pass)
                             : PlaceTask(eligible, job, task,
                                         step.WaitTime(now), &ranking, pass);
    if (selection.worker == nullptr) {
      ReportWait(*job, task, selection.rejections, now, &step);
      // This does not end the wait of the step: the worker may fail again.
      if (PlaceOnFailingWorker(eligible, job, task, pass)) {
        --pass->starts_left;
        continue;
      }
      without_worker = true;
      // The other tasks of the step need no worker without recent runs.
      if (!suspected || job->step(task).gang) {
        break;
      }
      continue;
    }
    --pass->starts_left;
    EndWait(selection.protection, now, &step);
    if (WorkerSelector::ProtectionAfter(step.WaitTime(now)) !=
        selection.protection) {
      ranking.reset();
    }
    // A step whose account has no competitor keeps its ranking of workers.
    if (job->account_rank() != step.account_rank &&
        IsOvertaken(ready_, *job,
                    {job->job().priority, step.account_rank, step.lateness,
                     job->ObjectiveUnixMs(task.occurrence), task.job,
                     task.occurrence, task.step})) {
      break;
    }
  }
  if (without_worker && !job->step(task).best_effort) {
    largest_waiting_.Add(job->job().pool, job->step(task).size.processor_millis,
                         now);
  }
  if (without_worker || held_by_limit) {
    ready_.Defer(job, task);
  }
  if (!held_after_crash) {
    step.held_since.reset();
    step.held_reports = 0;
    return;
  }
  ReportHeldAfterCrash(task, now, &step);
}

void Dispatcher::ReportHeldAfterCrash(const TaskName& task,
                                      MonotonicTime now,
                                      TrackedStep* step) {
  if (!step->held_since) {
    step->held_since = now;
  }
  const auto held = std::chrono::floor<Milliseconds>(now - *step->held_since);
  if (held < kFirstWaitReport * (int64_t{1} << step->held_reports)) {
    return;
  }
  ++step->held_reports;
  LogEvent(kStepHeldAfterCrash,
           {{"task", task.ToString()},
            {"held_ms", held.count()},
            {"suspect", step->crash_suspect.value_or(-1)}});
}

void Dispatcher::EndWait(TargetProtection protection,
                         MonotonicTime now,
                         TrackedStep* step) {
  if (protection != TargetProtection::kAfterStart) {
    step->waiting_since.reset();
    step->wait_reports = 0;
    return;
  }
  // One task at a time starts without regard to targets. The next one of the
  // step waits again, so that the measurements show the effect of the first.
  step->waiting_since = now;
}

void Dispatcher::ReportWait(const TrackedJob& job,
                            const TaskName& task,
                            const WorkerRejections& rejections,
                            MonotonicTime now,
                            TrackedStep* step) {
  if (!step->waiting_since) {
    step->waiting_since = now;
  }
  const auto waited =
      std::chrono::floor<Milliseconds>(now - *step->waiting_since);
  if (waited < kFirstWaitReport * (int64_t{1} << step->wait_reports)) {
    return;
  }
  ++step->wait_reports;
  LogEvent(kStepWaits, {{"task", task.ToString()},
                        {"waited_ms", waited.count()},
                        {"ready_tasks", step->ready_tasks.size()},
                        {"late_ms", unix_ms_ - job.LatestStartUnixMs(task)},
                        {"best_effort", job.step(task).best_effort},
                        {"ineligible", rejections.ineligible},
                        {"not_isolated", rejections.not_isolated},
                        {"planned", rejections.planned},
                        {"no_capacity", rejections.no_capacity},
                        {"best_effort_full", rejections.best_effort_full},
                        {"label_missing", rejections.label_missing},
                        {"task_limit", rejections.task_limit},
                        {"target_missed", rejections.target_missed},
                        {"low_headroom", rejections.low_headroom}});
}

bool Dispatcher::IsSuspected(TrackedJob* job,
                             const TaskName& task,
                             MonotonicTime now) const {
  const TrackedTask& record = job->FailureRecordOf(task);
  // All long-running tasks of a crashed worker are suspected, and each would
  // keep a worker to itself for some time. One with a single crash does so only
  // while it may also wait: a second crash shows whether it is the cause.
  const bool waits_no_more =
      job->step(task).long_running && record.crashed_runs.size() < 2 &&
      now - job->task(task).not_before >= kMaximumIsolationWait;
  return record.crash_suspected && !waits_no_more;
}

WorkerRequest Dispatcher::MakeRequest(TrackedJob* job,
                                      const TaskName& task,
                                      Milliseconds waited,
                                      MonotonicTime now) const {
  const JobStep& step = job->step(task);
  const bool suspected = IsSuspected(job, task, now);
  return {&job->job(),
          &step,
          task,
          job->task(task).avoid_worker,
          step.data_rack,
          Milliseconds(unix_ms_ - job->LatestStartUnixMs(task)),
          waited,
          suspected,
          suspected && now - job->task(task).not_before < kMaximumIsolationWait,
          now,
          LongestDuration(job->job(), step),
          largest_waiting_.Find(job->job().pool, now),
          admission_.FindNeed(job->job(), step)};
}

std::optional<Milliseconds> Dispatcher::LongestDuration(
    const QueuedJob& job,
    const JobStep& step) const {
  if (step.long_running) {
    return std::nullopt;
  }
  return run_times_
      .Estimate(job.queue, step.image, Milliseconds(step.estimated_task_ms))
      .high;
}

void Dispatcher::RecordRunTime(const TrackedRun& run, MonotonicTime now) {
  // Of other runs it isn't known when they began, or they began with a part of
  // their work done.
  if (!run.start_confirmed || !run.checkpoint.empty() || run.job == nullptr) {
    return;
  }
  run_times_.Record(run.job->queue, run.step->image,
                    Milliseconds(run.step->estimated_task_ms),
                    std::chrono::floor<Milliseconds>(now - run.started));
}

bool Dispatcher::PlaceOnFailingWorker(const EligibleWorkers& eligible,
                                      TrackedJob* job,
                                      const TaskName& task,
                                      PlacementPass* pass) {
  // A long-running task has no last attempt that a failing worker could use up.
  const Milliseconds waited = job->step_record(task).WaitTime(pass->now);
  if (eligible.failing.empty() || !job->step(task).long_running ||
      job->step(task).gang || waited < kLastResortWait) {
    return false;
  }
  --pass->attempts_left;
  counters_.worker_ratings += eligible.failing.size();
  TrackedWorker* worker =
      selector_
          .Select(MakeRequest(job, task, waited, pass->now),
                  {.workers = eligible.failing}, interference_model_)
          .worker;
  if (worker == nullptr) {
    return false;
  }
  StartRun(job, task, NextRunNumber(job->task(task)), worker, pass->now);
  return true;
}

WorkerSelection Dispatcher::PlaceTask(const EligibleWorkers& eligible,
                                      TrackedJob* job,
                                      const TaskName& task,
                                      Milliseconds waited,
                                      std::optional<WorkerRanking>* ranking,
                                      PlacementPass* pass) {
  const MonotonicTime now = pass->now;
  const JobStep& step = job->step(task);
  const TrackedTask& tracked_task = job->task(task);
  WorkerRequest request = MakeRequest(job, task, waited, now);
  if (!*ranking) {
    if (const WorkerRejections* rejections = pass->failed.Find(request)) {
      return PlaceAsPlanned(eligible, job, request, *rejections);
    }
  }
  --pass->attempts_left;
  if (step.tightly_coupled && request.preferred_rack.empty()) {
    for (const auto& [id, worker] : workers_) {
      if (worker->CountRunsOfStep(task.job, task.occurrence, task.step) > 0) {
        request.preferred_rack = worker->rack();
      }
    }
  }
  // Preferences of its own make the ranking of the step wrong for a task.
  const bool shares_ranking = !step.tightly_coupled &&
                              request.avoid_worker.empty() &&
                              !request.suspected;
  if (!shares_ranking) {
    counters_.worker_ratings += eligible.workers.size();
    const WorkerSelection selection =
        selector_.Select(request, eligible, interference_model_);
    if (selection.worker != nullptr) {
      StartRun(job, task, NextRunNumber(tracked_task), selection.worker, now);
      // The run may change the place of its worker in the ranking.
      ranking->reset();
    } else {
      pass->failed.Add(request, selection.rejections);
    }
    return selection;
  }
  if (!*ranking) {
    ranking->emplace(&selector_, &eligible, &interference_model_, request,
                     &counters_.worker_ratings);
  }
  const WorkerSelection selection = (*ranking)->Select();
  if (selection.worker != nullptr) {
    StartRun(job, task, NextRunNumber(tracked_task), selection.worker, now);
    (*ranking)->Update();
  } else {
    pass->failed.Add(request, selection.rejections);
  }
  return selection;
}

WorkerSelection Dispatcher::PlaceAsPlanned(const EligibleWorkers& eligible,
                                           TrackedJob* job,
                                           const WorkerRequest& request,
                                           const WorkerRejections& rejections) {
  // Plans hold other steps only, so it may have room where they had none.
  const EligibleWorkers planned =
      rejections.planned > 0
          ? start_planner_.FindPlannedWorkers(request.task, eligible)
          : EligibleWorkers{};
  counters_.worker_ratings += planned.workers.size();
  WorkerSelection selection =
      selector_.Select(request, planned, interference_model_);
  if (selection.worker == nullptr) {
    return {.rejections = rejections};
  }
  StartRun(job, request.task, NextRunNumber(job->task(request.task)),
           selection.worker, request.now);
  return selection;
}

WorkerSelection Dispatcher::PlaceGang(const EligibleWorkers& eligible,
                                      TrackedJob* job,
                                      const TaskName& first,
                                      PlacementPass* pass) {
  const MonotonicTime now = pass->now;
  --pass->attempts_left;
  const JobStep& step = job->step(first);
  // All members must fit at the same time, because members that started alone
  // would wait for the others. Temporary reservations test this.
  std::vector<std::pair<TaskName, TrackedWorker*>> members;
  uint64_t run = 0;
  std::string rack = step.data_rack;
  const auto longest_duration = LongestDuration(job->job(), step);
  WorkerSelection selection;
  for (int64_t index = 0; index < step.tasks; ++index) {
    TaskName task = first;
    task.index = index;
    run = std::max(run, NextRunNumber(job->task(task)));
    WorkerRequest request;
    request.job = &job->job();
    request.step = &step;
    request.task = task;
    request.avoid_worker = job->task(task).avoid_worker;
    request.preferred_rack = rack;
    request.now = now;
    request.longest_duration = longest_duration;
    counters_.worker_ratings += eligible.workers.size();
    selection = selector_.Select(request, eligible, interference_model_);
    TrackedWorker* worker = selection.worker;
    if (worker == nullptr) {
      break;
    }
    if (step.tightly_coupled && rack.empty()) {
      rack = worker->rack();
    }
    TrackedRun reservation;
    reservation.job = job->shared_job();
    reservation.step = &step;
    reservation.reserved = step.size;
    reservation.started = now;
    reservation.expected_end = now + longest_duration.value_or(Milliseconds(0));
    worker->AddRun({task, 0}, std::move(reservation));
    members.emplace_back(task, worker);
  }
  for (const auto& [task, worker] : members) {
    worker->RemoveRun({task, 0});
  }
  if (static_cast<int64_t>(members.size()) < step.tasks) {
    return selection;
  }
  for (const auto& [task, worker] : members) {
    StartRun(job, task, run, worker, now);
  }
  return selection;
}

}  // namespace bramleyrail
