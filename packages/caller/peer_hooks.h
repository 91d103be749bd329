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

using PeerAnswerCallback = std::function<void(Result<std::vector<std::byte>>)>;

// How the request plane reaches other instances on the routing channel.
struct PeerHooks {
  std::vector<std::string> peers;  // Names of all other instances.

  // One-way; false when the peer is not connected.
  std::function<bool(std::string_view peer, std::span<const std::byte>)> send =
      [](std::string_view, std::span<const std::byte>) { return false; };

  // kUnavailable only if the call was certainly not sent or not run.
  std::function<void(std::string_view peer,
                     std::span<const std::byte>,
                     Milliseconds timeout,
                     PeerAnswerCallback)>
      call = [](std::string_view,
                std::span<const std::byte>,
                Milliseconds,
                const PeerAnswerCallback& callback) {
        callback(MakeError(ErrorKind::kUnavailable, "there are no peers",
                           "configure peers"));
      };

  // When something was last received from the peer.
  std::function<std::optional<MonotonicTime>(std::string_view peer)>
      last_contact = [](std::string_view) { return std::nullopt; };
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_PEER_HOOKS_H_
