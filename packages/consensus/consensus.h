#ifndef PACKAGES_CONSENSUS_CONSENSUS_H_
#define PACKAGES_CONSENSUS_CONSENSUS_H_

// Public header of the consensus package: the protocol of the replicated log.
// It performs no I/O, reads no clock and starts no threads.

#include "packages/consensus/byte_codec.h"
#include "packages/consensus/configuration.h"
#include "packages/consensus/consensus_message.h"
#include "packages/consensus/formation.h"
#include "packages/consensus/log_entry.h"
#include "packages/consensus/replica_core.h"
#include "packages/consensus/replica_id.h"

#endif  // PACKAGES_CONSENSUS_CONSENSUS_H_
