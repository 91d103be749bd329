#include "packages/operator/resource_status.h"

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

Json CountsToJson(const TaskCounts& counts) {
  return {{"pending", counts.pending},     {"assigned", counts.assigned},
          {"completed", counts.completed}, {"failed", counts.failed},
          {"cancelled", counts.cancelled}, {"evictions", counts.evictions}};
}

std::string JobState(const BatchJobSpec& spec, const TaskCounts& counts) {
  if (spec.cancelled) {
    const bool ended = counts.assigned == 0 && counts.pending == 0;
    return ended ? "cancelled" : "cancelling";
  }
  if (counts.assigned > 0) {
    return "running";
  }
  if (counts.completed == spec.tasks) {
    return "completed";
  }
  const bool over =
      counts.pending == 0 && counts.completed + counts.failed >= spec.tasks;
  return over ? "failed" : "waiting";
}

std::string ServiceState(const ServiceSpec& spec, const TaskCounts& counts) {
  if (spec.replicas == 0) {
    return "targets_only";
  }
  if (counts.assigned >= spec.replicas) {
    return "running";
  }
  return counts.assigned > 0 ? "degraded" : "waiting";
}

std::string WaitReason(const PendingReason* pending,
                       const TaskCounts& counts,
                       const std::string& state) {
  if (pending != nullptr) {
    return pending->reason;
  }
  if (state == "failed") {
    return absl::StrCat(counts.failed,
                        " tasks used up their attempts; read their reasons, "
                        "correct the job, then raise maximum_attempts or "
                        "declare a new job");
  }
  if (counts.pending > 0) {
    return absl::StrCat(counts.pending,
                        " tasks wait for the next placement step");
  }
  return "";
}

Json TaskOwnerStatus(const ClusterState& state, const Resource& resource) {
  const TaskCounts counts = state.CountsOf(resource.uid);
  const auto* job = std::get_if<BatchJobSpec>(&resource.spec);
  const std::string owner_state =
      job != nullptr
          ? JobState(*job, counts)
          : ServiceState(std::get<ServiceSpec>(resource.spec), counts);
  const PendingReason* pending = state.FindPendingReason(resource.uid);
  return {{"state", owner_state},
          {"tasks", CountsToJson(counts)},
          {"reason", WaitReason(pending, counts, owner_state)},
          {"unplaceable", pending != nullptr && pending->unplaceable}};
}

Json TeamStatus(const ClusterState& state, const Resource& resource) {
  const ResourceAmounts reserved = state.ReservedBy(resource.name);
  ResourceAmounts left = std::get<TeamSpec>(resource.spec).quota;
  left -= reserved;
  return {{"reserved", AmountsToJson(reserved)}, {"left", AmountsToJson(left)}};
}

std::string WorkerReason(const ClusterState& state,
                         const Resource& resource,
                         const WorkerState& worker) {
  if (worker.boot_id.empty()) {
    return "has never registered; start its agent";
  }
  if (worker.expired) {
    return "is silent and its lease has run out; repair it, or delete it to "
           "confirm that it is off";
  }
  if (worker.suspended) {
    return "is silent; its tasks move when its lease has run out";
  }
  if (worker.on_probation) {
    return absl::StrCat("is on probation, nothing starts here: ",
                        worker.probation_reason, "; repair or replace it");
  }
  const auto& spec = std::get<WorkerSpec>(resource.spec);
  if (!worker.reserved.FitsInto(spec.capacity)) {
    return "has less capacity than its tasks reserve; nothing starts here "
           "until tasks have ended";
  }
  return state.IsWorkerDrained(resource.name)
             ? "is drained; nothing starts here until it is undrained"
             : "";
}

Json WorkerStatus(const ClusterState& state, const Resource& resource) {
  const WorkerState* worker = state.FindWorkerState(resource.name);
  // A deleted worker of the watch history has no state any more.
  static const WorkerState none;
  const WorkerState& known = worker == nullptr ? none : *worker;
  return {{"registered", !known.boot_id.empty()},
          {"boot_id", std::string(known.boot_id)},
          {"suspended", known.suspended},
          {"lease_expired", known.expired},
          {"on_probation", known.on_probation},
          {"reserved", AmountsToJson(known.reserved)},
          {"tasks", known.task_ids.size()},
          {"reason", WorkerReason(state, resource, known)}};
}

