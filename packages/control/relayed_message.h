#ifndef PACKAGES_CONTROL_RELAYED_MESSAGE_H_
#define PACKAGES_CONTROL_RELAYED_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "packages/control/order_revision.h"
#include "packages/http/http.h"

namespace bramleyrail {

// The HTTP request and response that are exchanged with the leader on the
// channel `control`.
struct RelayedRequest {
  bool from_caller = false;  // False: from an operator or a worker.
  std::string method;
  std::string target;
  std::string host;
  std::string body;
  OrderRevision order_revision;
  // Asks for the members of the core; the other fields are empty then. An older
  // instance ignores the field and answers 404.
  bool asks_members = false;
  // Values of the Authorization headers of a caller's request. An older leader
  // ignores them, and an older gateway sends none.
  std::vector<std::string> credentials;
};

struct RelayedResponse {
  // True when the instance does not lead. `leader` then names the leader, or is
  // empty when it is unknown.
  bool not_leader = false;
  std::string leader;
  int64_t status = 0;
  int64_t retry_after_s = 0;  // 0: no Retry-After header.
  std::string body;
  // Names of all replicas, voters and learners, in the answer of the leader to
  // `asks_members`; else empty.
  std::vector<std::string> members;
  // Value of the header WWW-Authenticate of status 401; else empty.
  std::string challenge;
};

std::vector<std::byte> EncodeRelayed(const RelayedRequest& request);
std::vector<std::byte> EncodeRelayed(const RelayedResponse& response);
Result<RelayedRequest> DecodeRelayedRequest(std::span<const std::byte> data);
Result<RelayedResponse> DecodeRelayedResponse(std::span<const std::byte> data);

enum class RelayOrigin { kCaller, kOperatorOrWorker };
RelayedRequest ToRelayed(HttpRequest request, RelayOrigin from);
HttpRequest FromRelayed(RelayedRequest request);
RelayedResponse ToRelayed(HttpResponse response);
HttpResponse FromRelayed(RelayedResponse response);

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_RELAYED_MESSAGE_H_
