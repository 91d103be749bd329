#include "packages/state/command.h"

#include <array>

namespace bramleyrail {

namespace {

// In the order of the alternatives of CommandBody.
constexpr std::array<std::string_view, std::variant_size_v<CommandBody>>
    kCommandNames = {
        "apply_resources", "delete_resource",     "set_drained",
        "cancel_job",      "register_worker",     "suspend_worker",
        "resume_worker",   "expire_worker",       "set_worker_probation",
        "reconcile_tasks", "start_attempts",      "set_desired_attempts",
        "report_attempts", "set_pending_reason",  "claim_request",
        "resolve_claim",   "resolve_lost_claims", "forget_before",
};

}  // namespace

std::string_view CommandName(const CommandBody& body) {
  return kCommandNames[body.index()];
}

}  // namespace bramleyrail
