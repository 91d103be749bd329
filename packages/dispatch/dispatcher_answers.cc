// What the answers and lists of the workers mean for tasks.

#include <algorithm>
#include <utility>

#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

// A worker without room gets no new run until it has had time to list ends.
constexpr Milliseconds kNoRoomPause{300};
constexpr Milliseconds kUnhealthyPause{1'000};
constexpr Milliseconds kNotSentPause{500};
constexpr Milliseconds kInvalidPause{1'000};
// Wait before a task that has failed starts again; doubles with each failure.
constexpr Milliseconds kFailureBackoff{50};
constexpr Milliseconds kMaximumFailureBackoff{2'000};
// Figures cover the last half second.
constexpr Milliseconds kFiguresAge{600};
// A spare run that uses less than this share of the processors that it asked
// for is in a light phase.
constexpr double kBusyShare = 0.85;

Milliseconds Backoff(int64_t failures) {
  const int64_t shift = std::clamp<int64_t>(failures - 1, 0, 10);
  return std::min(kFailureBackoff * (int64_t{1} << shift),
                  kMaximumFailureBackoff);
}

}  // namespace

void Dispatcher::HandleStartAnswer(const WorkerAddress& address,
                                   const TaskName& task,
                                   uint64_t run_number,
                                   OrderOutcome outcome,
                                   MonotonicTime now) {
  if (outcome == OrderOutcome::kFenced) {
    deposed_ = true;
    return;
  }
  WorkerTrack* worker = FindWorker(address);
  const RunKey key(task, run_number);
  TrackedRun* run = worker == nullptr ? nullptr : worker->FindRun(key);
  if (run == nullptr) {
    return;
  }
  if (outcome == OrderOutcome::kOtherLife) {
    LoseRuns(worker, "this life of the worker has ended", now);
    worker->avoid_until = now + kUnhealthyPause;
    return;
  }
  if (run->phase != RunPhase::kStarting) {
    return;
  }
  run->order_in_flight = false;
  if (outcome == OrderOutcome::kAccepted) {
    run->phase = RunPhase::kRunning;
    run->confirmed = now;
    run->percent_changed = now;
    if (run->step != nullptr && run->step->uses_spare_capacity) {
      worker->spare_changed = now;
    }
    if (run->pace < run->confirmed_pace) {
      SendPace(worker, key, run);
    }
    if (JobTrack* job = FindJob(task.job)) {
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
  if (outcome == OrderOutcome::kUnknown) {
    return;  // RepeatOrders() sends it again.
  }
  if (outcome == OrderOutcome::kRunTooOld) {
    // An earlier order of this run was executed, and the run has ended; the
    // worker's list tells how. Until then the task must not start again.
    run->phase = RunPhase::kStopping;
    run->confirmed = now;
    worker->next_look = now;
    return;
  }
  if (run->orders_sent > 1) {
    // An earlier order of this run may still be executed.
    SendStop(worker, key, run, "an earlier start may still arrive", now);
    return;
  }
  Milliseconds pause{0};
  switch (outcome) {
    case OrderOutcome::kNoRoom:
      worker->avoid_until = now + kNoRoomPause;
      break;
    case OrderOutcome::kUnhealthy:
      worker->avoid_until = now + kUnhealthyPause;
      NoteFailure(worker, OrderOutcomeName(outcome), now);
      break;
    case OrderOutcome::kNotSent:
    case OrderOutcome::kNobodyListens:
      worker->avoid_until = now + kNotSentPause;
      break;
    default:
      pause = kInvalidPause;
      break;
  }
  worker->RemoveRun(key);
  Requeue(task, run_number, now + pause);
}

void Dispatcher::HandleStopAnswer(const WorkerAddress& address,
                                  const TaskName& task,
                                  uint64_t run_number,
                                  OrderOutcome outcome,
                                  MonotonicTime now) {
  if (outcome == OrderOutcome::kFenced) {
    deposed_ = true;
    return;
  }
  WorkerTrack* worker = FindWorker(address);
  TrackedRun* run =
      worker == nullptr ? nullptr : worker->FindRun({task, run_number});
  if (run == nullptr) {
    return;
  }
  run->order_in_flight = false;
  if (outcome == OrderOutcome::kAccepted) {
    // A start of this run that arrives later is refused by the worker.
    run->confirmed = now;
    worker->next_look = now;
  } else if (outcome == OrderOutcome::kOtherLife) {
    LoseRuns(worker, "this life of the worker has ended", now);
  }
}

void Dispatcher::HandlePaceAnswer(const WorkerAddress& address,
                                  const TaskName& task,
                                  uint64_t run_number,
                                  int64_t percent,
                                  OrderOutcome outcome,
                                  MonotonicTime) {
  if (outcome == OrderOutcome::kFenced) {
    deposed_ = true;
    return;
  }
  WorkerTrack* worker = FindWorker(address);
  TrackedRun* run =
      worker == nullptr ? nullptr : worker->FindRun({task, run_number});
  if (run == nullptr) {
    return;
  }
  run->pace_in_flight = false;
  if (outcome == OrderOutcome::kAccepted) {
    run->confirmed_pace = percent;
  }
}

void Dispatcher::TakeEnd(WorkerTrack* worker,
                         const ListedEnd& listed,
                         MonotonicTime now) {
  if (listed.number <= worker->ends_seen) {
    return;
  }
  const TaskRunEnd& end = listed.end;
  worker->ends_seen = listed.number;
  worker->recording = true;
  ends_seen_[worker->registration().id] = listed.number;
  const RunKey key(end.task, end.run);
  const TrackedRun* tracked = worker->FindRun(key);
  if (tracked != nullptr && tracked->step != nullptr &&
      tracked->step->uses_spare_capacity) {
    worker->spare_changed = now;
  }
  worker->RemoveRun(key);
  LogEvent(kRunEnded, {{"task", end.task.ToString()},
                       {"run", end.run},
                       {"worker", worker->registration().id},
                       {"end", listed.reason},
                       {"number", listed.number},
                       {"tracked", tracked != nullptr}});
  JobTrack* job = FindJob(end.task.job);
  if (job == nullptr || !job->Names(end.task)) {
    return;
  }
  const JobStep& step = job->step(end.task);
  TaskTrack& track = job->task(end.task);
  const bool active_elsewhere =
      track.phase == TaskPhase::kActive &&
      (track.last_run != end.run || track.worker != worker->registration().id);
  const bool done = end.end == RunEnd::kDone && !step.long_running;
  // The task was started again only after this run had certainly lost its
  // lease, so its result does not count.
  if (done && active_elsewhere) {
    return;
  }
  ends_.push_back(end);
  track.last_run = std::max(track.last_run, end.run);
  if (!end.checkpoint.empty()) {
    track.checkpoint = end.checkpoint;
    if (step.gang) {
      TaskName first = end.task;
      first.index = 0;
      job->task(first).checkpoint = end.checkpoint;
    }
  }
  job->started = true;
  if (done) {
    ++counters_.ends_done;
    worker->consecutive_failures = 0;
    ready_.erase({job->job().priority, job->objective_unix_ms(), end.task});
    QueueReady(*job, job->MarkDone(end.task));
    return;
  }
  if (end.end == RunEnd::kFailed) {
    ++counters_.ends_failed;
    std::set<uint64_t>& failed_runs = job->FailuresOf(end.task).failed_runs;
    failed_runs.insert(end.run);
    const auto failures = static_cast<int64_t>(failed_runs.size());
    track.avoid_worker = worker->registration().id;
    NoteFailure(worker, "its runs fail", now);
    if (!step.long_running && failures >= job->job().maximum_attempts) {
      // The state fails the job once the end is recorded; until then the task
      // must not start, wherever this end came from.
      ready_.erase({job->job().priority, job->objective_unix_ms(), end.task});
      track.phase = TaskPhase::kWaiting;
      return;
    }
    Requeue(end.task, end.run, now + Backoff(failures));
    return;
  }
  ++counters_.ends_interrupted;
  Requeue(end.task, end.run, now);
}

void Dispatcher::TakeRunning(WorkerTrack* worker,
                             const LookAnswer& answer,
                             MonotonicTime sent,
                             MonotonicTime now) {
  std::set<RunKey> listed;
  for (const ListedRun& entry : answer.running) {
    const RunKey key(entry.task, entry.run);
    listed.insert(key);
    TrackedRun* run = worker->FindRun(key);
    if (run == nullptr) {
      AdoptRun(worker, entry, now);
      continue;
    }
    if (run->phase == RunPhase::kStarting) {
      run->phase = RunPhase::kRunning;
      run->order_in_flight = false;
      run->confirmed = now;
    }
    if (entry.percent != run->percent) {
      run->percent = entry.percent;
      run->percent_changed = now;
    }
    run->load = entry.load;
    NoteFigures(run, now);
  }
  std::vector<RunKey> missing;
  for (const auto& [key, run] : worker->runs()) {
    // The look was sent after the worker had confirmed the run or its stop, so
    // it would be listed.
    if (run.confirmed && *run.confirmed < sent && !listed.contains(key)) {
      missing.push_back(key);
    }
  }
  for (const RunKey& key : missing) {
    worker->RemoveRun(key);
    LogEvent(kRunEnded, {{"task", key.first.ToString()},
                         {"run", key.second},
                         {"worker", worker->registration().id},
                         {"end", std::string_view("not_listed")}});
    Requeue(key.first, key.second, now);
  }
}

void Dispatcher::NoteFigures(TrackedRun* run, MonotonicTime now) {
  if (!IsOverTarget(*run)) {
    run->over_since.reset();
  } else if (!run->over_since) {
    run->over_since = now;
  }
  const bool settled = run->confirmed && now - *run->confirmed > kFiguresAge &&
                       now - run->pace_changed > kFiguresAge;
  if (run->step == nullptr || !run->step->uses_spare_capacity || !run->load ||
      !settled || run->confirmed_pace == 0) {
    return;
  }
  const double asked = static_cast<double>(run->reserved.processor_millis *
                                           run->confirmed_pace) /
                       100;
  run->spare_phase = static_cast<double>(*run->load) >= kBusyShare * asked
                         ? SparePhase::kBusy
                         : SparePhase::kLight;
}

void Dispatcher::AdoptRun(WorkerTrack* worker,
                          const ListedRun& listed,
                          MonotonicTime now) {
  const RunKey key(listed.task, listed.run);
  JobTrack* job = FindJob(listed.task.job);
  TrackedRun run;
  run.confirmed = now;
  run.percent = listed.percent;
  run.percent_changed = now;
  run.load = listed.load;
  run.phase = RunPhase::kRunning;
  if (job == nullptr || !job->Names(listed.task)) {
    SendStop(worker, key, &worker->AddRun(key, std::move(run)),
             "its job is not open", now);
    return;
  }
  const JobStep& step = job->step(listed.task);
  TaskTrack& track = job->task(listed.task);
  run.job = job->shared_job();
  run.step = &step;
  run.reserved = step.size;
  TrackedRun& added = worker->AddRun(key, std::move(run));
  const bool wanted =
      track.phase == TaskPhase::kReady || track.phase == TaskPhase::kWaiting;
  if (!wanted || listed.run <= track.last_run) {
    SendStop(worker, key, &added, "the task runs elsewhere or is done", now);
    return;
  }
  ready_.erase({job->job().priority, job->objective_unix_ms(), listed.task});
  track.phase = TaskPhase::kActive;
  track.worker = worker->registration().id;
  track.last_run = listed.run;
  job->started = true;
  LogEvent(kRunAdopted, {{"task", listed.task.ToString()},
                         {"run", listed.run},
                         {"worker", worker->registration().id}});
}

}  // namespace bramleyrail
