// Attribution of crashes of workers to the runs that may have caused them.

#include <algorithm>
#include <utility>

#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

// A worker confirms a start within milliseconds, so one that ends before that
// has probably failed for a reason of its own, and a wrong count fails the job.
// A task that ends each worker before the confirmation leaves only such starts,
// though. The rules allow it to start twice more after three crashes, so five
// in succession count.
constexpr int64_t kUnansweredStartLimit = 5;

// Pause before a task starts again that would be given up if each worker that
// refuses connections had crashed under it; doubles with each further one. The
// workers may only be cut off, so the task is not given up, and it does not
// wait for them for ever. They may also never return, and the rules allow the
// task to start twice more after three crashes.
constexpr Milliseconds kSuspicionBackoff{15'000};

// The name under which the crashes of the task count.
TaskName FailureRecordName(TaskName task, const JobStep& step) {
  task.index = step.gang ? 0 : task.index;
  return task;
}

}  // namespace

std::vector<PossibleCrash> Dispatcher::PossibleCrashes(
    const TrackedWorker& worker) {
  std::vector<PossibleCrash> recent;
  std::vector<PossibleCrash> earlier;
  std::vector<PossibleCrash> unanswered;
  bool attributable = true;
  for (const auto& [key, run] : worker.runs()) {
    // This leader has not ordered it, and it may never have started.
    if (run.orders_sent == 0 && !run.listed) {
      continue;
    }
    // The time of the crash is not known, only that it followed the last
    // response.
    const bool is_recent =
        worker.last_response - run.started < kCrashAttributionTime;
    if (run.step == nullptr) {
      attributable = attributable && !is_recent;
      continue;
    }
    const PossibleCrash possible{{FailureRecordName(key.first, *run.step),
                                  key.second, RunOutcome::kCrashSuspected, ""},
                                 is_recent,
                                 run.listed || run.start_confirmed};
    if (!possible.has_begun) {
      // The worker has responded for some time since an earlier order, and did
      // not execute it meanwhile.
      if (is_recent) {
        attributable = false;
        unanswered.push_back(possible);
      }
      continue;
    }
    if (!is_recent) {
      if (!run.step->long_running) {
        earlier.push_back(possible);
      }
      continue;
    }
    attributable = attributable && (recent.empty() || recent.front().run.task ==
                                                          possible.run.task);
    recent.push_back(possible);
  }
  if (!recent.empty() && attributable) {
    recent.front().run.outcome = RunOutcome::kCrashAttributed;
  }
  // A run that the worker has survived for some time is the cause only if no
  // more recent one has begun.
  std::vector<PossibleCrash> crashes =
      recent.empty() ? std::move(earlier) : std::move(recent);
  crashes.insert(crashes.end(), unanswered.begin(), unanswered.end());
  return crashes;
}

void Dispatcher::RecordCrash(TrackedWorker* worker, std::string_view evidence) {
  // A worker that drains announces its end.
  if (worker->crash_recorded || worker->registration().draining) {
    return;
  }
  worker->crash_recorded = true;
  std::vector<PossibleCrash> crashes = PossibleCrashes(*worker);
  crashes.insert(crashes.end(), worker->possible_crashes.begin(),
                 worker->possible_crashes.end());
  worker->possible_crashes.clear();
  worker->suspected_runs.clear();
  for (const PossibleCrash& possible : crashes) {
    CountCrash(*worker, possible, evidence);
  }
}

void Dispatcher::SuspectCrash(TrackedWorker* worker, MonotonicTime now) {
  if (worker->crash_suspected || worker->crash_recorded ||
      worker->registration().draining) {
    return;
  }
  worker->crash_suspected = true;
  for (const PossibleCrash& possible : PossibleCrashes(*worker)) {
    Suspect(possible, worker, now);
  }
  if (!worker->suspected_runs.empty()) {
    LogEvent(kCrashSuspected, {{"worker", worker->registration().id},
                               {"runs", worker->suspected_runs.size()}});
  }
}

void Dispatcher::Suspect(const PossibleCrash& possible,
                         TrackedWorker* worker,
                         MonotonicTime now) {
  const TaskName& task = possible.run.task;
  TrackedJob* job = FindJob(task.job);
  if (!possible.is_recent || job == nullptr || !job->HasTask(task)) {
    return;
  }
  job->SuspectOfCrashes(task);
  worker->suspected_runs.push_back(possible);
  suspected_workers_.insert(worker->registration().id);
  if (possible.has_begun) {
    TrackedTask& record = job->FailureRecordOf(task);
    record.suspected_runs[possible.run.run] =
        possible.run.outcome == RunOutcome::kCrashAttributed;
    record.last_suspicion = now;
  }
}

void Dispatcher::WithdrawSuspicion(TrackedWorker* worker) {
  worker->crash_suspected = false;
  suspected_workers_.erase(worker->registration().id);
  for (const PossibleCrash& possible :
       std::exchange(worker->suspected_runs, {})) {
    const FinishedRun& run = possible.run;
    TrackedJob* job = FindJob(run.task.job);
    if (job != nullptr && job->HasTask(run.task)) {
      job->WithdrawSuspicion(run.task, run.run);
    }
  }
}

