#ifndef PACKAGES_STATE_RESOURCE_H_
#define PACKAGES_STATE_RESOURCE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

enum class ResourceKind : uint8_t {
  kService,
  kBatchJob,
  kTeam,
  kFailureDomain,
  kRack,
  kWorker,
  kTarget,
};

// Name used in URLs, declarations and logs: "service", "batch_job", "team",
// "failure_domain", "rack", "worker", "target".
std::string_view ResourceKindName(ResourceKind kind);
Result<ResourceKind> ParseResourceKind(std::string_view name);

inline constexpr int kResourceKindCount = 7;

// Upper bound of one amount. It keeps sums over all tasks and workers far below
// the maximum of int64_t, so that capacity checks cannot overflow.
inline constexpr int64_t kMaximumAmount = 1'000'000'000'000;

// Amounts of machine resources, requested by tasks or offered by workers.
struct ResourceAmounts {
  int64_t processor_millis = 0;  // Thousandths of a processor core.
  int64_t memory_mib = 0;
  int64_t accelerators = 0;

  bool operator==(const ResourceAmounts&) const = default;
  ResourceAmounts& operator+=(const ResourceAmounts& other);
  ResourceAmounts& operator-=(const ResourceAmounts& other);
  // True when each amount is at most the amount in `capacity`.
  bool FitsInto(const ResourceAmounts& capacity) const;
};

enum class Priority : uint8_t { kUrgent, kNormal, kLow };

// Whether a task stops when its worker's lease can no longer be renewed.
enum class PartitionBehaviour : uint8_t { kStop, kKeepRunning };

// "urgent", "normal", "low".
std::string_view PriorityName(Priority priority);
// "stop", "run_on".
std::string_view PartitionBehaviourName(PartitionBehaviour behaviour);

// Properties of the tasks of a service or batch job.
struct TaskTemplate {
  std::string team;
  // Groups tasks of similar behaviour. Default: the name of the resource.
  std::string task_kind;
  ResourceAmounts size;  // Requested by one task.
  std::string payload;   // Opaque; passed to the worker unchanged.
  std::vector<std::string> failure_domains;  // Allowed domains. Empty: all.

  bool operator==(const TaskTemplate&) const = default;
};

struct ServiceSpec {
  TaskTemplate task;
  int64_t replicas = 0;  // Tasks on workers. 0: targets run elsewhere.
  PartitionBehaviour when_partitioned = PartitionBehaviour::kKeepRunning;
  int64_t concurrent_requests = 1024;            // Limit at one instance.
  int64_t concurrent_requests_for_caller = 256;  // Limit at one instance.
  int64_t default_timeout_ms = 10'000;

  bool operator==(const ServiceSpec&) const = default;
};

struct BatchJobSpec {
  TaskTemplate task;
  int64_t tasks = 1;
  Priority priority = Priority::kNormal;
  int64_t maximum_attempts = 3;  // Charged failures of one task.
  bool checkpointable = false;
  PartitionBehaviour when_partitioned = PartitionBehaviour::kStop;
  bool cancelled = false;  // Set by CancelJob only.

  bool operator==(const BatchJobSpec&) const = default;
};

struct TeamSpec {
  ResourceAmounts quota;
  int64_t weight = 1;

  bool operator==(const TeamSpec&) const = default;
};

struct FailureDomainSpec {
  std::string region;
  bool drained = false;

  bool operator==(const FailureDomainSpec&) const = default;
};

struct RackSpec {
  std::string failure_domain;
  bool drained = false;

  bool operator==(const RackSpec&) const = default;
};

struct WorkerSpec {
  std::string failure_domain;
  std::string rack;
  ResourceAmounts capacity;
  bool drained = false;

  bool operator==(const WorkerSpec&) const = default;
};

struct TargetSpec {
  std::string service;
  std::string failure_domain;
  bool drained = false;

  bool operator==(const TargetSpec&) const = default;
};

// The alternatives are in the order of ResourceKind.
using ResourceSpec = std::variant<ServiceSpec,
                                  BatchJobSpec,
                                  TeamSpec,
                                  FailureDomainSpec,
                                  RackSpec,
                                  WorkerSpec,
                                  TargetSpec>;

struct Resource {
  std::string name;
  std::string uid;
  int64_t generation = 1;  // Incremented by each change of the spec.
  int64_t revision = 0;    // Revision of the state at the last change.
  ResourceSpec spec;

  bool operator==(const Resource&) const = default;

  ResourceKind Kind() const { return static_cast<ResourceKind>(spec.index()); }
};

// Returns the task template of a service or batch job, nullptr for other kinds.
const TaskTemplate* FindTaskTemplate(const ResourceSpec& spec);

// Declaration of a resource by an operator.
struct ResourceDeclaration {
  std::string name;
  ResourceSpec spec;
  std::string expected_uid;                  // Empty: any.
  std::optional<int64_t> expected_revision;  // 0: must not exist yet.

  ResourceKind Kind() const { return static_cast<ResourceKind>(spec.index()); }
};

// Reads a declaration from JSON of this form:
//   {"kind": "service", "name": "quotes", "spec": {...},
//    "expected_uid": "...", "expected_revision": 12}
// Adds all faults of the declaration to `faults`, with paths below `path`.
std::optional<ResourceDeclaration> ReadDeclaration(
    const Json& json,
    const std::string& path,
    std::vector<FieldFault>* faults);

Json SpecToJson(const ResourceSpec& spec);
// {"kind", "name", "uid", "generation", "revision", "spec"}; the operator API
// adds "status".
Json ResourceToJson(const Resource& resource);

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_RESOURCE_H_
