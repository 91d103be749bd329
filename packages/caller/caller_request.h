#ifndef PACKAGES_CALLER_CALLER_REQUEST_H_
#define PACKAGES_CALLER_CALLER_REQUEST_H_

#include <optional>
#include <string>

#include "packages/base/base.h"
#include "packages/target/target.h"

namespace bramleyrail {

inline constexpr Milliseconds kDefaultTimeout{10'000};
inline constexpr Milliseconds kMaximumTimeout{600'000};

struct CallerRequest {
  std::string request_id;
  // The id was made for this request, so no earlier one can have had it.
  bool id_is_new = false;
  std::string service;
  std::string caller;
  bool idempotent = false;
  std::optional<Milliseconds> timeout;  // Default: that of the service.
  std::string content_type;
  std::string body;
};

// Either the target's answer or an error.
struct CallerAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  std::string target;
  bool replayed = false;  // The stored answer of an earlier request.
  std::optional<Error> error;
  RunClaim run_claim = RunClaim::kMayHaveRun;  // Of an error.
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_CALLER_REQUEST_H_
