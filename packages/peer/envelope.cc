#include "packages/peer/envelope.h"

#include <string>

#include "packages/peer/frame_reader.h"

namespace bramleyrail {

namespace {

using peer_wire::Envelope;
using peer_wire::EnvelopeBuilder;
using peer_wire::Flag;

constexpr size_t kPayloadAlignment = 16;
// Keeps an error answer well below the limit of a frame.
constexpr size_t kMaximumErrorTextBytes = 4096;

std::vector<std::byte> FinishFrame(flatbuffers::FlatBufferBuilder* builder,
                                   flatbuffers::Offset<Envelope> envelope) {
  builder->Finish(envelope);
  return EncodeFrame(std::as_bytes(
      std::span(builder->GetBufferPointer(), builder->GetSize())));
}

std::string_view TextOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string_view()
                         : std::string_view(text->c_str(), text->size());
}

ErrorKind ParseErrorKind(std::string_view name) {
  for (int i = 0; i <= static_cast<int>(ErrorKind::kInternal); ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    if (ErrorKindName(kind) == name) {
      return kind;
    }
  }
  // A kind that only a newer version knows says nothing about the outcome.
  return ErrorKind::kOutcomeUnknown;
}

Error MakeEnvelopeError(std::string message) {
  return MakeError(ErrorKind::kDataLoss, std::move(message),
                   "check that both ends run the same version of bramleyrail");
}

}  // namespace

std::vector<std::byte> EncodeHello(std::string_view cluster_id,
                                   const PeerInfo& self) {
  flatbuffers::FlatBufferBuilder builder;
  const auto hello = peer_wire::CreateHello(
      builder, builder.CreateString(cluster_id.data(), cluster_id.size()),
      builder.CreateString(self.name),
      builder.CreateString(self.failure_domain),
      builder.CreateString(self.region));
  EnvelopeBuilder envelope(builder);
  envelope.add_flag(Flag::kHello);
  envelope.add_hello(hello);
  return FinishFrame(&builder, envelope.Finish());
}

std::vector<std::byte> EncodeHeartbeat() {
  flatbuffers::FlatBufferBuilder builder;
  EnvelopeBuilder envelope(builder);
  envelope.add_flag(Flag::kHeartbeat);
  return FinishFrame(&builder, envelope.Finish());
}

std::vector<std::byte> EncodePayload(Flag flag,
                                     PeerChannel channel,
                                     uint64_t call_number,
                                     std::span<const std::byte> payload) {
  flatbuffers::FlatBufferBuilder builder(payload.size() + 128);
  builder.ForceVectorAlignment(payload.size(), sizeof(uint8_t),
                               kPayloadAlignment);
  const auto bytes = builder.CreateVector(
      reinterpret_cast<const uint8_t*>(payload.data()), payload.size());
  EnvelopeBuilder envelope(builder);
  envelope.add_call_number(call_number);
  envelope.add_flag(flag);
  envelope.add_channel(static_cast<uint8_t>(channel));
  envelope.add_payload(bytes);
  return FinishFrame(&builder, envelope.Finish());
}

std::vector<std::byte> EncodeCallError(PeerChannel channel,
                                       uint64_t call_number,
                                       const Error& error) {
  flatbuffers::FlatBufferBuilder builder;
  const std::string_view kind = ErrorKindName(error.kind);
  const auto call_error = peer_wire::CreateCallError(
      builder, builder.CreateString(kind.data(), kind.size()),
      builder.CreateString(error.message.substr(0, kMaximumErrorTextBytes)),
      builder.CreateString(error.remedy.substr(0, kMaximumErrorTextBytes)));
  EnvelopeBuilder envelope(builder);
  envelope.add_call_number(call_number);
  envelope.add_flag(Flag::kError);
  envelope.add_channel(static_cast<uint8_t>(channel));
  envelope.add_error(call_error);
  return FinishFrame(&builder, envelope.Finish());
}

Result<const Envelope*> ReadEnvelope(std::span<const std::byte> body) {
  const auto* data = reinterpret_cast<const uint8_t*>(body.data());
  flatbuffers::Verifier verifier(data, body.size());
  if (!peer_wire::VerifyEnvelopeBuffer(verifier)) {
    return MakeEnvelopeError("a frame holds no valid envelope");
  }
  const Envelope* envelope = peer_wire::GetEnvelope(data);
  const Flag flag = envelope->flag();
  if (flag > Flag::MAX) {
    return MakeEnvelopeError("the flag of an envelope is unknown");
  }
  if (envelope->channel() >= kPeerChannelCount) {
    return MakeEnvelopeError("the channel of an envelope is unknown");
  }
  if (flag == Flag::kHello && envelope->hello() == nullptr) {
    return MakeEnvelopeError("a hello holds no cluster id");
  }
  if (flag == Flag::kError && envelope->error() == nullptr) {
    return MakeEnvelopeError("an error answer holds no error");
  }
  return envelope;
}

std::span<const std::byte> PayloadOf(const Envelope& envelope) {
  if (envelope.payload() == nullptr) {
    return {};
  }
  return std::as_bytes(
      std::span(envelope.payload()->data(), envelope.payload()->size()));
}

Error ErrorOf(const Envelope& envelope) {
  const peer_wire::CallError& error = *envelope.error();
  return MakeError(ParseErrorKind(TextOf(error.kind())),
                   std::string(TextOf(error.message())),
                   std::string(TextOf(error.remedy())));
}

}  // namespace bramleyrail
