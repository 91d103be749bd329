// Limits of client accounts.

#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

// A step that waits this long for the limit of its account gets the room that
// becomes free. Small tasks take each part of it as soon as it is free, so a
// larger one could wait for as long as they come.
constexpr Milliseconds kLimitReservationWait{500};
constexpr Milliseconds kFirstLimitReport{1'000};

}  // namespace

bool Dispatcher::IsHeldByLimit(const TrackedJob& job,
                               const TaskName& task) const {
  return accounts_.has_accounts() &&
         !accounts_.HasRoom(*job.account, AccountLedger::StartOf(job, task));
}

void Dispatcher::HoldForLimit(TrackedJob* job,
                              const TaskName& task,
                              MonotonicTime now) {
  TrackedStep& step = job->step_record(task);
  TrackedAccount* account = job->account.get();
  if (accounts_.NoteLimitReached(account, task, now)) {
    ++counters_.account_limits_reached;
  }
  if (!step.limited_since) {
    step.limited_since = now;
  }
  const auto waited =
      std::chrono::floor<Milliseconds>(now - *step.limited_since);
  if (waited >= kLimitReservationWait) {
    AccountLedger::ReserveLimit(account, AccountLedger::StartOf(*job, task));
  }
  if (waited < kFirstLimitReport * (int64_t{1} << step.limit_reports)) {
    return;
  }
  ++step.limit_reports;
  LogEvent(kStepWaits, {{"task", task.ToString()},
                        {"waited_ms", waited.count()},
                        {"ready_tasks", step.ready_tasks.size()},
                        {"late_ms", unix_ms_ - job->LatestStartUnixMs(task)},
                        {"best_effort", job->step(task).best_effort},
                        {"account_limit", account->name()}});
}

void Dispatcher::EndLimitWait(TrackedJob* job,
                              const TaskName& task,
                              MonotonicTime now) {
  TrackedStep& step = job->step_record(task);
  // A wait for the limit is not one for a worker: the protection of targets
  // must not yield for it.
  if (step.waiting_since) {
    *step.waiting_since += now - *step.limited_since;
  }
  step.limited_since.reset();
  step.limit_reports = 0;
  TaskName first = task;
  first.index = 0;
  AccountLedger::EndLimitReservation(job->account.get(), first);
}

std::vector<AccountReport> Dispatcher::AccountReports() const {
  return accounts_.Report(ready_);
}

}  // namespace bramleyrail
