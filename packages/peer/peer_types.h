#ifndef PACKAGES_PEER_PEER_TYPES_H_
#define PACKAGES_PEER_PEER_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

// Numbers on the wire; never reused.
enum class PeerChannel : uint8_t {
  kReplication = 0,
  kRouting = 1,
  kPlatform = 2,
  kStatus = 3,
  kControl = 4,
};

inline constexpr size_t kPeerChannelCount = 5;

std::string_view PeerChannelName(PeerChannel channel);

struct PeerInfo {
  std::string name;
  std::string failure_domain;
  std::string region;
};

// A numeric IPv4 or IPv6 address and a TCP port.
struct SocketAddress {
  std::string ip;
  uint16_t port = 0;
};

struct PeerAddress {
  std::string name;
  SocketAddress address;
};

struct PeerStatus {
  // Failure domain and region are empty until the peer has said hello.
  PeerInfo info;
  bool connected = false;  // The own connection to the peer is usable.
  // When something was last received, on either connection.
  std::optional<MonotonicTime> last_contact;
  uint64_t bytes_sent = 0;      // Over both connections, frames included.
  uint64_t bytes_received = 0;  // Over both connections, frames included.
  uint64_t dropped_messages = 0;
  uint64_t late_answers = 0;
  uint64_t connections_lost = 0;  // In both directions.
};

// Answers a call, at most once, from any thread. An error travels with its
// kind, message and remedy. An answer function that is destroyed without being
// called answers kOutcomeUnknown.
using PeerAnswer = std::function<void(Result<std::vector<std::byte>>)>;

// The payload is valid during the handler only.
using PeerMessageHandler =
    std::function<void(std::string_view peer,
                       std::span<const std::byte> payload)>;
using PeerCallHandler = std::function<void(std::string_view peer,
                                           std::span<const std::byte> payload,
                                           PeerAnswer answer)>;
using PeerConnectionHandler =
    std::function<void(std::string_view peer, bool connected)>;
using PeerCallCallback = std::function<void(Result<std::vector<std::byte>>)>;

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_PEER_TYPES_H_
