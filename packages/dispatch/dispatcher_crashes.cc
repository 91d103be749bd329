// Attribution of crashes of workers to the runs that may have caused them.

#include <algorithm>
#include <utility>

#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

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
                                 is_recent};
    if (!is_recent) {
      if (!run.step->long_running) {
        earlier.push_back(possible);
      }
      continue;
    }
    // An order that was not confirmed may never have been executed.
    const bool has_started = run.listed || run.confirmed.has_value();
    const bool same_record =
        recent.empty() || recent.front().run.task == possible.run.task;
    attributable = attributable && has_started && same_record;
    recent.push_back(possible);
  }
  // A run that the worker has survived for some time is the cause only if there
  // is no more recent one.
  if (recent.empty()) {
    return earlier;
  }
  if (attributable) {
    recent.front().run.outcome = RunOutcome::kCrashAttributed;
  }
  return recent;
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
  const FinishedRun& crashed = possible.run;
  TrackedJob* job = FindJob(crashed.task.job);
  if (job == nullptr || !job->HasTask(crashed.task)) {
    return;
  }
  TrackedTask& task = job->FailureRecordOf(crashed.task);
  if (task.phase == TaskPhase::kDone ||
      !task.crashed_runs.insert(crashed.run).second) {
    return;
  }
  task.attributed_crashes +=
      crashed.outcome == RunOutcome::kCrashAttributed ? 1 : 0;
  finished_runs_.push_back(crashed);
  task.crash_batch = last_batch_ + 1;
  // Two crashes of one machine say less about the task.
  task.avoid_worker = worker.registration().id;
  const CrashCount crashes{static_cast<int64_t>(task.crashed_runs.size()),
                           task.attributed_crashes};
  LogEvent(
      kWorkerCrashCounted,
      {{"task", crashed.task.ToString()},
       {"run", crashed.run},
       {"worker", worker.registration().id},
       {"crashes", crashes.all},
       {"attributed", crashes.attributed},
       {"given_up", IsCrashLimitReached(job->step(crashed.task), crashes)}});
  if (possible.is_recent || crashes.all > 1) {
    job->SuspectOfCrashes(crashed.task);
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
