#ifndef PACKAGES_STATE_CLAIM_H_
#define PACKAGES_STATE_CLAIM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "packages/base/base.h"

namespace bramleyrail {

enum class ClaimState : uint8_t {
  kRunning,         // Claimed; the outcome is not known yet.
  kCompleted,       // The target responded.
  kNotRun,          // Claimed, but not sent, and will never be sent.
  kOutcomeUnknown,  // Sent, and the response was lost.
};

std::string_view ClaimStateName(ClaimState state);

// Durable record that permits one instance to execute a non-idempotent request
// at most once.
struct Claim {
  std::string request_id;
  std::string service;
  std::string caller;
  std::string instance;  // The entry instance; only it may send the request.
  std::string instance_boot_id;
  ClaimState state = ClaimState::kRunning;
  int64_t response_status = 0;  // HTTP status of the target's response.
  std::string response_content_type;
  std::string response_body;     // Empty unless response_stored.
  bool response_stored = false;  // False: larger than the limit below, or none.
  int64_t claimed_unix_ms = 0;
  int64_t resolved_unix_ms = 0;

  bool operator==(const Claim&) const = default;
};

inline constexpr size_t kMaximumStoredResponseBytes = size_t{16} * 1024;

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_CLAIM_H_
