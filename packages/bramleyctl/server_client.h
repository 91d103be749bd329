#ifndef PACKAGES_BRAMLEYCTL_SERVER_CLIENT_H_
#define PACKAGES_BRAMLEYCTL_SERVER_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

struct ServerAddress {
  std::string host;
  int port = 0;
};

// Reads "host:port,host:port"; kInvalidArgument otherwise.
Result<std::vector<ServerAddress>> ParseServers(std::string_view text);
std::string ToString(const ServerAddress& server);

// Percent-encodes one part of a path or a query.
std::string EncodeUrlPart(std::string_view text);

// Builds the error that an answer of the operator interface carries. The
// message of a conflict lists the resources as they are.
Error ErrorOfAnswer(int status, std::string_view body);

// Sends requests to the operator ports of several instances in turn until one
// of them answers or the time is up.
class ServerClient {
 public:
  enum class Method { kGet, kPost, kDelete };

  ServerClient(std::vector<ServerAddress> servers, Milliseconds time_limit);

  // The answer of the first server that can answer. kUnavailable when the
  // request was certainly not executed by any server, kOutcomeUnknown when a
  // change may have been made. A change must carry a change id, since it is
  // sent again with the same body after a lost answer.
  Result<Json> Send(Method method,
                    const std::string& path,
                    const std::string& body);
  Result<Json> Get(const std::string& path);

 private:
  struct Attempt {
    std::optional<Result<Json>> answer;  // Absent: try another server.
    std::string problem;
    bool may_have_run = false;
  };

  Attempt TryServer(const ServerAddress& server,
                    Method method,
                    const std::string& path,
                    const std::string& body,
                    Milliseconds limit) const;

  std::vector<ServerAddress> servers_;
  Milliseconds time_limit_;
  size_t current_ = 0;  // The server that answered last.
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYCTL_SERVER_CLIENT_H_
