#include "packages/control/call_authorizer.h"

#include "packages/control/control_events.h"

namespace bramleyrail {

std::string_view CallRefusalName(CallRefusal refusal) {
  switch (refusal) {
    case CallRefusal::kNoKey:
      return "no_key";
    case CallRefusal::kUnreadableCredentials:
      return "unreadable_credentials";
    case CallRefusal::kUnknownKey:
      return "unknown_key";
    case CallRefusal::kOtherAccount:
      return "other_account";
  }
  BRAMLEYRAIL_ASSERT(false, "unknown refusal");
}

CallAuthorization CallAuthorizer::Decide(
    const QueueConfiguration& configuration,
    const JobQueue& queue,
    const QueuedJob* job,
    const CallerCredentials& credentials) {
  if (configuration.accounts.empty()) {
    return {};
  }
  // A job is found by its id alone. A public queue in the path of the call must
  // not open the jobs of the others.
  const JobQueue* queue_of_job =
      job == nullptr ? &queue : configuration.FindQueueByName(job->queue);
  const bool is_public =
      queue.is_public && queue_of_job != nullptr && queue_of_job->is_public;
  using Kind = CallerCredentials::Kind;
  if (credentials.kind == Kind::kNone) {
    return is_public ? CallAuthorization()
                     : CallAuthorization{CallRefusal::kNoKey, ""};
  }
  // Refused on public queues, too: a client whose key was revoked or mistyped
  // would otherwise submit jobs that its account does not own, and not notice.
  if (credentials.kind == Kind::kUnreadable) {
    return {CallRefusal::kUnreadableCredentials, ""};
  }
  directory_.Follow(configuration);
  const std::string* account = directory_.Find(credentials.key);
  if (account == nullptr) {
    return {CallRefusal::kUnknownKey, ""};
  }
  const bool is_of_other =
      job != nullptr && !job->account.empty() && job->account != *account;
  if (is_of_other && !is_public) {
    return {CallRefusal::kOtherAccount, *account};
  }
  return {std::nullopt, *account};
}

void CallAuthorizer::Report(CallRefusal refusal,
                            std::string_view queue,
                            std::string_view account,
                            MonotonicTime now) {
  ++refusals_[static_cast<size_t>(refusal)];
  if (!log_limit_.Allow(now)) {
    return;
  }
  LogEvent(kCallRefused, {{"reason", CallRefusalName(refusal)},
                          {"queue", queue},
                          {"account", account},
                          {"suppressed", log_limit_.TakeSuppressed()}});
}

}  // namespace bramleyrail
