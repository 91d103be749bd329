#ifndef PACKAGES_REPLICATION_WIRE_MESSAGE_H_
#define PACKAGES_REPLICATION_WIRE_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>

#include "packages/consensus/consensus.h"

namespace bramleyrail {

// A command on its way from an instance to the leader.
struct ForwardedProposal {
  uint64_t call = 0;  // Chosen by the sender.
  Bytes command;
};

struct ForwardedResult {
  uint64_t call = 0;
  std::optional<Error> error;
  Bytes answer;  // Empty when failed.
};

// Everything that travels on the replication channel.
using WireMessage = std::variant<ConsensusMessage,
                                 ForwardedProposal,
                                 ForwardedResult,
                                 FormationQuery,
                                 FormationAnswer>;

// FlatBuffers, as in replication.fbs.
Bytes EncodeWireMessage(const WireMessage& message);
// kDataLoss when the bytes are not a valid message.
Result<WireMessage> DecodeWireMessage(std::span<const std::byte> data);

}  // namespace bramleyrail

#endif  // PACKAGES_REPLICATION_WIRE_MESSAGE_H_
