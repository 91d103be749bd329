#ifndef PACKAGES_CONTROL_CALL_AUTHORIZER_H_
#define PACKAGES_CONTROL_CALL_AUTHORIZER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "packages/control/account_directory.h"
#include "packages/queue/queue.h"

namespace bramleyrail {

// What a call presents to identify the account of its client.
struct CallerCredentials {
  enum class Kind { kNone, kKey, kUnreadable };

  Kind kind = Kind::kNone;
  std::string key;
};

enum class CallRefusal {
  kNoKey,
  kUnreadableCredentials,
  kUnknownKey,
  kOtherAccount,  // The job belongs to another account.
};
inline constexpr std::array kAllCallRefusals = {
    CallRefusal::kNoKey, CallRefusal::kUnreadableCredentials,
    CallRefusal::kUnknownKey, CallRefusal::kOtherAccount};
std::string_view CallRefusalName(CallRefusal refusal);

struct CallAuthorization {
  std::optional<CallRefusal> refusal;
  std::string account;  // Of the caller; empty: none.
};

// Decides whether a call of a client may be executed, and for which account.
class CallAuthorizer {
 public:
  // The job that the call names, if it is known; else nullptr.
  CallAuthorization Decide(const QueueConfiguration& configuration,
                           const JobQueue& queue,
                           const QueuedJob* job,
                           const CallerCredentials& credentials);

  // Counts and logs a refusal that the caller receives.
  void Report(CallRefusal refusal,
              std::string_view queue,
              std::string_view account,
              MonotonicTime now);
  uint64_t refusals(CallRefusal refusal) const {
    return refusals_[static_cast<size_t>(refusal)];
  }

 private:
  AccountDirectory directory_;
  std::array<uint64_t, kAllCallRefusals.size()> refusals_{};
  LogRateLimit log_limit_{20};
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_CALL_AUTHORIZER_H_
