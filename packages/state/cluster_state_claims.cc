// Claims of requests that may run at most once.

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
  const auto boots = instance_boots_.find(command.claim.instance);
  if (boots != instance_boots_.end() &&
      boots->second.retired == command.claim.instance_boot_id) {
    // The process that made this claim has ended, so nobody would resolve it.
    return Refuse(MakeError(ErrorKind::kFailedPrecondition,
                            "the claim comes from an earlier start of "
                            "instance '" +
                                command.claim.instance + "'",
                            "send the request again"));
  }
  Claim claim = command.claim;
  claim.state = ClaimState::kRunning;
  claim.claimed_unix_ms = now_unix_ms_;
  claim.resolved_unix_ms = 0;
  claim.answer_status = 0;
  claim.answer_content_type.clear();
  claim.answer_body.clear();
  claim.answer_kept = false;
  IndexClaim(claim);
  outcome.claim = claim;
  outcome.claim_won = true;
  outcome.accepted = 1;
  claims_.emplace(claim.request_id, std::move(claim));
  return outcome;
}

CommandOutcome ClusterState::Run(const ResolveClaim& command) {
  const auto found = claims_.find(command.claim.request_id);
  if (found == claims_.end()) {
    return Refuse(MakeError(ErrorKind::kNotFound,
                            "no such claim, or it was forgotten",
                            "claim the request before it is sent"));
  }
  Claim& claim = found->second;
  CommandOutcome outcome;
  outcome.revision = revision_;
  const bool same_claimer =
      claim.instance == command.claim.instance &&
      claim.instance_boot_id == command.claim.instance_boot_id;
  // An answer that came after all replaces "outcome unknown".
  const bool open = claim.state == ClaimState::kRunning ||
                    (claim.state == ClaimState::kOutcomeUnknown &&
                     command.claim.state == ClaimState::kCompleted);
  if (!same_claimer || !open || command.claim.state == ClaimState::kRunning) {
    outcome = Refuse(MakeError(ErrorKind::kConflict,
                               same_claimer ? "the claim is resolved already"
                                            : "the claim belongs to another "
                                              "instance or start",
                               "use the claim in the answer"));
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
  claim.answer_status = resolution.answer_status;
  claim.answer_content_type = resolution.answer_content_type;
  claim.answer_kept = resolution.answer_kept &&
                      resolution.answer_body.size() <= kMaximumKeptAnswerBytes;
  claim.answer_body = claim.answer_kept ? resolution.answer_body : "";
  claim.resolved_unix_ms = now_unix_ms_;
  IndexClaim(claim);
}

CommandOutcome ClusterState::Run(const ResolveLostClaims& command) {
  CommandOutcome outcome;
  outcome.revision = revision_;
  InstanceBoots& boots = instance_boots_[command.instance];
  if (boots.retired == command.current_boot_id) {
    return Refuse(
        MakeError(ErrorKind::kConflict,
                  "instance '" + command.instance + "' has started again since",
                  "nothing is to be done"));
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
