#ifndef PACKAGES_PEER_HELLO_H_
#define PACKAGES_PEER_HELLO_H_

#include <string_view>

#include "packages/base/base.h"
#include "packages/peer/envelope.h"
#include "packages/peer/peer_record.h"

namespace bramleyrail {

// Checks the first envelope of a connection: kFailedPrecondition when it is no
// hello or names another cluster.
Result<void> CheckHello(const peer_wire::Envelope& envelope,
                        std::string_view cluster_id);

// Keeps what the hello says about the peer.
void RecordHello(const peer_wire::Hello& hello, PeerRecord* peer);

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_HELLO_H_
