#include "packages/state/codec.h"

namespace bramleyrail {

std::vector<std::byte> EncodeCommand(const Command& command) {
  return codec::Encode(command);
}

Result<Command> DecodeCommand(std::span<const std::byte> data) {
  return codec::Decode<Command>(data, "the command");
}

std::vector<std::byte> EncodeOutcome(const CommandOutcome& outcome) {
  return codec::Encode(outcome);
}

Result<CommandOutcome> DecodeOutcome(std::span<const std::byte> data) {
  return codec::Decode<CommandOutcome>(data, "the outcome");
}

}  // namespace bramleyrail
