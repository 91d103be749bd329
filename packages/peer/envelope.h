#ifndef PACKAGES_PEER_ENVELOPE_H_
#define PACKAGES_PEER_ENVELOPE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "packages/base/base.h"
#include "packages/peer/peer_generated.h"
#include "packages/peer/peer_types.h"

namespace bramleyrail {

// Each returns a whole frame.
std::vector<std::byte> EncodeHello(std::string_view cluster_id,
                                   const PeerInfo& self);
std::vector<std::byte> EncodeHeartbeat();
std::vector<std::byte> EncodePayload(peer_wire::Flag flag,
                                     PeerChannel channel,
                                     uint64_t call_number,
                                     std::span<const std::byte> payload);
std::vector<std::byte> EncodeCallError(PeerChannel channel,
                                       uint64_t call_number,
                                       const Error& error);

// Verifies the body of a frame. kDataLoss when it is not a valid envelope. The
// envelope points into `body`.
Result<const peer_wire::Envelope*> ReadEnvelope(
    std::span<const std::byte> body);

std::span<const std::byte> PayloadOf(const peer_wire::Envelope& envelope);
// The error that an envelope with the flag kError carries.
Error ErrorOf(const peer_wire::Envelope& envelope);

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_ENVELOPE_H_
