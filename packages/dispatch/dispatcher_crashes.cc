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

void Dispatcher::RecordCrash(TrackedWorker* worker) {
  // A worker that drains announces its end.
  if (worker->crash_recorded || worker->registration().draining) {
    return;
  }
  worker->crash_recorded = true;
  std::vector<PossibleCrash> crashes = PossibleCrashes(*worker);
  crashes.insert(crashes.end(), worker->possible_crashes.begin(),
                 worker->possible_crashes.end());
  worker->possible_crashes.clear();
  for (const PossibleCrash& possible : crashes) {
    CountCrash(*worker, possible);
  }
}

void Dispatcher::CountCrash(const TrackedWorker& worker,
                            const PossibleCrash& possible) {
  TrackedJob* job = FindJob(possible.run.task.job);
  if (job == nullptr || !job->HasTask(possible.run.task)) {
    return;
  }
  TrackedTask& record = job->FailureRecordOf(possible.run.task);
  if (record.phase == TaskPhase::kDone ||
      record.crashed_runs.contains(possible.run.run)) {
    return;
  }
  // Two crashes of one machine say less about the task.
  record.avoid_worker = worker.registration().id;
  if (possible.has_begun) {
    record.unanswered_runs.clear();
    CountCrashOfRun(worker, possible.run, job, &record);
  } else {
    CountUnansweredStart(worker, possible.run, job, &record);
  }
  // The next run of a suspected task is isolated. That costs little, so an
  // unanswered start suffices.
  if (possible.is_recent || record.crashed_runs.size() > 1) {
    job->SuspectOfCrashes(possible.run.task);
  }
}

void Dispatcher::CountUnansweredStart(const TrackedWorker& worker,
                                      const FinishedRun& unanswered,
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
    CountCrashOfRun(worker, crashed, job, record);
  }
}

void Dispatcher::CountCrashOfRun(const TrackedWorker& worker,
                                 const FinishedRun& crashed,
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

bool Dispatcher::IsHeldAfterCrash(TrackedJob* job,
                                  const TaskName& task,
                                  TrackedStep* step) const {
  // A leader that ends must not have started the task without a record of its
  // crash. Once the crashes at the limit are durable, the job is closed.
  if (!IsBatchDurable(job->FailureRecordOf(task).crash_batch)) {
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
