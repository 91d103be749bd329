// Workers: registration, suspension, expiry and probation.

#include <algorithm>

#include "packages/state/cluster_state.h"

namespace bramleyrail {

namespace {

// Delayed messages come only from the last few boots of a worker.
constexpr size_t kMaximumRetiredBootIds = 8;

Error UnknownBootIdError(std::string_view name) {
  return MakeError(
      ErrorKind::kConflict,
      "worker '" + std::string(name) + "' does not exist with this boot id",
      "register the worker with this boot id, or read the state again");
}

}  // namespace

const WorkerState* ClusterState::FindWorkerState(
    std::string_view worker) const {
  const auto found = worker_states_.find(worker);
  return found == worker_states_.end() ? nullptr : &found->second;
}

WorkerState* ClusterState::FindWorkerWithBootId(std::string_view name,
                                                std::string_view boot_id) {
  const auto found = worker_states_.find(name);
  if (found == worker_states_.end() || boot_id.empty() ||
      found->second.boot_id != boot_id) {
    return nullptr;
  }
  return &found->second;
}

CommandOutcome ClusterState::Run(const RegisterWorker& command) {
  const ResourceAmounts& capacity = command.spec.capacity;
  const bool valid =
      ValidateName(command.name).has_value() && !command.boot_id.empty() &&
      !command.new_uid.empty() && ResourceAmounts().FitsInto(capacity) &&
      capacity.FitsInto({kMaximumAmount, kMaximumAmount, kMaximumAmount});
  if (!valid) {
    return Refuse(MakeError(
        ErrorKind::kInvalidArgument,
        "the registration of worker '" + command.name +
            "' has an invalid name, boot id, uid or capacity",
        "send a valid name, a boot id, a uid and amounts of capacity between 0 "
        "and the maximum"));
  }
  const auto known = worker_states_.find(command.name);
  if (known != worker_states_.end()) {
    const auto& retired = known->second.retired_boot_ids;
    if (std::find(retired.begin(), retired.end(), command.boot_id) !=
        retired.end()) {
      // Otherwise a delayed message of an earlier boot would end the attempts
      // of the current boot, which the worker still runs.
      return Refuse(UnknownBootIdError(command.name));
    }
  }

  const Resource* current = FindResource(ResourceKind::kWorker, command.name);
  Resource resource;
  WorkerSpec spec = command.spec;
  if (current != nullptr) {
    resource = *current;
    spec.drained = std::get<WorkerSpec>(current->spec).drained;
  } else {
    resource.name = command.name;
    resource.uid = command.new_uid;
    resource.generation = 0;
    spec.drained = false;
  }
  const bool differs =
      current == nullptr || std::get<WorkerSpec>(resource.spec) != spec;
  if (differs) {
    resource.spec = std::move(spec);
    ++resource.generation;
    resource.revision = revision_;
    StoreResource(resource, current == nullptr ? ChangeType::kCreated
                                               : ChangeType::kChanged);
  }

  WorkerState& worker = worker_states_.find(command.name)->second;
  const bool new_boot = worker.boot_id != command.boot_id;
  if (new_boot) {
    InterruptAttemptsOf(worker, InterruptScope::kAllAttempts,
                        "its worker restarted; waits for a new start");
    if (!worker.boot_id.empty()) {
      worker.retired_boot_ids.emplace_back(worker.boot_id);
    }
    if (worker.retired_boot_ids.size() > kMaximumRetiredBootIds) {
      worker.retired_boot_ids.erase(worker.retired_boot_ids.begin());
    }
    worker.boot_id = command.boot_id;
    worker.suspended = false;
    worker.expired = false;
    MarkStatusChanged(ResourceKind::kWorker, command.name);
  }
  CommandOutcome outcome = Accept(resource);
  outcome.accepted = differs || new_boot ? 1 : 0;
  return outcome;
}

CommandOutcome ClusterState::Run(const SuspendWorker& command) {
  WorkerState* worker = FindWorkerWithBootId(command.name, command.boot_id);
  if (worker == nullptr) {
    return Refuse(UnknownBootIdError(command.name));
  }
  CommandOutcome outcome;
  outcome.revision = revision_;
  if (!worker->suspended) {
    worker->suspended = true;
    outcome.accepted = 1;
    MarkStatusChanged(ResourceKind::kWorker, command.name);
  }
  return outcome;
}

CommandOutcome ClusterState::Run(const ResumeWorker& command) {
  WorkerState* worker = FindWorkerWithBootId(command.name, command.boot_id);
  if (worker == nullptr) {
    return Refuse(UnknownBootIdError(command.name));
  }
  CommandOutcome outcome;
  outcome.revision = revision_;
  if (worker->suspended) {
    // Permitted after expiry as well: the attempts that the expiry ended are
    // fenced.
    worker->suspended = false;
    worker->expired = false;
    outcome.accepted = 1;
    MarkStatusChanged(ResourceKind::kWorker, command.name);
  }
  return outcome;
}

CommandOutcome ClusterState::Run(const ExpireWorker& command) {
  WorkerState* worker = FindWorkerWithBootId(command.name, command.boot_id);
  if (worker == nullptr) {
    return Refuse(UnknownBootIdError(command.name));
  }
  if (!worker->suspended) {
    return Refuse(
        MakeError(ErrorKind::kFailedPrecondition,
                  "worker '" + command.name + "' is not suspended",
                  "suspend it first, and wait until its lease has expired"));
  }
  CommandOutcome outcome;
  outcome.revision = revision_;
  if (!worker->expired) {
    worker->expired = true;
    outcome.accepted = 1;
    InterruptAttemptsOf(*worker, InterruptScope::kStoppingOnPartition,
                        "its worker was silent until the lease ran out; waits "
                        "for another one");
    MarkStatusChanged(ResourceKind::kWorker, command.name);
  }
  return outcome;
}

CommandOutcome ClusterState::Run(const SetWorkerProbation& command) {
  const auto found = worker_states_.find(command.name);
  if (found == worker_states_.end()) {
    return Refuse(MakeError(ErrorKind::kNotFound,
                            "worker '" + command.name + "' does not exist",
                            "check the name of the worker"));
  }
  WorkerState& worker = found->second;
  CommandOutcome outcome;
  outcome.revision = revision_;
  const std::string reason = command.on_probation ? command.reason : "";
  if (worker.on_probation != command.on_probation ||
      worker.probation_reason != reason) {
    worker.on_probation = command.on_probation;
    worker.probation_reason = reason;
    outcome.accepted = 1;
    MarkStatusChanged(ResourceKind::kWorker, command.name);
  }
  return outcome;
}

void ClusterState::InterruptAttemptsOf(WorkerState& worker,
                                       InterruptScope scope,
                                       std::string_view reason) {
  // Copied, because ending an attempt removes it from the set.
  const std::vector<SharedText> task_ids(worker.task_ids.begin(),
                                         worker.task_ids.end());
  for (const SharedText& task_id : task_ids) {
    const auto [tasks, task] = MutableTask(task_id);
    if (scope == InterruptScope::kStoppingOnPartition &&
        task->when_partitioned != PartitionBehaviour::kStop) {
      continue;
    }
    const std::string owner_uid(tasks->owner.uid);
    InterruptAttempt(*tasks, *task, reason);
    PurgeOwnerIfEnded(owner_uid);
  }
}

}  // namespace bramleyrail