// Sums over the workers of a rack or failure domain.
Json PlaceStatus(const ClusterState& state, const Resource& place) {
  int64_t workers = 0;
  int64_t suspended = 0;
  int64_t on_probation = 0;
  ResourceAmounts reserved;
  ResourceAmounts capacity;
  for (const auto& [name, worker] : state.Resources(ResourceKind::kWorker)) {
    const auto& spec = std::get<WorkerSpec>(worker.spec);
    const bool here = place.Kind() == ResourceKind::kRack
                          ? spec.rack == place.name
                          : spec.failure_domain == place.name;
    if (!here) {
      continue;
    }
    const WorkerState* worker_state = state.FindWorkerState(name);
    ++workers;
    suspended += worker_state->suspended ? 1 : 0;
    on_probation += worker_state->on_probation ? 1 : 0;
    reserved += worker_state->reserved;
    capacity += spec.capacity;
  }
  return {{"workers", workers},
          {"workers_suspended", suspended},
          {"workers_on_probation", on_probation},
          {"reserved", AmountsToJson(reserved)},
          {"capacity", AmountsToJson(capacity)}};
}

bool IsDrainable(ResourceKind kind) {
  return kind == ResourceKind::kFailureDomain || kind == ResourceKind::kRack ||
         kind == ResourceKind::kWorker || kind == ResourceKind::kTarget;
}

}  // namespace

Json AmountsToJson(const ResourceAmounts& amounts) {
  return {{"processor_millis", amounts.processor_millis},
          {"memory_mib", amounts.memory_mib},
          {"accelerators", amounts.accelerators}};
}

std::vector<std::string> DrainedBy(const ClusterState& state,
                                   const Resource& resource) {
  std::vector<std::string> causes;
  const auto add = [&causes](ResourceKind kind, std::string_view name) {
    causes.push_back(std::string(ResourceKindName(kind)) + "/" +
                     std::string(name));
  };
  const auto add_failure_domain = [&](const std::string& name) {
    if (state.IsFailureDomainDrained(name)) {
      add(ResourceKind::kFailureDomain, name);
    }
  };
  const auto add_own = [&](bool drained) {
    if (drained) {
      add(resource.Kind(), resource.name);
    }
  };
  if (const auto* domain = std::get_if<FailureDomainSpec>(&resource.spec)) {
    add_own(domain->drained);
  } else if (const auto* rack = std::get_if<RackSpec>(&resource.spec)) {
    add_own(rack->drained);
    add_failure_domain(rack->failure_domain);
  } else if (const auto* target = std::get_if<TargetSpec>(&resource.spec)) {
    add_own(target->drained);
    add_failure_domain(target->failure_domain);
  } else if (const auto* worker = std::get_if<WorkerSpec>(&resource.spec)) {
    add_own(worker->drained);
    const Resource* rack_of_worker =
        state.FindResource(ResourceKind::kRack, worker->rack);
    if (rack_of_worker != nullptr &&
        std::get<RackSpec>(rack_of_worker->spec).drained) {
      add(ResourceKind::kRack, worker->rack);
    }
    add_failure_domain(worker->failure_domain);
  }
  return causes;
}

Json StatusOf(const ClusterState& state, const Resource& resource) {
  Json status = Json::object();
  if (IsDrainable(resource.Kind())) {
    const std::vector<std::string> causes = DrainedBy(state, resource);
    status["drained"] = !causes.empty();
    status["drained_by"] = causes;
  }
  switch (resource.Kind()) {
    case ResourceKind::kService:
    case ResourceKind::kBatchJob:
      status.update(TaskOwnerStatus(state, resource));
      break;
    case ResourceKind::kTeam:
      status.update(TeamStatus(state, resource));
      break;
    case ResourceKind::kFailureDomain:
    case ResourceKind::kRack:
      status.update(PlaceStatus(state, resource));
      break;
    case ResourceKind::kWorker:
      status.update(WorkerStatus(state, resource));
      break;
    case ResourceKind::kTarget:
      break;
  }
  return status;
}

Json ResourceWithStatus(const ClusterState& state, const Resource& resource) {
  Json json = ResourceToJson(resource);
  json["status"] = StatusOf(state, resource);
  return json;
}

}  // namespace bramleyrail
