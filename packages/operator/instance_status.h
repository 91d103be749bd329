#ifndef PACKAGES_OPERATOR_INSTANCE_STATUS_H_
#define PACKAGES_OPERATOR_INSTANCE_STATUS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

// What one instance says about itself, and whether it can be reached.
struct InstanceStatus {
  std::string name;
  std::string failure_domain;
  std::string region;
  // leader, follower, candidate, learner, observer or unknown.
  std::string role = "unknown";
  std::string leader;  // Empty: not known.
  int64_t term = 0;
  int64_t applied_index = 0;
  int64_t configuration_revision = 0;
  std::optional<int64_t> state_age_ms;  // Never fresh: absent.
  std::string fault;                    // Empty: none.
  // Told by the asking instance, not sent between instances.
  bool reachable = true;
  std::optional<int64_t> last_contact_ms_ago;

  bool operator==(const InstanceStatus&) const = default;
};

Json InstanceStatusToJson(const InstanceStatus& status);

// FlatBuffers, for the status channel (status.fbs). kDataLoss when damaged.
std::vector<std::byte> EncodeInstanceStatus(const InstanceStatus& status);
Result<InstanceStatus> DecodeInstanceStatus(std::span<const std::byte> data);

}  // namespace bramleyrail

#endif  // PACKAGES_OPERATOR_INSTANCE_STATUS_H_
