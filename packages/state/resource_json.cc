#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/state/resource.h"

namespace bramleyrail {

namespace {

using Presence = JsonReader::Presence;
using Range = JsonReader::IntegerRange;

// One command creates all tasks of a job, so their number is limited.
constexpr int64_t kMaximumTasks = 100'000;
// Limited because each declaration is copied into the log, the snapshots and
// the watch history.
constexpr size_t kMaximumPayloadBytes = size_t{16} * 1024;
constexpr int64_t kMaximumTimeoutMs = 600'000;

void AddErrorAsFault(const Error& error,
                     std::string path,
                     std::vector<FieldFault>* faults) {
  faults->push_back({std::move(path), error.message + "; " + error.remedy});
}

std::string ReadName(JsonReader& reader,
                     std::string_view field,
                     Presence presence,
                     std::vector<FieldFault>* faults) {
  const std::optional<std::string> name = reader.String(field, presence);
  // An optional name may be empty, which is the same as omitting it.
  if (!name || (name->empty() && presence == Presence::kOptional)) {
    return "";
  }
  const Result<void> valid = ValidateName(*name);
  if (!valid) {
    AddErrorAsFault(valid.error(), reader.PathOf(field), faults);
  }
  return *name;
}

enum class AmountsRule { kZeroAllowed, kProcessorAndMemoryRequired };

ResourceAmounts ReadAmounts(JsonReader& parent,
                            std::string_view field,
                            Presence presence,
                            AmountsRule rule,
                            std::vector<FieldFault>* faults) {
  ResourceAmounts amounts;
  const Json* object = parent.Object(field, presence);
  if (object == nullptr) {
    return amounts;
  }
  const int64_t minimum = rule == AmountsRule::kZeroAllowed ? 0 : 1;
  const Range range{minimum, kMaximumAmount};
  JsonReader reader(*object, parent.PathOf(field), faults);
  amounts.processor_millis =
      reader.Integer("processor_millis", Presence::kRequired, range)
          .value_or(0);
  amounts.memory_mib =
      reader.Integer("memory_mib", Presence::kRequired, range).value_or(0);
  amounts.accelerators =
      reader.Integer("accelerators", Presence::kOptional, {0, kMaximumAmount})
          .value_or(0);
  reader.RefuseUnknownFields();
  return amounts;
}

template <typename Enum, size_t kCount>
Enum ReadEnum(JsonReader& reader,
              std::string_view field,
              Enum fallback,
              const std::array<Enum, kCount>& values,
              std::string_view (*name_of)(Enum)) {
  const auto text = reader.String(field, Presence::kOptional);
  if (!text) {
    return fallback;
  }
  std::string names;
  for (const Enum value : values) {
    if (name_of(value) == *text) {
      return value;
    }
    names += (names.empty() ? "" : ", ") + std::string(name_of(value));
  }
  reader.AddFault(field, "must be one of " + names);
  return fallback;
}

PartitionBehaviour ReadPartitionBehaviour(JsonReader& reader,
                                          PartitionBehaviour fallback) {
  return ReadEnum<PartitionBehaviour, 2>(
      reader, "when_partitioned", fallback,
      {PartitionBehaviour::kStop, PartitionBehaviour::kKeepRunning},
      PartitionBehaviourName);
}

TaskTemplate ReadTaskTemplate(JsonReader& reader,
                              const std::string& name,
                              Presence presence,
                              std::vector<FieldFault>* faults) {
  TaskTemplate task;
  task.team = ReadName(reader, "team", presence, faults);
  task.task_kind = ReadName(reader, "task_kind", Presence::kOptional, faults);
  if (task.task_kind.empty()) {
    task.task_kind = name;
  }
  task.size = ReadAmounts(reader, "size", presence,
                          AmountsRule::kProcessorAndMemoryRequired, faults);
  task.payload = reader.String("payload", Presence::kOptional).value_or("");
  if (task.payload.size() > kMaximumPayloadBytes) {
    reader.AddFault("payload", absl::StrCat("must be at most ",
                                            kMaximumPayloadBytes, " bytes"));
  }
  task.failure_domains = reader.Strings("failure_domains", Presence::kOptional)
                             .value_or(std::vector<std::string>());
  for (size_t i = 0; i < task.failure_domains.size(); ++i) {
    const Result<void> valid = ValidateName(task.failure_domains[i]);
    if (!valid) {
      AddErrorAsFault(
          valid.error(),
          absl::StrCat(reader.PathOf("failure_domains"), "[", i, "]"), faults);
    }
  }
  return task;
}

ServiceSpec ReadService(JsonReader& reader,
                        const std::string& name,
                        std::vector<FieldFault>* faults) {
  ServiceSpec spec;
  spec.replicas =
      reader.Integer("replicas", Presence::kOptional, {0, kMaximumTasks})
          .value_or(0);
  // A service whose targets run elsewhere starts no tasks and needs neither
  // team nor size.
  const Presence presence =
      spec.replicas > 0 ? Presence::kRequired : Presence::kOptional;
  spec.task = ReadTaskTemplate(reader, name, presence, faults);
  spec.when_partitioned = ReadPartitionBehaviour(reader, spec.when_partitioned);
  spec.concurrent_requests =
      reader.Integer("concurrent_requests", Presence::kOptional, {1, 1'000'000})
          .value_or(spec.concurrent_requests);
  spec.concurrent_requests_for_caller =
      reader
          .Integer("concurrent_requests_for_caller", Presence::kOptional,
                   {1, 1'000'000})
          .value_or(spec.concurrent_requests_for_caller);
  spec.default_timeout_ms =
      reader
          .Integer("default_timeout_ms", Presence::kOptional,
                   {1, kMaximumTimeoutMs})
          .value_or(spec.default_timeout_ms);
  return spec;
}

BatchJobSpec ReadBatchJob(JsonReader& reader,
                          const std::string& name,
                          std::vector<FieldFault>* faults) {
  BatchJobSpec spec;
  spec.task = ReadTaskTemplate(reader, name, Presence::kRequired, faults);
  spec.tasks = reader.Integer("tasks", Presence::kOptional, {1, kMaximumTasks})
                   .value_or(spec.tasks);
  spec.priority = ReadEnum<Priority, 3>(
      reader, "priority", spec.priority,
      {Priority::kUrgent, Priority::kNormal, Priority::kLow}, PriorityName);
  spec.maximum_attempts =
      reader.Integer("maximum_attempts", Presence::kOptional, {1, 1000})
          .value_or(spec.maximum_attempts);
  spec.checkpointable = reader.Boolean("checkpointable", Presence::kOptional)
                            .value_or(spec.checkpointable);
  spec.when_partitioned = ReadPartitionBehaviour(reader, spec.when_partitioned);
  // Accepted so that a listed job can be declared again. Only CancelJob changes
  // this field.
  spec.cancelled =
      reader.Boolean("cancelled", Presence::kOptional).value_or(false);
  return spec;
}

TeamSpec ReadTeam(JsonReader& reader, std::vector<FieldFault>* faults) {
  TeamSpec spec;
  spec.quota = ReadAmounts(reader, "quota", Presence::kRequired,
                           AmountsRule::kZeroAllowed, faults);
  spec.weight = reader.Integer("weight", Presence::kOptional, {1, 1000})
                    .value_or(spec.weight);
  return spec;
}

bool ReadDrained(JsonReader& reader) {
  return reader.Boolean("drained", Presence::kOptional).value_or(false);
}

WorkerSpec ReadWorker(JsonReader& reader, std::vector<FieldFault>* faults) {
  WorkerSpec spec;
  spec.failure_domain =
      ReadName(reader, "failure_domain", Presence::kRequired, faults);
  spec.rack = ReadName(reader, "rack", Presence::kOptional, faults);
  spec.capacity = ReadAmounts(reader, "capacity", Presence::kRequired,
                              AmountsRule::kProcessorAndMemoryRequired, faults);
  spec.drained = ReadDrained(reader);
  return spec;
}

ResourceSpec ReadSpec(ResourceKind kind,
                      JsonReader& reader,
                      const std::string& name,
                      std::vector<FieldFault>* faults) {
  const auto required_name = [&](std::string_view field) {
    return ReadName(reader, field, Presence::kRequired, faults);
  };
  switch (kind) {
    case ResourceKind::kService:
      return ReadService(reader, name, faults);
    case ResourceKind::kBatchJob:
      return ReadBatchJob(reader, name, faults);
    case ResourceKind::kTeam:
      return ReadTeam(reader, faults);
    case ResourceKind::kFailureDomain:
      return FailureDomainSpec{required_name("region"), ReadDrained(reader)};
    case ResourceKind::kRack:
      return RackSpec{required_name("failure_domain"), ReadDrained(reader)};
    case ResourceKind::kWorker:
      return ReadWorker(reader, faults);
    case ResourceKind::kTarget:
      return TargetSpec{required_name("service"),
                        required_name("failure_domain"), ReadDrained(reader)};
  }
  BRAMLEYRAIL_ASSERT(false, "unknown resource kind");
}

Json AmountsToJson(const ResourceAmounts& amounts) {
  return {{"processor_millis", amounts.processor_millis},
          {"memory_mib", amounts.memory_mib},
          {"accelerators", amounts.accelerators}};
}

Json TaskTemplateToJson(const TaskTemplate& task) {
  return {{"team", task.team},
          {"task_kind", task.task_kind},
          {"size", AmountsToJson(task.size)},
          {"payload", task.payload},
          {"failure_domains", task.failure_domains}};
}

struct SpecEncoder {
  Json operator()(const ServiceSpec& spec) const {
    Json json = TaskTemplateToJson(spec.task);
    if (spec.task.size == ResourceAmounts{}) {
      json.erase("size");
    }
    if (spec.task.team.empty()) {
      json.erase("team");
    }
    json["replicas"] = spec.replicas;
    json["when_partitioned"] = PartitionBehaviourName(spec.when_partitioned);
    json["concurrent_requests"] = spec.concurrent_requests;
    json["concurrent_requests_for_caller"] =
        spec.concurrent_requests_for_caller;
    json["default_timeout_ms"] = spec.default_timeout_ms;
    return json;
  }
  Json operator()(const BatchJobSpec& spec) const {
    Json json = TaskTemplateToJson(spec.task);
    json["tasks"] = spec.tasks;
    json["priority"] = PriorityName(spec.priority);
    json["maximum_attempts"] = spec.maximum_attempts;
    json["checkpointable"] = spec.checkpointable;
    json["when_partitioned"] = PartitionBehaviourName(spec.when_partitioned);
    json["cancelled"] = spec.cancelled;
    return json;
  }
  Json operator()(const TeamSpec& spec) const {
    return {{"quota", AmountsToJson(spec.quota)}, {"weight", spec.weight}};
  }
  Json operator()(const FailureDomainSpec& spec) const {
    return {{"region", spec.region}, {"drained", spec.drained}};
  }
  Json operator()(const RackSpec& spec) const {
    return {{"failure_domain", spec.failure_domain}, {"drained", spec.drained}};
  }
  Json operator()(const WorkerSpec& spec) const {
    return {{"failure_domain", spec.failure_domain},
            {"rack", spec.rack},
            {"capacity", AmountsToJson(spec.capacity)},
            {"drained", spec.drained}};
  }
  Json operator()(const TargetSpec& spec) const {
    return {{"service", spec.service},
            {"failure_domain", spec.failure_domain},
            {"drained", spec.drained}};
  }
};

}  // namespace

std::optional<ResourceDeclaration> ReadDeclaration(
    const Json& json,
    const std::string& path,
    std::vector<FieldFault>* faults) {
  const size_t faults_before = faults->size();
  JsonReader reader(json, path, faults);
  ResourceDeclaration declaration;
  const auto kind_name = reader.String("kind", Presence::kRequired);
  declaration.name = ReadName(reader, "name", Presence::kRequired, faults);
  declaration.expected_uid =
      reader.String("expected_uid", Presence::kOptional).value_or("");
  declaration.expected_revision =
      reader.Integer("expected_revision", Presence::kOptional, {0, INT64_MAX});
  const Json* spec = reader.Object("spec", Presence::kRequired);
  reader.RefuseUnknownFields();

  if (kind_name) {
    const Result<ResourceKind> kind = ParseResourceKind(*kind_name);
    if (!kind) {
      AddErrorAsFault(kind.error(), reader.PathOf("kind"), faults);
    } else if (spec != nullptr) {
      JsonReader spec_reader(*spec, reader.PathOf("spec"), faults);
      declaration.spec =
          ReadSpec(kind.value(), spec_reader, declaration.name, faults);
      spec_reader.RefuseUnknownFields();
    }
  }
  if (faults->size() > faults_before) {
    return std::nullopt;
  }
  return declaration;
}

Json SpecToJson(const ResourceSpec& spec) {
  return std::visit(SpecEncoder(), spec);
}

Json ResourceToJson(const Resource& resource) {
  return {{"kind", ResourceKindName(resource.Kind())},
          {"name", resource.name},
          {"uid", resource.uid},
          {"generation", resource.generation},
          {"revision", resource.revision},
          {"spec", SpecToJson(resource.spec)}};
}

}  // namespace bramleyrail
