#include "packages/operator/task_report.h"

#include "absl/strings/str_cat.h"
#include "packages/operator/resource_status.h"

namespace bramleyrail {

namespace {

std::string Describe(const ResourceAmounts& amounts) {
  return absl::StrCat(amounts.processor_millis, " processor millis, ",
                      amounts.memory_mib, " MiB and ", amounts.accelerators,
                      " accelerators");
}

void ExplainHistory(const Task& task, Json& details) {
  if (task.attempt > 0) {
    details.push_back(absl::StrCat("newest attempt: ", task.attempt,
                                   "; charged failures: ", task.failures,
                                   "; evictions: ", task.evictions));
  }
  if (!task.checkpoint.empty()) {
    details.push_back(
        absl::StrCat("newest complete checkpoint: ", task.checkpoint));
  }
  if (!task.reason.empty()) {
    details.push_back(absl::StrCat("last event: ", task.reason));
  }
}

std::string ExplainAssigned(const ClusterState& state,
                            const Task& task,
                            Json& details) {
  details.push_back("reserved: " + Describe(task.reserved));
  const WorkerState* worker = state.FindWorkerState(task.worker);
  if (worker->suspended) {
    details.push_back(
        task.when_partitioned == PartitionBehaviour::kStop
            ? "its worker is silent; the task moves when the lease has run out"
            : "its worker is silent and the task runs on there; it moves when "
              "the worker reports or is deleted");
  }
  const Resource* resource =
      state.FindResource(ResourceKind::kWorker, task.worker);
  for (const std::string& cause : DrainedBy(state, *resource)) {
    details.push_back("its worker is drained by " + cause);
  }
  return absl::StrCat("attempt ", task.attempt, " is assigned to worker '",
                      task.worker, "' in failure domain '",
                      std::get<WorkerSpec>(resource->spec).failure_domain,
                      "' and should ",
                      std::string(DesiredAttemptStateName(task.desired)));
}

void ExplainQuota(const ClusterState& state,
                  const TaskTemplate& task,
                  Json& details) {
  const Resource* team = state.FindResource(ResourceKind::kTeam, task.team);
  if (team == nullptr) {
    details.push_back("team '" + task.team + "' does not exist; declare it");
    return;
  }
  const ResourceAmounts& quota = std::get<TeamSpec>(team->spec).quota;
  ResourceAmounts needed = state.ReservedBy(task.team);
  details.push_back("team '" + task.team + "' has reserved " +
                    Describe(needed) + " of its quota of " + Describe(quota));
  needed += task.size;
  if (!needed.FitsInto(quota)) {
    details.push_back("the declared size of " + Describe(task.size) +
                      " does not fit what is left of the quota; wait, or raise "
                      "the quota");
  }
}

std::string ExplainPending(const ClusterState& state,
                           const Task& task,
                           Json& details) {
  const Resource* owner = state.FindResource(task.owner.kind, task.owner.name);
  if (owner == nullptr || owner->uid != task.owner.uid) {
    return "its owner was deleted; it does not start again";
  }
  const TaskTemplate& spec = *FindTaskTemplate(owner->spec);
  details.push_back("declared size: " + Describe(spec.size));
  ExplainQuota(state, spec, details);
  for (const std::string& name : spec.failure_domains) {
    if (state.IsFailureDomainDrained(name)) {
      details.push_back("its allowed failure domain '" + name + "' is drained");
    }
  }
  const PendingReason* reason = state.FindPendingReason(task.owner.uid);
  if (reason == nullptr) {
    return "waits for the next placement step";
  }
  return (reason->unplaceable ? "fits no worker: " : "waits: ") +
         reason->reason;
}

}  // namespace

Json TaskToJson(const Task& task) {
  Json json = {{"id", std::string(task.id)},
               {"owner",
                {{"kind", ResourceKindName(task.owner.kind)},
                 {"name", std::string(task.owner.name)},
                 {"uid", std::string(task.owner.uid)}}},
               {"index", task.index},
               {"state", TaskStateName(task.state)},
               {"attempt", task.attempt},
               {"failures", task.failures},
               {"evictions", task.evictions},
               {"worker", std::string(task.worker)}};
  if (task.HasLiveAttempt()) {
    json["desired"] = DesiredAttemptStateName(task.desired);
    json["reported"] = ReportedAttemptStateName(task.reported);
  }
  json["reserved"] = AmountsToJson(task.reserved);
  json["checkpoint"] = std::string(task.checkpoint);
  json["reason"] = std::string(task.reason);
  json["changed_unix_ms"] = task.changed_unix_ms;
  return json;
}

Json ExplainTask(const ClusterState& state, const Task& task) {
  Json details = Json::array();
  std::string summary;
  switch (task.state) {
    case TaskState::kAssigned:
      summary = ExplainAssigned(state, task, details);
      break;
    case TaskState::kPending:
      summary = ExplainPending(state, task, details);
      break;
    case TaskState::kCompleted:
      summary = absl::StrCat("completed on worker '", task.worker, "'");
      break;
    case TaskState::kFailed:
      summary =
          "failed and has used up its attempts; correct the cause, then "
          "raise maximum_attempts or declare a new job";
      break;
    case TaskState::kCancelled:
      summary = "was cancelled, or is not declared any more";
      break;
  }
  ExplainHistory(task, details);
  return {{"task", TaskToJson(task)},
          {"summary", summary},
          {"details", std::move(details)}};
}

}  // namespace bramleyrail
