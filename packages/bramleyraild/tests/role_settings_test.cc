#include "packages/bramleyraild/role_settings.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr char kGateway[] = R"({
  // As rendered on a machine without a disk.
  "role": "gateway", "instance": "front-1", "address": "10.1.0.13",
  "failure_domain": "a", "region": "r", "regions": {"a": "r"},
  "control_address": "", "caller_address": "10.1.0.13:8161",
  "ready_address": "10.1.0.13:8167", "peer_port": 7720, "metrics_port": 9464,
  "control_instances": ["10.1.0.16:8166", "10.2.0.33:8166"],
  "data_folder": "", "first_start": true, "maximum_lease_ms": 6000,
  "stop_deadline_ms": 6000, "job_retention_ms": 120000,
  "maximum_memory_mb": 160
})";

std::string With(const std::string& from, const std::string& to) {
  std::string text = kGateway;
  return text.replace(text.find(from), from.size(), to);
}

TEST_GROUP(RoleSettings){};

TEST(RoleSettings, ReadsARenderedFile) {
  CHECK(RoleOf(kGateway) == InstanceRole::kGateway);
  const auto settings = ParseRoleSettings(kGateway, "f");
  CHECK(settings.has_value());
  STRCMP_EQUAL("10.2.0.33", settings.value().control_instances[1].c_str());
  LONGS_EQUAL(7720, settings.value().peer_port);
  LONGS_EQUAL(160, settings.value().maximum_memory_mb);
}

// Guards against a process that starts with settings it cannot use.
TEST(RoleSettings, NamesEveryFault) {
  const auto settings = ParseRoleSettings(
      With("\"peer_port\": 7720", "\"peer_port\": 0, \"surplus\": 1"), "f");
  CHECK(!settings);
  LONGS_EQUAL(2, settings.error().faults.size());
  CHECK(!ParseRoleSettings(With("\"10.1.0.13:8161\"", "\"\""), "f"));
  CHECK(!ParseRoleSettings(
      With("\"role\": \"gateway\"", "\"role\": \"control\""), "f"));
  CHECK(!ParseRoleSettings(With("_mb\": 160", "_mb\": 100"), "f"));
}

}  // namespace
}  // namespace bramleyrail
