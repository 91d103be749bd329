#ifndef PACKAGES_PEER_PEER_H_
#define PACKAGES_PEER_PEER_H_

// Public header of the peer package: messages and calls between entry
// instances.

#include "packages/peer/peer_limits.h"
#include "packages/peer/peer_network.h"
#include "packages/peer/peer_types.h"

#endif  // PACKAGES_PEER_PEER_H_
