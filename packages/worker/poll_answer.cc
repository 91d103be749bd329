#include "packages/worker/poll_answer.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

bool IsHeld(const PollRequest& request, const DesiredEntry& entry) {
  const auto& held = request.report.attempts;
  return std::any_of(held.begin(), held.end(), [&](const HeldAttempt& other) {
    return other.report.task_id == entry.task_id &&
           other.report.attempt == entry.attempt;
  });
}

Json EntryToJson(const DesiredEntry& entry, bool is_held) {
  Json json = {
      {"task_id", entry.task_id},
      {"attempt", entry.attempt},
      {"desired", std::string(DesiredAttemptStateName(entry.desired))}};
  // The worker has the rest since it accepted the attempt. Payloads in every
  // poll would exceed the 15 KB/s allowed for control of a node.
  if (is_held) {
    return json;
  }
  json["size"] = {{"processor_millis", entry.size.processor_millis},
                  {"memory_mib", entry.size.memory_mib},
                  {"accelerators", entry.size.accelerators}};
  json["payload"] = entry.payload;
  json["checkpoint"] = entry.checkpoint;
  json["checkpointable"] = entry.checkpointable;
  json["when_partitioned"] =
      entry.when_partitioned == PartitionBehaviour::kStop ? "stop" : "run_on";
  return json;
}

std::string Dump(const Json& json) {
  // Payloads and messages may hold bytes that are not UTF-8.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::string VersionText(uint64_t version) {
  return absl::StrCat(absl::Hex(version, absl::kZeroPad16));
}

std::string WritePollAnswer(const WorkerView& view,
                            const InstanceCondition& instance,
                            const PollRequest& request) {
  Json json = {
      {"revision", view.revision},   {"version", VersionText(view.version)},
      {"fresh", instance.fresh},     {"registered", view.registered},
      {"suspended", view.suspended}, {"draining", instance.draining}};
  // The lease rule: only an instance that is fresh may grant, and a suspension
  // withdraws both grants. A drain withdraws starts only; what runs keeps its
  // lease.
  if (instance.fresh && view.may_start) {
    json["start_permit_ms"] = kStartPermitDuration.count();
  }
  if (instance.fresh && view.registered && !view.suspended) {
    json["lease_ms"] = kWorkerLeaseDuration.count();
  }
  json["attempts"] = Json::array();
  for (const DesiredEntry& entry : view.attempts) {
    json["attempts"].push_back(EntryToJson(entry, IsHeld(request, entry)));
  }
  return Dump(json);
}

std::string WriteErrorBody(const Error& error) {
  Json json = {{"kind", std::string(ErrorKindName(error.kind))},
               {"message", error.message},
               {"remedy", error.remedy}};
  if (!error.faults.empty()) {
    json["faults"] = Json::array();
    for (const FieldFault& fault : error.faults) {
      json["faults"].push_back(
          {{"path", fault.path}, {"message", fault.message}});
    }
  }
  return Dump(Json{{"error", json}});
}

}  // namespace bramleyrail
