#ifndef PACKAGES_STATE_CLAIM_H_
#define PACKAGES_STATE_CLAIM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "packages/base/base.h"

namespace bramleyrail {

enum class ClaimState : uint8_t {
  kRunning,         // Claimed; the outcome is not known yet.
  kCompleted,       // The target answered.
  kNotRun,          // Claimed, then certainly not sent; never run later either.
  kOutcomeUnknown,  // Sent, and the answer was lost.
};

std::string_view ClaimStateName(ClaimState state);

// The durable record that a non-idempotent request may run, exactly once.
struct Claim {
  std::string request_id;
  std::string service;
  std::string caller;
  std::string instance;  // The entry instance that may run it.
  std::string instance_boot_id;
  ClaimState state = ClaimState::kRunning;
  int64_t answer_status = 0;  // HTTP status of the target's answer.
  std::string answer_content_type;
  std::string answer_body;  // Kept up to kMaximumKeptAnswerBytes.
  bool answer_kept = false;
  int64_t claimed_unix_ms = 0;
  int64_t resolved_unix_ms = 0;

  bool operator==(const Claim&) const = default;
};

inline constexpr size_t kMaximumKeptAnswerBytes = size_t{16} * 1024;

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_CLAIM_H_
