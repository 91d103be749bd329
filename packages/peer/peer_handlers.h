#ifndef PACKAGES_PEER_PEER_HANDLERS_H_
#define PACKAGES_PEER_PEER_HANDLERS_H_

#include <array>

#include "packages/peer/peer_types.h"

namespace bramleyrail {

// The handlers of an instance, indexed by channel; empty ones are not set.
struct PeerHandlers {
  std::array<PeerMessageHandler, kPeerChannelCount> message;
  std::array<PeerCallHandler, kPeerChannelCount> call;
  PeerConnectionHandler connection;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_PEER_HANDLERS_H_
