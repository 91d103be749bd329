#ifndef PACKAGES_CALLER_PEER_HOOKS_H_
#define PACKAGES_CALLER_PEER_HOOKS_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

using PeerResponseCallback =
    std::function<void(Result<std::vector<std::byte>>)>;

// Functions through which RequestService reaches other instances on the
// routing channel.
struct PeerHooks {
  std::vector<std::string> names;  // Of all other instances.

  // Sends a message without a response. Returns false when the peer is not
  // connected.
  std::function<bool(std::string_view peer, std::span<const std::byte>)> send =
      [](std::string_view, std::span<const std::byte>) { return false; };

  // Sends a request and passes the response to the callback. The error
  // kUnavailable guarantees that the call was not sent or not executed.
  std::function<void(std::string_view peer,
                     std::span<const std::byte>,
                     Milliseconds timeout,
                     PeerResponseCallback)>
      call = [](std::string_view,
                std::span<const std::byte>,
                Milliseconds,
                const PeerResponseCallback& callback) {
        callback(MakeError(ErrorKind::kUnavailable,
                           "no other instances are configured",
                           "list them under peers in the settings"));
      };

  // Time at which the last data was received from the peer; nullopt if none
  // was received yet.
  std::function<std::optional<MonotonicTime>(std::string_view peer)>
      last_contact = [](std::string_view) { return std::nullopt; };
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_PEER_HOOKS_H_
