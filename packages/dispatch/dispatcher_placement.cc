// Placement of ready tasks.

#include <algorithm>
#include <limits>
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
// Pause after a task found no worker, before tasks of the same job step are
// placed again.
constexpr Milliseconds kPlacementRetryInterval{75};
// A task that may crash its worker waits this long for one without other recent
// runs.
constexpr Milliseconds kMaximumIsolationWait{1'000};
// A step that waits this long is logged.
constexpr Milliseconds kFirstWaitReport{1'000};

}  // namespace

Milliseconds Dispatcher::WaitOf(const TrackedStep& step, MonotonicTime now) {
  return step.waiting_since
             ? std::chrono::floor<Milliseconds>(now - *step.waiting_since)
             : Milliseconds(0);
}

void Dispatcher::PlaceReadyTasks(const QueueState& state, MonotonicTime now) {
  const bool all_contacted = AllWorkersContacted(now);
  EligibleByPool eligible;
  PlacementBudget budget{kMaximumStartsPerStep, kMaximumAttemptsPerStep};
  longest_wait_ = Milliseconds(0);
  for (auto position = ready_.begin();
       position != ready_.end() && !budget.IsSpent();) {
    const ReadyKey first = *position;
    const TaskName& task = std::get<2>(first);
    TrackedJob* job = FindJob(task.job);
    const TrackedStep& step = job->occurrence(task.occurrence).steps[task.step];
    longest_wait_ = std::max(longest_wait_, WaitOf(step, now));
    // A worker that is not contacted yet may run any task that an earlier
    // leader started.
    const bool blocked =
        !all_contacted &&
        job->origin() == TrackedJob::Origin::kEarlierLeaderEpoch;
    if (!blocked && now >= step.next_placement) {
      const auto [pool, added] = eligible.try_emplace(job->job().pool);
      if (added) {
        pool->second = WorkerSelector::FindEligible(workers_, pool->first,
                                                    state.evacuated(), now);
      }
      PlaceStep(first, pool->second, now, &budget);
    }
    ReadyKey last = first;
    std::get<2>(last).index = std::numeric_limits<int64_t>::max();
    position = ready_.upper_bound(last);
  }
}

void Dispatcher::PlaceStep(const ReadyKey& first,
                           const EligibleWorkers& eligible,
                           MonotonicTime now,
                           PlacementBudget* budget) {
  const TaskName& name = std::get<2>(first);
  TrackedJob* job = FindJob(name.job);
  TrackedStep& step = job->occurrence(name.occurrence).steps[name.step];
  std::optional<WorkerRanking> ranking;
  // Placing a task removes its key, or those of its gang, from `ready_`.
  for (auto position = ready_.find(first); position != ready_.end();) {
    const ReadyKey key = *position;
    const TaskName& task = std::get<2>(key);
    if (task.job != name.job || task.occurrence != name.occurrence ||
        task.step != name.step || budget->IsSpent()) {
      break;
    }
    const TrackedTask& tracked_task = step.tasks[task.index];
    if (tracked_task.phase == TaskPhase::kReady &&
        now >= tracked_task.not_before && !IsHeldAfterCrash(job, task, &step)) {
      --budget->attempts;
      const WorkerSelection selection =
          job->step(task).gang ? PlaceGang(eligible, job, task, now)
                               : PlaceTask(eligible, job, task,
                                           WaitOf(step, now), &ranking, now);
      if (selection.worker == nullptr) {
        step.next_placement = now + kPlacementRetryInterval;
        ReportWait(*job, task, selection.rejections, now, &step);
        break;
      }
      --budget->starts;
      EndWait(selection.protection, now, &step);
      if (WorkerSelector::ProtectionAfter(WaitOf(step, now)) !=
          selection.protection) {
        ranking.reset();
      }
    }
    position = ready_.upper_bound(key);
  }
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
                        {"late_ms", unix_ms_ - job.LatestStartUnixMs(task)},
                        {"best_effort", job.step(task).best_effort},
                        {"ineligible", rejections.ineligible},
                        {"not_isolated", rejections.not_isolated},
                        {"no_capacity", rejections.no_capacity},
                        {"best_effort_full", rejections.best_effort_full},
                        {"label_missing", rejections.label_missing},
                        {"task_limit", rejections.task_limit},
                        {"target_missed", rejections.target_missed},
                        {"low_headroom", rejections.low_headroom}});
}

WorkerSelection Dispatcher::PlaceTask(const EligibleWorkers& eligible,
                                      TrackedJob* job,
                                      const TaskName& task,
                                      Milliseconds waited,
                                      std::optional<WorkerRanking>* ranking,
                                      MonotonicTime now) {
  const JobStep& step = job->step(task);
  TrackedTask& tracked_task = job->task(task);
  WorkerRequest request{&job->job(),
                        &step,
                        task,
                        tracked_task.avoid_worker,
                        step.data_rack,
                        Milliseconds(unix_ms_ - job->LatestStartUnixMs(task)),
                        waited,
                        waited < kMaximumIsolationWait &&
                            job->FailureRecordOf(task).crash_suspected,
                        now};
  if (step.tightly_coupled && request.preferred_rack.empty()) {
    for (const auto& [id, worker] : workers_) {
      if (worker->CountRunsOfStep(task.job, task.occurrence, task.step) > 0) {
        request.preferred_rack = worker->rack();
      }
    }
  }
  // Preferences of its own make the ranking of the step wrong for a task.
  const bool shares_ranking = !step.tightly_coupled &&
                              request.avoid_worker.empty() && !request.isolated;
  if (!shares_ranking) {
    counters_.worker_ratings += eligible.workers.size();
    const WorkerSelection selection =
        selector_.Select(request, eligible, interference_model_);
    if (selection.worker != nullptr) {
      StartRun(job, task, NextRunNumber(tracked_task), selection.worker, now);
      // The run may change the place of its worker in the ranking.
      ranking->reset();
    }
    return selection;
  }
  if (!*ranking) {
    ranking->emplace(&selector_, &eligible, &interference_model_,
                     std::move(request), &counters_.worker_ratings);
  }
  const WorkerSelection selection = (*ranking)->Select();
  if (selection.worker != nullptr) {
    StartRun(job, task, NextRunNumber(tracked_task), selection.worker, now);
    (*ranking)->Update();
  }
  return selection;
}

WorkerSelection Dispatcher::PlaceGang(const EligibleWorkers& eligible,
                                      TrackedJob* job,
                                      const TaskName& first,
                                      MonotonicTime now) {
  const JobStep& step = job->step(first);
  // All members must fit at the same time, because members that started alone
  // would wait for the others. Temporary reservations test this.
  std::vector<std::pair<TaskName, TrackedWorker*>> members;
  uint64_t run = 0;
  std::string rack = step.data_rack;
  WorkerSelection selection;
  for (int64_t index = 0; index < step.tasks; ++index) {
    TaskName task = first;
    task.index = index;
    run = std::max(run, NextRunNumber(job->task(task)));
    WorkerRequest request;
    request.job = &job->job();
    request.step = &step;
    request.task = task;
    request.preferred_rack = rack;
    request.now = now;
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
