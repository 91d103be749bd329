// Attempts of tasks: starts, desired states, reports and ends.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "packages/state/cluster_state.h"

namespace bramleyrail {

namespace {

// Messages of workers are truncated, since one is stored for each failed task.
constexpr size_t kMaximumReasonBytes = 512;

Error OutdatedStateError(std::string message) {
  return MakeError(ErrorKind::kConflict, std::move(message),
                   "read the state again; a newer decision replaced this one");
}

Error PreconditionError(std::string message, std::string remedy) {
  return MakeError(ErrorKind::kFailedPrecondition, std::move(message),
                   std::move(remedy));
}

bool IsNegative(const ResourceAmounts& amounts) {
  return amounts.processor_millis < 0 || amounts.memory_mib < 0 ||
         amounts.accelerators < 0;
}

// Collects the outcome of a command whose items are applied independently.
class ItemOutcomeBuilder {
 public:
  explicit ItemOutcomeBuilder(int64_t revision) {
    outcome_.revision = revision;
  }

  void Accept() { ++outcome_.accepted; }
  void Refuse(size_t index, Error error) {
    outcome_.item_refusals.push_back(
        {static_cast<int64_t>(index), std::move(error)});
  }
  CommandOutcome Build() {
    if (outcome_.accepted == 0 && !outcome_.item_refusals.empty()) {
      outcome_.refusal = outcome_.item_refusals.front().error;
    }
    return std::move(outcome_);
  }

 private:
  CommandOutcome outcome_;
};

}  // namespace

CommandOutcome ClusterState::Run(const StartAttempts& command) {
  ItemOutcomeBuilder outcome(revision_);
  for (size_t i = 0; i < command.starts.size(); ++i) {
    std::optional<Error> error = CheckStart(command.starts[i]);
    if (error) {
      outcome.Refuse(i, std::move(*error));
      continue;
    }
    StartAttempt(command.starts[i]);
    outcome.Accept();
  }
  return outcome.Build();
}

std::optional<Error> ClusterState::CheckStart(const AttemptStart& start) const {
  const Task* task = FindTask(start.task_id);
  if (task == nullptr) {
    return MakeError(ErrorKind::kNotFound,
                     "task " + start.task_id + " does not exist",
                     "read the state again");
  }
  if (task->attempt != start.expected_attempt) {
    return OutdatedStateError(
        absl::StrCat("task ", start.task_id, " is at attempt ", task->attempt));
  }
  const OwnerTasks& tasks = *FindOwner(task->owner.uid);
  if (task->state != TaskState::kPending ||
      !IsWithinDesiredCount(tasks, *task)) {
    return OutdatedStateError("task " + start.task_id +
                              " is not waiting for a start");
  }
  std::optional<Error> error = CheckStartWorker(start);
  if (error) {
    return error;
  }
  return CheckStartAmounts(start, tasks);
}

std::optional<Error> ClusterState::CheckStartWorker(
    const AttemptStart& start) const {
  const std::string name = "worker '" + start.worker + "'";
  const WorkerState* worker = FindWorkerState(start.worker);
  if (worker == nullptr) {
    return MakeError(ErrorKind::kNotFound, name + " does not exist",
                     "choose another worker");
  }
  if (worker->boot_id.empty() || worker->boot_id != start.worker_boot_id) {
    return OutdatedStateError(name + " has a different boot id");
  }
  if (worker->suspended) {
    return PreconditionError(name + " is suspended",
                             "wait until the worker reports again");
  }
  if (worker->on_probation) {
    return PreconditionError(name + " is on probation",
                             "choose another worker; this one needs repair");
  }
  if (IsWorkerDrained(start.worker)) {
    return PreconditionError(name + " is drained",
                             "choose another worker, or undrain it");
  }
  return std::nullopt;
}

std::optional<Error> ClusterState::CheckStartAmounts(
    const AttemptStart& start,
    const OwnerTasks& tasks) const {
  if (IsNegative(start.reserved)) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "the reservation has a negative amount",
                     "correct the placement policy");
  }
  const Resource* worker = FindResource(ResourceKind::kWorker, start.worker);
  const auto& spec = std::get<WorkerSpec>(worker->spec);
  const Resource* owner = FindResource(tasks.owner.kind, tasks.owner.name);
  const std::vector<std::string>& allowed =
      FindTaskTemplate(owner->spec)->failure_domains;
  if (!allowed.empty() && std::find(allowed.begin(), allowed.end(),
                                    spec.failure_domain) == allowed.end()) {
    return PreconditionError(
        "the task may not run in failure domain '" + spec.failure_domain + "'",
        "choose a worker of an allowed failure domain");
  }
  // Checked before adding, so that the sum cannot overflow.
  bool fits = start.reserved.FitsInto(spec.capacity);
  if (fits) {
    ResourceAmounts on_worker = FindWorkerState(start.worker)->reserved;
    on_worker += start.reserved;
    fits = on_worker.FitsInto(spec.capacity);
  }
  if (!fits) {
    return MakeError(
        ErrorKind::kResourceExhausted,
        "worker '" + start.worker + "' has too little free capacity",
        "choose another worker");
  }
  const Resource* team = FindResource(ResourceKind::kTeam, tasks.team);
  ResourceAmounts of_team = ReservedBy(tasks.team);
  of_team += start.reserved;
  if (team == nullptr ||
      !of_team.FitsInto(std::get<TeamSpec>(team->spec).quota)) {
    return MakeError(ErrorKind::kResourceExhausted,
                     "team '" + tasks.team + "' has too little free quota",
                     "wait until tasks of the team end, or raise the quota");
  }
  return std::nullopt;
}

