#include <string>
#include <vector>

#include "packages/state/state.h"

// Last, since its memory macros break the headers of the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(ResourceJson){};

std::vector<std::string> FaultPaths(std::string_view text) {
  std::vector<FieldFault> faults;
  const Json json = ParseJson(text, JsonComments::kRefuse).value();
  const auto declaration = ReadDeclaration(json, "declarations[0]", &faults);
  CHECK(!declaration.has_value());
  std::vector<std::string> paths;
  for (const FieldFault& fault : faults) {
    paths.push_back(fault.path.substr(std::string("declarations[0].").size()));
  }
  return paths;
}

// Fails if only the first of several faults is reported, so that an operator
// needs one attempt for each fault.
TEST(ResourceJson, EveryFaultIsReportedByItsPath) {
  const auto paths = FaultPaths(R"({
    "kind": "batch_job", "name": "Plans", "colour": 1, "spec": {
      "size": {"processor_millis": 0, "memory_gib": 1}, "tasks": 0,
      "priority": "asap", "maximum_attempts": "3",
      "failure_domains": ["South"]}})");
  const std::vector<std::string> expected = {"name",
                                             "colour",
                                             "spec.team",
                                             "spec.size.processor_millis",
                                             "spec.size.memory_mib",
                                             "spec.size.memory_gib",
                                             "spec.failure_domains[0]",
                                             "spec.tasks",
                                             "spec.priority",
                                             "spec.maximum_attempts"};
  CHECK(paths == expected);
}

TEST(ResourceJson, KindsAndRequiredFieldsAreChecked) {
  CHECK(FaultPaths(R"({"kind": "jobs", "name": "a", "spec": {}})") ==
        std::vector<std::string>{"kind"});
  CHECK(FaultPaths(R"({"kind": "team", "name": ""})") ==
        (std::vector<std::string>{"name", "spec"}));
  CHECK(FaultPaths(R"({"kind": "service", "name": "a", "spec":
                       {"replicas": 1}})") ==
        (std::vector<std::string>{"spec.team", "spec.size"}));
  CHECK(FaultPaths(R"({"kind": "worker", "name": "a", "spec":
                       {"failure_domain": "", "capacity": 7}})") ==
        (std::vector<std::string>{"spec.failure_domain", "spec.capacity"}));
}

// Fails if a field is lost when a listed resource is declared again.
TEST(ResourceJson, SpecsSurviveARoundTrip) {
  const TaskTemplate task{"team", "kind", {1, 2, 3}, "payload", {"south"}};
  const std::vector<ResourceSpec> specs = {
      ServiceSpec{task, 3, PartitionBehaviour::kStop, 7, 6, 5},
      ServiceSpec{{"", "name", {}, "", {}}},
      BatchJobSpec{task, 9, Priority::kUrgent, 8, true,
                   PartitionBehaviour::kKeepRunning, false},
      TeamSpec{{1, 2, 0}, 5},
      FailureDomainSpec{"region", true},
      RackSpec{"south", true},
      WorkerSpec{"south", "rack", {1, 2, 3}, true},
      TargetSpec{"service", "south", true}};
  for (const ResourceSpec& spec : specs) {
    const Json json = ResourceToJson({"name", "uid", 1, 2, spec});
    const Json declared = {
        {"kind", json["kind"]}, {"name", json["name"]}, {"spec", json["spec"]}};
    std::vector<FieldFault> faults;
    const auto declaration = ReadDeclaration(declared, "", &faults);
    CHECK(faults.empty());
    CHECK(declaration.has_value() && declaration->spec == spec);
  }
}

}  // namespace
}  // namespace bramleyrail
