// Commands of operators: apply, delete, drain and cancel; purging of records.

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"
#include "packages/state/cluster_state.h"
#include "packages/state/codec.h"

namespace bramleyrail {

namespace {

std::string Describe(ResourceKind kind, std::string_view name) {
  return std::string(ResourceKindName(kind)) + " '" + std::string(name) + "'";
}

Error NotFoundError(ResourceKind kind, std::string_view name) {
  return MakeError(ErrorKind::kNotFound,
                   Describe(kind, name) + " does not exist",
                   "check the name, or list the resources of this kind");
}

Error ConflictError(ResourceKind kind,
                    std::string_view name,
                    std::string_view cause) {
  return MakeError(ErrorKind::kConflict,
                   Describe(kind, name) + " " + std::string(cause),
                   "compare with the current state in the answer, and send "
                   "the change again with its uid and revision");
}

std::optional<Error> CheckExpectedVersion(
    ResourceKind kind,
    std::string_view name,
    const std::string& expected_uid,
    std::optional<int64_t> expected_revision,
    const Resource* current) {
  if (!expected_uid.empty() && current == nullptr) {
    return ConflictError(kind, name, "was deleted");
  }
  if (!expected_uid.empty() && current->uid != expected_uid) {
    return ConflictError(kind, name, "was deleted and created again");
  }
  if (!expected_revision) {
    return std::nullopt;
  }
  if (*expected_revision == 0 && current != nullptr) {
    return ConflictError(kind, name, "exists already");
  }
  if (*expected_revision != 0 && current == nullptr) {
    return ConflictError(kind, name, "does not exist any more");
  }
  if (current != nullptr && current->revision != *expected_revision) {
    return ConflictError(kind, name,
                         "was changed by another change at revision " +
                             std::to_string(current->revision));
  }
  return std::nullopt;
}

bool* DrainedField(ResourceSpec& spec) {
  if (auto* failure_domain = std::get_if<FailureDomainSpec>(&spec)) {
    return &failure_domain->drained;
  }
  if (auto* rack = std::get_if<RackSpec>(&spec)) {
    return &rack->drained;
  }
  if (auto* worker = std::get_if<WorkerSpec>(&spec)) {
    return &worker->drained;
  }
  if (auto* target = std::get_if<TargetSpec>(&spec)) {
    return &target->drained;
  }
  return nullptr;
}

// Preserves a cancellation and a drain: applying the same declarations again
// must not undo them, only CancelJob and SetDrained may change them.
void PreserveCancellationAndDrain(const ResourceSpec& current,
                                  ResourceSpec& spec) {
  if (auto* job = std::get_if<BatchJobSpec>(&spec)) {
    job->cancelled = std::get<BatchJobSpec>(current).cancelled;
  }
  ResourceSpec copy = current;
  const bool* was_drained = DrainedField(copy);
  if (was_drained != nullptr && *was_drained) {
    *DrainedField(spec) = true;
  }
}

template <typename Change>
uint64_t Fingerprint(Change change) {
  // Excluded: the proposer generates other uids for each retry.
  if constexpr (requires { change.new_uids; }) {
    change.new_uids.clear();
  }
  if constexpr (requires { change.new_uid; }) {
    change.new_uid.clear();
  }
  const CommandBody body = std::move(change);
  return Hash64(AsText(codec::Encode(body)), 0);
}

}  // namespace

template <typename Change>
CommandOutcome ClusterState::RunOnce(const Change& change) {
  if (!ValidateRequestId(change.change_id)) {
    return Refuse(MakeInvalidArgument(
        "the change id has an invalid format",
        {{"change_id",
          "must be 1 to 128 printable ASCII characters without "
          "spaces and without '/'"}}));
  }
  const uint64_t fingerprint = Fingerprint(change);
  const auto known = processed_changes_.find(change.change_id);
  if (known != processed_changes_.end()) {
    if (known->second.fingerprint == fingerprint) {
      return known->second.outcome;
    }
    return Refuse(MakeError(
        ErrorKind::kConflict,
        "the change id '" + change.change_id + "' belongs to another change",
        "send this change with a new change id"));
  }
  CommandOutcome outcome = Run(change);
  processed_changes_[change.change_id] = {fingerprint, now_unix_ms_, outcome};
  processed_change_times_.emplace(now_unix_ms_, change.change_id);
  return outcome;
}

template CommandOutcome ClusterState::RunOnce(const ApplyResources& change);
template CommandOutcome ClusterState::RunOnce(const DeleteResource& change);
template CommandOutcome ClusterState::RunOnce(const SetDrained& change);
template CommandOutcome ClusterState::RunOnce(const CancelJob& change);

CommandOutcome ClusterState::PreviewApply(const ApplyResources& command) const {
  std::vector<PlannedResource> plan;
  std::optional<CommandOutcome> refusal =
      PlanApply(command, revision_ + 1, &plan);
  if (refusal) {
    return std::move(*refusal);
  }
  CommandOutcome outcome;
  outcome.revision = revision_;
  for (PlannedResource& planned : plan) {
    outcome.accepted += planned.differs ? 1 : 0;
    outcome.resources.push_back(std::move(planned.resource));
  }
  return outcome;
}

CommandOutcome ClusterState::Run(const ApplyResources& command) {
  std::vector<PlannedResource> plan;
  std::optional<CommandOutcome> refusal = PlanApply(command, revision_, &plan);
  if (refusal) {
    return std::move(*refusal);
  }
  CommandOutcome outcome;
  outcome.revision = revision_;
  for (PlannedResource& planned : plan) {
    outcome.resources.push_back(planned.resource);
    if (!planned.differs) {
      continue;
    }
    ++outcome.accepted;
    StoreResource(std::move(planned.resource),
                  planned.is_new ? ChangeType::kCreated : ChangeType::kChanged);
  }
  return outcome;
}

std::optional<CommandOutcome> ClusterState::PlanApply(
    const ApplyResources& command,
    int64_t revision,
    std::vector<PlannedResource>* plan) const {
  std::vector<FieldFault> faults;
  CheckReferences(command, &faults);
  if (command.declarations.empty()) {
    faults.push_back({"declarations", "must name at least one resource"});
  }
  if (command.new_uids.size() != command.declarations.size()) {
    faults.push_back({"new_uids", "must have one uid for each declaration"});
  }
  if (!faults.empty()) {
    return Refuse(MakeInvalidArgument("the declarations are not valid",
                                      std::move(faults)));
  }

  CommandOutcome conflict;
  conflict.revision = revision_;
  for (size_t i = 0; i < command.declarations.size(); ++i) {
    const ResourceDeclaration& declaration = command.declarations[i];
    const Resource* current =
        FindResource(declaration.Kind(), declaration.name);
    std::optional<Error> error = CheckExpectedVersion(
        declaration.Kind(), declaration.name, declaration.expected_uid,
        declaration.expected_revision, current);
    if (error) {
      if (current != nullptr) {
        conflict.resources.push_back(*current);
      }
      if (!conflict.refusal) {
        conflict.refusal = std::move(error);
      }
      continue;
    }
    PlannedResource planned;
    planned.is_new = current == nullptr;
    planned.resource.name = declaration.name;
    planned.resource.spec = declaration.spec;
    if (planned.is_new) {
      planned.differs = true;
      planned.resource.uid = command.new_uids[i];
      planned.resource.revision = revision;
      if (auto* job = std::get_if<BatchJobSpec>(&planned.resource.spec)) {
        job->cancelled = false;
      }
    } else {
      PreserveCancellationAndDrain(current->spec, planned.resource.spec);
      planned.differs = planned.resource.spec != current->spec;
      planned.resource.uid = current->uid;
      planned.resource.generation =
          current->generation + (planned.differs ? 1 : 0);
      planned.resource.revision =
          planned.differs ? revision : current->revision;
    }
    plan->push_back(std::move(planned));
  }
  if (conflict.refusal) {
    return conflict;
  }
  return std::nullopt;
}

void ClusterState::CheckReferences(const ApplyResources& command,
                                   std::vector<FieldFault>* faults) const {
  std::set<std::pair<ResourceKind, std::string_view>> declared;
  for (size_t i = 0; i < command.declarations.size(); ++i) {
    const ResourceDeclaration& declaration = command.declarations[i];
    if (!declared.emplace(declaration.Kind(), declaration.name).second) {
      faults->push_back({absl::StrCat("declarations[", i, "].name"),
                         "is declared twice in one change"});
    }
  }
  for (size_t i = 0; i < command.new_uids.size(); ++i) {
    const std::string& uid = command.new_uids[i];
    const auto same =
        std::count(command.new_uids.begin(), command.new_uids.end(), uid);
    if (uid.empty() || same > 1 || owners_.contains(uid)) {
      faults->push_back({absl::StrCat("new_uids[", i, "]"),
                         "must not be empty and must be unique"});
    }
  }

  for (size_t i = 0; i < command.declarations.size(); ++i) {
    const ResourceSpec& spec = command.declarations[i].spec;
    const auto require = [&](ResourceKind kind, const std::string& name,
                             const std::string& field) {
      if (!name.empty() && !declared.contains({kind, name}) &&
          FindResource(kind, name) == nullptr) {
        faults->push_back({absl::StrCat("declarations[", i, "].spec.", field),
                           Describe(kind, name) +
                               " does not exist; declare it first or in the "
                               "same change"});
      }
    };
    if (const TaskTemplate* task = FindTaskTemplate(spec)) {
      require(ResourceKind::kTeam, task->team, "team");
      for (size_t j = 0; j < task->failure_domains.size(); ++j) {
        require(ResourceKind::kFailureDomain, task->failure_domains[j],
                absl::StrCat("failure_domains[", j, "]"));
      }
    } else if (const auto* rack = std::get_if<RackSpec>(&spec)) {
      require(ResourceKind::kFailureDomain, rack->failure_domain,
              "failure_domain");
    } else if (const auto* worker = std::get_if<WorkerSpec>(&spec)) {
      require(ResourceKind::kFailureDomain, worker->failure_domain,
              "failure_domain");
    } else if (const auto* target = std::get_if<TargetSpec>(&spec)) {
      require(ResourceKind::kService, target->service, "service");
      require(ResourceKind::kFailureDomain, target->failure_domain,
              "failure_domain");
    }
  }
}

const Resource& ClusterState::StoreResource(Resource resource,
                                            ChangeType type) {
  Resource& stored = MutableResources(resource.Kind())[resource.name];
  stored = std::move(resource);
  if (stored.Kind() == ResourceKind::kWorker) {
    worker_states_[stored.name].name = stored.name;
  }
  UpdateOwner(stored);
  RecordChange(stored, type);
  return stored;
}

CommandOutcome ClusterState::Run(const DeleteResource& command) {
  const Resource* current = FindResource(command.kind, command.name);
  if (current == nullptr && command.expected_uid.empty()) {
    return Refuse(NotFoundError(command.kind, command.name));
  }
  std::optional<Error> error =
      CheckExpectedVersion(command.kind, command.name, command.expected_uid,
                           command.expected_revision, current);
  if (!error) {
    error = CheckUnreferenced(*current);
  }
  if (error) {
    CommandOutcome outcome = Refuse(std::move(*error));
    if (current != nullptr) {
      outcome.resources.push_back(*current);
    }
    return outcome;
  }

  const Resource resource = *current;
  if (command.kind == ResourceKind::kWorker) {
    // By the deletion, the operator confirms that the worker is switched off.
    InterruptAttemptsOf(worker_states_.at(resource.name),
                        InterruptScope::kAllAttempts,
                        "its worker was deleted; waits for another one");
    worker_states_.erase(resource.name);
  }
  RecordChange(resource, ChangeType::kDeleted);
  MutableResources(command.kind).erase(resource.name);
  MarkOwnerDeleted(resource);
  return Accept(resource);
}

std::optional<Error> ClusterState::CheckUnreferenced(
    const Resource& resource) const {
  const auto in_use = [&](ResourceKind kind, const std::string& name) {
    return MakeError(ErrorKind::kFailedPrecondition,
                     Describe(resource.Kind(), resource.name) +
                         " is still used by " + Describe(kind, name),
                     "delete or change what uses it first");
  };
  // Searches all resources, since deletions of these kinds are rare. Tasks need
  // no search.
  for (const auto& kind_resources : resources_) {
    for (const auto& [name, user] : kind_resources) {
      const TaskTemplate* task = FindTaskTemplate(user.spec);
      const auto* worker = std::get_if<WorkerSpec>(&user.spec);
      const auto* rack = std::get_if<RackSpec>(&user.spec);
      const auto* target = std::get_if<TargetSpec>(&user.spec);
      bool used = false;
      switch (resource.Kind()) {
        case ResourceKind::kTeam:
          used = task != nullptr && task->team == resource.name;
          break;
        case ResourceKind::kFailureDomain:
          used =
              (worker != nullptr && worker->failure_domain == resource.name) ||
              (rack != nullptr && rack->failure_domain == resource.name) ||
              (target != nullptr && target->failure_domain == resource.name);
          break;
        case ResourceKind::kRack:
          used = worker != nullptr && worker->rack == resource.name;
          break;
        default:
          return std::nullopt;
      }
      if (used) {
        return in_use(user.Kind(), name);
      }
    }
  }
  return std::nullopt;
}

bool ClusterState::IsKnownLocation(ResourceKind kind,
                                   std::string_view name) const {
  for (const auto& [worker, resource] : Resources(ResourceKind::kWorker)) {
    const auto& spec = std::get<WorkerSpec>(resource.spec);
    const std::string& location =
        kind == ResourceKind::kRack ? spec.rack : spec.failure_domain;
    if (location == name) {
      return true;
    }
  }
  return false;
}

CommandOutcome ClusterState::Run(const SetDrained& command) {
  const Resource* current = FindResource(command.kind, command.name);
  Resource resource;
  if (current != nullptr) {
    resource = *current;
  } else {
    // Workers are created by their registration. A failure domain in which
    // there is no worker is rejected as a spelling mistake: its drain would
    // have no effect.
    const bool may_create = command.kind == ResourceKind::kTarget ||
                            command.kind == ResourceKind::kRack ||
                            (command.kind == ResourceKind::kFailureDomain &&
                             IsKnownLocation(command.kind, command.name));
    if (!may_create || !command.drained || !ValidateName(command.name) ||
        command.new_uid.empty()) {
      return Refuse(NotFoundError(command.kind, command.name));
    }
    resource.name = command.name;
    resource.uid = command.new_uid;
    resource.generation = 0;
    if (command.kind == ResourceKind::kTarget) {
      resource.spec = TargetSpec();
    } else if (command.kind == ResourceKind::kRack) {
      resource.spec = RackSpec();
    } else {
      resource.spec = FailureDomainSpec();
    }
  }
  bool* drained = DrainedField(resource.spec);
  if (drained == nullptr) {
    return Refuse(MakeError(ErrorKind::kInvalidArgument,
                            "a " + std::string(ResourceKindName(command.kind)) +
                                " cannot be drained",
                            "drain a failure domain, rack, worker or target"));
  }
  if (*drained == command.drained) {
    CommandOutcome unchanged = Accept(resource);
    unchanged.accepted = 0;
    return unchanged;
  }
  *drained = command.drained;
  ++resource.generation;
  resource.revision = revision_;
  return Accept(StoreResource(std::move(resource), current == nullptr
                                                       ? ChangeType::kCreated
                                                       : ChangeType::kChanged));
}

CommandOutcome ClusterState::Run(const CancelJob& command) {
  const Resource* current = FindResource(ResourceKind::kBatchJob, command.job);
  if (current == nullptr) {
    return Refuse(NotFoundError(ResourceKind::kBatchJob, command.job));
  }
  Resource resource = *current;
  auto& spec = std::get<BatchJobSpec>(resource.spec);
  if (spec.cancelled) {
    CommandOutcome unchanged = Accept(resource);
    unchanged.accepted = 0;
    return unchanged;
  }
  spec.cancelled = true;
  ++resource.generation;
  resource.revision = revision_;
  return Accept(StoreResource(std::move(resource), ChangeType::kChanged));
}

CommandOutcome ClusterState::Run(const PurgeBefore& command) {
  CommandOutcome outcome;
  outcome.revision = revision_;
  while (!processed_change_times_.empty() &&
         processed_change_times_.begin()->first < command.unix_ms) {
    processed_changes_.erase(processed_change_times_.begin()->second);
    processed_change_times_.erase(processed_change_times_.begin());
    ++outcome.accepted;
  }
  while (!resolved_claims_.empty() &&
         resolved_claims_.begin()->first < command.unix_ms) {
    claims_.erase(resolved_claims_.begin()->second);
    resolved_claims_.erase(resolved_claims_.begin());
    ++outcome.accepted;
  }
  return outcome;
}

}  // namespace bramleyrail
