// Claims of requests that may be executed at most once.

#include "packages/state/cluster_state.h"

namespace bramleyrail {

const Claim* ClusterState::FindClaim(std::string_view request_id) const {
  const auto found =
      claims_.find(absl::string_view(request_id.data(), request_id.size()));
  return found == claims_.end() ? nullptr : &found->second;
}

std::vector<std::string> ClusterState::RunningClaimsOf(
    std::string_view instance) const {
  const auto found = running_claims_.find(instance);
  if (found == running_claims_.end()) {
    return {};
  }
  return {found->second.begin(), found->second.end()};
}

void ClusterState::IndexClaim(const Claim& claim) {
  if (claim.state == ClaimState::kRunning) {
    running_claims_[claim.instance].insert(claim.request_id);
  } else {
    resolved_claims_.emplace(claim.resolved_unix_ms, claim.request_id);
  }
}

CommandOutcome ClusterState::Run(const ClaimRequest& command) {
  CommandOutcome outcome;
  outcome.revision = revision_;
  const auto existing = claims_.find(command.claim.request_id);
  if (existing != claims_.end()) {
    outcome.claim = existing->second;
    return outcome;
  }
  const Result<void> valid = ValidateRequestId(command.claim.request_id);
  if (!valid) {
    return Refuse(valid.error());
  }
  const auto boots = instance_boot_ids_.find(command.claim.instance);
  if (boots != instance_boot_ids_.end() &&
      boots->second.retired == command.claim.instance_boot_id) {
    // The process that sent this claim has ended and would never resolve it.
    return Refuse(MakeError(ErrorKind::kFailedPrecondition,
                            "the claim comes from an earlier boot of "
                            "instance '" +
                                command.claim.instance + "'",
                            "send the request again"));
  }
  Claim claim = command.claim;
  claim.state = ClaimState::kRunning;
  claim.claimed_unix_ms = now_unix_ms_;
  claim.resolved_unix_ms = 0;
  claim.response_status = 0;
  claim.response_content_type.clear();
  claim.response_body.clear();
  claim.response_stored = false;
  IndexClaim(claim);
  outcome.claim = claim;
  outcome.claim_created = true;
  outcome.accepted = 1;
  claims_.emplace(claim.request_id, std::move(claim));
  return outcome;
}

CommandOutcome ClusterState::Run(const ResolveClaim& command) {
  const auto found = claims_.find(command.claim.request_id);
  if (found == claims_.end()) {
    return Refuse(MakeError(ErrorKind::kNotFound,
                            "the claim does not exist, or was purged",
                            "claim the request before it is sent"));
  }
  Claim& claim = found->second;
  CommandOutcome outcome;
  outcome.revision = revision_;
  const bool same_owner =
      claim.instance == command.claim.instance &&
      claim.instance_boot_id == command.claim.instance_boot_id;
  // A late response replaces "outcome unknown".
  const bool open = claim.state == ClaimState::kRunning ||
                    (claim.state == ClaimState::kOutcomeUnknown &&
                     command.claim.state == ClaimState::kCompleted);
  if (!same_owner || !open || command.claim.state == ClaimState::kRunning) {
    outcome = Refuse(MakeError(ErrorKind::kConflict,
                               same_owner ? "the claim is already resolved"
                                          : "the claim belongs to another "
                                            "instance or boot",
                               "use the claim in the response"));
    outcome.claim = claim;
    return outcome;
  }
  StoreResolution(claim, command.claim);
  outcome.claim = claim;
  outcome.accepted = 1;
  return outcome;
}

void ClusterState::StoreResolution(Claim& claim, const Claim& resolution) {
  const auto running = running_claims_.find(claim.instance);
  if (running != running_claims_.end()) {
    running->second.erase(claim.request_id);
    if (running->second.empty()) {
      running_claims_.erase(running);
    }
  }
  resolved_claims_.erase({claim.resolved_unix_ms, claim.request_id});
  claim.state = resolution.state;
  claim.response_status = resolution.response_status;
  claim.response_content_type = resolution.response_content_type;
  claim.response_stored =
      resolution.response_stored &&
      resolution.response_body.size() <= kMaximumStoredResponseBytes;
  claim.response_body = claim.response_stored ? resolution.response_body : "";
  claim.resolved_unix_ms = now_unix_ms_;
  IndexClaim(claim);
}

CommandOutcome ClusterState::Run(const ResolveLostClaims& command) {
  CommandOutcome outcome;
  outcome.revision = revision_;
  InstanceBootIds& boots = instance_boot_ids_[command.instance];
  if (boots.retired == command.current_boot_id) {
    return Refuse(MakeError(
        ErrorKind::kConflict,
        "instance '" + command.instance + "' has restarted since this boot",
        "no action is needed"));
  }
  if (boots.current != command.current_boot_id) {
    boots.retired = boots.current;
    boots.current = command.current_boot_id;
  }
  for (const std::string& request_id : RunningClaimsOf(command.instance)) {
    Claim& claim = claims_.find(request_id)->second;
    if (claim.instance_boot_id == command.current_boot_id) {
      continue;
    }
    Claim resolution;
    resolution.state = ClaimState::kOutcomeUnknown;
    StoreResolution(claim, resolution);
    ++outcome.accepted;
  }
  return outcome;
}

}  // namespace bramleyrail