void ClusterState::StartAttempt(const AttemptStart& start) {
  const auto [tasks, task] = MutableTask(start.task_id);
  WorkerState& worker = worker_states_.find(start.worker)->second;
  const Resource* owner = FindResource(tasks->owner.kind, tasks->owner.name);
  const auto* job = std::get_if<BatchJobSpec>(&owner->spec);
  ++task->attempt;
  task->worker = worker.name;
  task->worker_boot_id = worker.boot_id;
  task->reserved = start.reserved;
  task->desired = DesiredAttemptState::kRun;
  task->reported = ReportedAttemptState::kAccepted;
  task->when_partitioned =
      job != nullptr ? job->when_partitioned
                     : std::get<ServiceSpec>(owner->spec).when_partitioned;
  task->reason = {};
  Charge(*tasks, worker, *task);
  SetTaskState(*tasks, *task, TaskState::kAssigned);
}

CommandOutcome ClusterState::Run(const SetDesiredAttempts& command) {
  ItemOutcomeBuilder outcome(revision_);
  for (size_t i = 0; i < command.changes.size(); ++i) {
    const DesiredStateChange& change = command.changes[i];
    const auto [tasks, task] = MutableTask(change.task_id);
    if (task == nullptr || !task->HasLiveAttempt() ||
        task->attempt != change.attempt) {
      outcome.Refuse(i, OutdatedStateError(absl::StrCat(
                            "attempt ", change.attempt, " of task ",
                            change.task_id, " is not live")));
      continue;
    }
    // Not reversible: the worker may have stopped the attempt already.
    if (task->desired == DesiredAttemptState::kStop &&
        change.desired != DesiredAttemptState::kStop) {
      outcome.Refuse(
          i, PreconditionError(
                 "the attempt is already being stopped",
                 "wait until it has ended; the task then starts again"));
      continue;
    }
    if (task->desired == change.desired) {
      continue;
    }
    task->desired = change.desired;
    task->reason = change.reason;
    task->changed_unix_ms = now_unix_ms_;
    outcome.Accept();
  }
  return outcome.Build();
}

CommandOutcome ClusterState::Run(const ReportAttempts& command) {
  ItemOutcomeBuilder outcome(revision_);
  for (size_t i = 0; i < command.reports.size(); ++i) {
    std::optional<Error> error = ApplyReport(command, command.reports[i]);
    if (error) {
      outcome.Refuse(i, std::move(*error));
    } else {
      outcome.Accept();
    }
  }
  return outcome.Build();
}

std::optional<Error> ClusterState::ApplyReport(const ReportAttempts& command,
                                               const AttemptReport& report) {
  const auto [tasks, task] = MutableTask(report.task_id);
  if (task == nullptr || !task->HasLiveAttempt() ||
      task->attempt != report.attempt || task->worker != command.worker ||
      task->worker_boot_id != command.boot_id) {
    return OutdatedStateError(
        absl::StrCat("attempt ", report.attempt, " of task ", report.task_id,
                     " is not live on worker '", command.worker, "'"));
  }
  if (!report.checkpoint.empty()) {
    task->checkpoint = report.checkpoint;
  }
  task->reported = report.state;
  task->changed_unix_ms = now_unix_ms_;
  if (report.state >= ReportedAttemptState::kCompleted) {
    const std::string owner_uid(tasks->owner.uid);
    EndReportedAttempt(*tasks, *task, report);
    PurgeOwnerIfEnded(owner_uid);
  }
  return std::nullopt;
}

void ClusterState::EndReportedAttempt(OwnerTasks& tasks,
                                      Task& task,
                                      const AttemptReport& report) {
  const bool still_desired = IsWithinDesiredCount(tasks, task);
  const bool is_job = tasks.owner.kind == ResourceKind::kBatchJob;
  const std::string message = report.message.substr(0, kMaximumReasonBytes);
  if (report.state == ReportedAttemptState::kStopped) {
    InterruptAttempt(tasks, task, message);
    return;
  }
  if (report.state == ReportedAttemptState::kCompleted) {
    const TaskState after = is_job          ? TaskState::kCompleted
                            : still_desired ? TaskState::kPending
                                            : TaskState::kCancelled;
    task.reason = is_job ? "" : "ended by itself; a service starts again";
    EndAttempt(tasks, task, after);
    return;
  }

  task.failures += report.charged ? 1 : 0;
  task.reason = absl::StrCat("attempt ", task.attempt, " failed on worker ",
                             task.worker, ": ", message);
  if (!still_desired) {
    EndAttempt(tasks, task, TaskState::kCancelled);
    return;
  }
  const Resource* owner = FindResource(tasks.owner.kind, tasks.owner.name);
  const auto* job = std::get_if<BatchJobSpec>(&owner->spec);
  const bool attempts_exhausted =
      job != nullptr && task.failures >= job->maximum_attempts;
  EndAttempt(tasks, task,
             attempts_exhausted ? TaskState::kFailed : TaskState::kPending);
}

void ClusterState::InterruptAttempt(OwnerTasks& tasks,
                                    Task& task,
                                    std::string_view reason) {
  if (!IsWithinDesiredCount(tasks, task)) {
    EndAttempt(tasks, task, TaskState::kCancelled);
    return;
  }
  ++task.evictions;
  ++tasks.counts.evictions;
  if (!reason.empty()) {
    task.reason = reason;
  }
  EndAttempt(tasks, task, TaskState::kPending);
}

void ClusterState::EndAttempt(OwnerTasks& tasks, Task& task, TaskState state) {
  WorkerState& worker = worker_states_.find(task.worker)->second;
  Release(tasks, worker, task);
  task.reserved = {};
  task.worker_boot_id = {};
  task.desired = DesiredAttemptState::kRun;
  SetTaskState(tasks, task, state);
}

}  // namespace bramleyrail
