#ifndef PACKAGES_REPLICATION_WIRE_MESSAGE_H_
#define PACKAGES_REPLICATION_WIRE_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>

#include "packages/consensus/consensus.h"

namespace bramleyrail {

// A command that an instance forwards to the leader.
struct ForwardedProposal {
  uint64_t call = 0;  // Identifies the proposal at the sender.
  Bytes command;
};

// The leader's result for a ForwardedProposal.
struct ForwardedResult {
  uint64_t call = 0;
  std::optional<Error> error;
  Bytes response;  // Empty when failed.
};

// Any message of the replication channel.
using WireMessage = std::variant<ConsensusMessage,
                                 ForwardedProposal,
                                 ForwardedResult,
                                 FormationQuery,
                                 FormationResponse>;

// Encodes as FlatBuffers, defined in replication.fbs.
Bytes EncodeWireMessage(const WireMessage& message);
// Fails with kDataLoss when `data` is not a valid message.
Result<WireMessage> DecodeWireMessage(std::span<const std::byte> data);

}  // namespace bramleyrail

#endif  // PACKAGES_REPLICATION_WIRE_MESSAGE_H_