void Dispatcher::CountCrash(const TrackedWorker& worker,
                            const PossibleCrash& possible,
                            std::string_view evidence) {
  TrackedJob* job = FindJob(possible.run.task.job);
  if (job == nullptr || !job->HasTask(possible.run.task)) {
    return;
  }
  TrackedTask& record = job->FailureRecordOf(possible.run.task);
  record.suspected_runs.erase(possible.run.run);
  if (record.phase == TaskPhase::kDone ||
      record.crashed_runs.contains(possible.run.run)) {
    return;
  }
  // Two crashes of one machine say less about the task.
  record.avoid_worker = worker.registration().id;
  if (possible.has_begun) {
    record.unanswered_runs.clear();
    CountCrashOfRun(worker, possible.run, evidence, job, &record);
  } else {
    CountUnansweredStart(worker, possible.run, evidence, job, &record);
  }
  // The next run of a suspected task is isolated. That costs little, so an
  // unanswered start suffices.
  if (possible.is_recent || record.crashed_runs.size() > 1) {
    job->SuspectOfCrashes(possible.run.task);
  }
}

void Dispatcher::CountUnansweredStart(const TrackedWorker& worker,
                                      const FinishedRun& unanswered,
                                      std::string_view evidence,
                                      TrackedJob* job,
                                      TrackedTask* record) {
  if (!record->unanswered_runs.insert(unanswered.run).second) {
    return;
  }
  LogEvent(kUnansweredStart, {{"task", unanswered.task.ToString()},
                              {"run", unanswered.run},
                              {"worker", worker.registration().id},
                              {"unanswered", record->unanswered_runs.size()}});
  if (std::ssize(record->unanswered_runs) < kUnansweredStartLimit) {
    return;
  }
  for (const uint64_t run : std::exchange(record->unanswered_runs, {})) {
    FinishedRun crashed = unanswered;
    crashed.run = run;
    CountCrashOfRun(worker, crashed, evidence, job, record);
  }
}

void Dispatcher::CountCrashOfRun(const TrackedWorker& worker,
                                 const FinishedRun& crashed,
                                 std::string_view evidence,
                                 TrackedJob* job,
                                 TrackedTask* record) {
  record->crashed_runs.insert(crashed.run);
  record->attributed_crashes +=
      crashed.outcome == RunOutcome::kCrashAttributed ? 1 : 0;
  finished_runs_.push_back(crashed);
  record->crash_batch = last_batch_ + 1;
  const CrashCount crashes{static_cast<int64_t>(record->crashed_runs.size()),
                           record->attributed_crashes};
  LogEvent(
      kWorkerCrashCounted,
      {{"task", crashed.task.ToString()},
       {"run", crashed.run},
       {"worker", worker.registration().id},
       {"evidence", evidence},
       {"crashes", crashes.all},
       {"attributed", crashes.attributed},
       {"given_up", IsCrashLimitReached(job->step(crashed.task), crashes)}});
}

void Dispatcher::ForgetUnansweredStarts(const TaskName& task) {
  TrackedJob* job = FindJob(task.job);
  if (job != nullptr && job->HasTask(task)) {
    job->FailureRecordOf(task).unanswered_runs.clear();
  }
}

bool Dispatcher::IsBatchDurable(uint64_t batch) const {
  return batch <= last_batch_ && !unconfirmed_batches_.contains(batch);
}

bool Dispatcher::HasOutlivedCrashes(const TaskName& name,
                                    const TrackedTask& task) const {
  if (task.phase == TaskPhase::kDone) {
    return true;
  }
  const auto worker = workers_.find(task.worker);
  if (task.phase != TaskPhase::kActive || worker == workers_.end()) {
    return false;
  }
  // A later incarnation of the worker responds although the run crashed the
  // earlier one. It has the run only to stop it.
  const TrackedRun* run = worker->second->FindRun({name, task.last_run});
  return run != nullptr && run->phase == RunPhase::kRunning &&
         worker->second->last_response - run->started >= kCrashAttributionTime;
}

bool Dispatcher::IsHeldBySuspicion(TrackedJob* job,
                                   const TaskName& task,
                                   MonotonicTime now) {
  const TrackedTask& record = job->FailureRecordOf(task);
  if (record.suspected_runs.empty()) {
    return false;
  }
  const auto suspected = std::ssize(record.suspected_runs);
  CrashCount crashes{std::ssize(record.crashed_runs) + suspected,
                     record.attributed_crashes};
  for (const auto& [run, attributed] : record.suspected_runs) {
    crashes.attributed += attributed ? 1 : 0;
  }
  if (!IsCrashLimitReached(job->step(task), crashes)) {
    return false;
  }
  const int64_t shift = std::clamp<int64_t>(suspected - 2, 0, 10);
  return now - record.last_suspicion <
         kSuspicionBackoff * (int64_t{1} << shift);
}

bool Dispatcher::IsHeldAfterCrash(TrackedJob* job,
                                  const TaskName& task,
                                  TrackedStep* step,
                                  MonotonicTime now) const {
  // A leader that ends must not have started the task without a record of its
  // crash. Once the crashes at the limit are durable, the job is closed.
  if (!IsBatchDurable(job->FailureRecordOf(task).crash_batch) ||
      IsHeldBySuspicion(job, task, now)) {
    return true;
  }
  if (!step->crash_suspect || *step->crash_suspect == task.index) {
    return false;
  }
  TaskName suspect = task;
  suspect.index = *step->crash_suspect;
  if (HasOutlivedCrashes(suspect, step->tasks[suspect.index])) {
    step->crash_suspect.reset();
    return false;
  }
  return true;
}

}  // namespace bramleyrail
