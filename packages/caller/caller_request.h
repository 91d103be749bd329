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
  // This instance generated the id, so no earlier request can have used it.
  bool id_is_new = false;
  std::string service;
  std::string caller;
  bool idempotent = false;
  std::optional<Milliseconds> timeout;  // nullopt: the service's default.
  std::string content_type;
  std::string body;
};

// The response to a caller: either that of the target or an error.
struct CallerResponse {
  int status = 0;
  std::string content_type;
  std::string body;
  std::string target;
  // True for the stored response of an earlier request with the same id.
  bool replayed = false;
  std::optional<Error> error;
  // Only meaningful together with `error`.
  RequestExecution execution = RequestExecution::kMayHaveRun;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_CALLER_REQUEST_H_
