// Explanations of long-running tasks that stand still.

#include <algorithm>
#include <map>
#include <utility>

#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kStandingCheckInterval{1'000};
// A task is logged after this time, and each time that it has doubled.
constexpr Milliseconds kFirstStandingReport{1'000};
constexpr int kMaximumStandingLines = 20;  // In one check.

}  // namespace

std::optional<StandingTask> Dispatcher::ExplainActiveTask(
    const TaskName& name,
    const TrackedTask& task) const {
  StandingTask standing{name, StandingReason::kStartUnconfirmed, task.worker,
                        std::nullopt};
  const auto worker = workers_.find(task.worker);
  const TrackedRun* run = worker == workers_.end()
                              ? nullptr
                              : worker->second->FindRun({name, task.last_run});
  if (run == nullptr) {
    return standing;
  }
  switch (run->phase) {
    case RunPhase::kRunning:
      if (worker->second->failed_renewals > 0) {
        standing.reason = StandingReason::kSilentWorker;
        return standing;
      }
      if (worker->second->lease_withheld &&
          run->list_number != worker->second->list_number) {
        standing.reason = StandingReason::kUnreadableLists;
        return standing;
      }
      return std::nullopt;
    case RunPhase::kStopping:
      standing.reason = StandingReason::kStopUnconfirmed;
      return standing;
    case RunPhase::kStarting:
      break;
  }
  if (run->from_earlier_leader) {
    standing.reason = StandingReason::kTakeover;
  } else if (run->orders_sent == 0) {
    standing.reason = StandingReason::kRecord;
  }
  return standing;
}

StandingTask Dispatcher::ExplainReadyTask(TrackedJob* job,
                                          const TaskName& name,
                                          MonotonicTime now) const {
  TrackedStep& step = job->step_record(name);
  const TrackedTask& task = step.tasks[name.index];
  StandingTask standing{name, StandingReason::kRoom, "", std::nullopt};
  if (IsHeldByTakeover(job, name, now)) {
    standing.reason = StandingReason::kTakeover;
    return standing;
  }
  if (job->step(name).gang && !job->AreAllTasksReady(name)) {
    const auto other = std::find_if(step.tasks.begin(), step.tasks.end(),
                                    [](const TrackedTask& member) {
                                      return member.phase != TaskPhase::kReady;
                                    });
    standing.reason = StandingReason::kGang;
    standing.behind = other - step.tasks.begin();
    standing.worker = other->worker;
    return standing;
  }
  if (now < task.not_before) {
    standing.reason = StandingReason::kDelay;
    return standing;
  }
  // Tasks of a long-running step are not held by the crashes of each other.
  if (IsHeldAfterCrash(job, name, &step, now)) {
    standing.reason = StandingReason::kCrashRecord;
    return standing;
  }
  if (IsHeldByLimit(*job, name)) {
    standing.reason = StandingReason::kAccountLimit;
    return standing;
  }
  TaskName first = name;
  for (const int64_t index : step.ready_tasks) {
    first.index = index;
    if (index < name.index && !job->step(name).gang &&
        now >= step.tasks[index].not_before && !IsSuspected(job, first, now) &&
        !IsHeldAfterCrash(job, first, &step, now)) {
      standing.reason = StandingReason::kOtherTask;
      standing.behind = index;
      break;
    }
  }
  return standing;
}

std::vector<StandingTask> Dispatcher::FindStandingTasks(
    MonotonicTime now) const {
  std::vector<StandingTask> standing;
  for (const auto& [id, job] : jobs_) {
    TaskName name{job->shared_id(), 0, 0, 0};
    for (auto& [number, occurrence] : job->occurrences()) {
      name.occurrence = number;
      name.step = 0;
      for (TrackedStep& step : occurrence.steps) {
        name.index = 0;
        if (job->step(name).long_running) {
          for (const TrackedTask& task : step.tasks) {
            if (task.phase == TaskPhase::kReady) {
              standing.push_back(ExplainReadyTask(job.get(), name, now));
            } else if (task.phase == TaskPhase::kActive) {
              if (auto explained = ExplainActiveTask(name, task)) {
                standing.push_back(std::move(*explained));
              }
            }
            ++name.index;
          }
        }
        ++name.step;
      }
    }
  }
  return standing;
}

void Dispatcher::ReportStandingTasks(MonotonicTime now) {
  if (now < next_standing_check_) {
    return;
  }
  next_standing_check_ = now + kStandingCheckInterval;
  const std::vector<StandingTask> found = FindStandingTasks(now);
  std::map<TaskName, StandingSince> earlier =
      std::exchange(standing_since_, {});
  std::map<StandingReason, int64_t> counts;
  int lines = 0;
  for (const StandingTask& standing : found) {
    ++counts[standing.reason];
    const auto known = earlier.find(standing.task);
    StandingSince& since =
        standing_since_
            .emplace(standing.task, known == earlier.end()
                                        ? StandingSince{now, 0}
                                        : known->second)
            .first->second;
    const auto stood = std::chrono::floor<Milliseconds>(now - since.time);
    if (stood < kFirstStandingReport * (int64_t{1} << since.reports) ||
        lines >= kMaximumStandingLines) {
      continue;
    }
    ++since.reports;
    ++lines;
    LogEvent(kTaskStands, {{"task", standing.task.ToString()},
                           {"stands_ms", stood.count()},
                           {"reason", StandingReasonName(standing.reason)},
                           {"worker", standing.worker},
                           {"behind", standing.behind.value_or(-1)}});
  }
  for (const auto& [reason, count] : counts) {
    LogEvent(kStandingTasks,
             {{"reason", StandingReasonName(reason)}, {"tasks", count}});
  }
}

}  // namespace bramleyrail
