#include "packages/peer/peer_types.h"

namespace bramleyrail {

std::string_view PeerChannelName(PeerChannel channel) {
  switch (channel) {
    case PeerChannel::kReplication:
      return "replication";
    case PeerChannel::kRouting:
      return "routing";
    case PeerChannel::kPlatform:
      return "platform";
    case PeerChannel::kStatus:
      return "status";
    case PeerChannel::kControl:
      return "control";
  }
  BRAMLEYRAIL_ASSERT(false, "unknown peer channel");
}

}  // namespace bramleyrail
