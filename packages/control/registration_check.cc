#include "packages/control/registration_check.h"

namespace bramleyrail {

RegistrationCheck CheckRegistration(
    const QueueState& state,
    const WorkerRegistration& registration,
    const std::set<std::string>& failure_domains) {
  const auto found = state.workers().find(registration.id);
  if (found != state.workers().end()) {
    const WorkerRegistration& current = found->second;
    if (DescribeAlike(current, registration)) {
      return RegistrationCheck::kRecorded;
    }
    // A worker may still announce its end after its pool was removed.
    if (current.started_unix_ms == registration.started_unix_ms &&
        current.pool == registration.pool &&
        current.failure_domain == registration.failure_domain) {
      return RegistrationCheck::kNew;
    }
  }
  const QueueConfiguration& configuration = state.configuration();
  // Workers register before the first configuration is stored.
  const bool has_pool = configuration.version == 0 ||
                        configuration.FindPool(registration.pool) != nullptr;
  const bool has_failure_domain =
      failure_domains.empty() ||
      failure_domains.contains(registration.failure_domain);
  return has_pool && has_failure_domain ? RegistrationCheck::kNew
                                        : RegistrationCheck::kUnusable;
}

}  // namespace bramleyrail
