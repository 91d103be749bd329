#ifndef PACKAGES_WORKER_POLL_REQUEST_H_
#define PACKAGES_WORKER_POLL_REQUEST_H_

#include <string>
#include <string_view>

#include "packages/placement/placement.h"

namespace bramleyrail {

// Longest time that a poll is held back; a worker must report several times
// within the 5 s of silence after which it is suspended.
inline constexpr Milliseconds kMaximumPollWait{2000};

// The body of POST /v1/workers/{name}/poll; see docs/interfaces/workers.md.
struct PollRequest {
  WorkerReport report;
  std::string known_version;  // Of the last answer; empty: answer at once.
  Milliseconds wait{0};
};

// kInvalidArgument with every fault by field path.
Result<PollRequest> ParsePollRequest(std::string_view worker,
                                     std::string_view body);

}  // namespace bramleyrail

#endif  // PACKAGES_WORKER_POLL_REQUEST_H_
