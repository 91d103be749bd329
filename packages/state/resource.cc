#include "packages/state/resource.h"

#include <array>

namespace bramleyrail {

namespace {

constexpr std::array<std::string_view, kResourceKindCount> kKindNames = {
    "service", "batch_job", "team",  "failure_domain",
    "rack",    "worker",    "target"};

}  // namespace

std::string_view ResourceKindName(ResourceKind kind) {
  return kKindNames[static_cast<size_t>(kind)];
}

Result<ResourceKind> ParseResourceKind(std::string_view name) {
  for (size_t i = 0; i < kKindNames.size(); ++i) {
    if (kKindNames[i] == name) {
      return static_cast<ResourceKind>(i);
    }
  }
  return MakeError(ErrorKind::kInvalidArgument,
                   "'" + std::string(name) + "' is not a resource kind",
                   "use service, batch_job, team, failure_domain, rack, worker "
                   "or target");
}

std::string_view PriorityName(Priority priority) {
  constexpr std::array<std::string_view, 3> kNames = {"urgent", "normal",
                                                      "low"};
  return kNames[static_cast<size_t>(priority)];
}

std::string_view PartitionBehaviourName(PartitionBehaviour behaviour) {
  return behaviour == PartitionBehaviour::kStop ? "stop" : "run_on";
}

ResourceAmounts& ResourceAmounts::operator+=(const ResourceAmounts& other) {
  processor_millis += other.processor_millis;
  memory_mib += other.memory_mib;
  accelerators += other.accelerators;
  return *this;
}

ResourceAmounts& ResourceAmounts::operator-=(const ResourceAmounts& other) {
  processor_millis -= other.processor_millis;
  memory_mib -= other.memory_mib;
  accelerators -= other.accelerators;
  return *this;
}

bool ResourceAmounts::FitsInto(const ResourceAmounts& capacity) const {
  return processor_millis <= capacity.processor_millis &&
         memory_mib <= capacity.memory_mib &&
         accelerators <= capacity.accelerators;
}

const TaskTemplate* FindTaskTemplate(const ResourceSpec& spec) {
  if (const auto* service = std::get_if<ServiceSpec>(&spec)) {
    return &service->task;
  }
  if (const auto* job = std::get_if<BatchJobSpec>(&spec)) {
    return &job->task;
  }
  return nullptr;
}

}  // namespace bramleyrail
