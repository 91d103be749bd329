#ifndef PACKAGES_CONTROL_RELAYED_MESSAGE_H_
#define PACKAGES_CONTROL_RELAYED_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "packages/http/http.h"

namespace bramleyrail {

// An HTTP exchange on its way to the leader, on the channel `control`.
struct RelayedRequest {
  bool from_caller = false;  // Otherwise from an operator or a worker.
  std::string method;
  std::string target;
  std::string host;
  std::string body;
};

struct RelayedResponse {
  // The instance does not lead; `leader` names the one that does, or is empty.
  bool not_leader = false;
  std::string leader;
  int64_t status = 0;
  int64_t retry_after_s = 0;  // 0: no such header.
  std::string body;
};

std::vector<std::byte> EncodeRelayed(const RelayedRequest& request);
std::vector<std::byte> EncodeRelayed(const RelayedResponse& response);
Result<RelayedRequest> DecodeRelayedRequest(std::span<const std::byte> data);
Result<RelayedResponse> DecodeRelayedResponse(std::span<const std::byte> data);

enum class RelayedFrom { kCaller, kOperatorOrWorker };
RelayedRequest ToRelayed(HttpRequest request, RelayedFrom from);
HttpRequest FromRelayed(RelayedRequest request);
RelayedResponse ToRelayed(HttpResponse response);
HttpResponse FromRelayed(RelayedResponse response);

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_RELAYED_MESSAGE_H_
