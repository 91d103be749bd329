#include "packages/routing/routing_message.h"

#include <utility>

#include "packages/routing/routing_generated.h"

namespace bramleyrail {

namespace {

using flatbuffers::FlatBufferBuilder;
using Encoded = std::pair<wire::Body, flatbuffers::Offset<void>>;

std::string ToText(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

std::string ToText(const flatbuffers::Vector<uint8_t>* bytes) {
  return bytes == nullptr ? std::string()
                          : std::string(bytes->begin(), bytes->end());
}

flatbuffers::Offset<flatbuffers::Vector<uint8_t>> ToVector(
    FlatBufferBuilder* builder,
    const std::string& bytes) {
  return builder->CreateVector(reinterpret_cast<const uint8_t*>(bytes.data()),
                               bytes.size());
}

wire::Outcome ToWire(RequestOutcome outcome) {
  return static_cast<wire::Outcome>(outcome);
}

// An outcome that this version does not know must not count as "not run".
RequestOutcome FromWire(wire::Outcome outcome) {
  return outcome >= wire::Outcome::MIN && outcome <= wire::Outcome::MAX
             ? static_cast<RequestOutcome>(outcome)
             : RequestOutcome::kOutcomeUnknown;
}

Encoded Encode(FlatBufferBuilder* builder, const TargetSummary& message) {
  std::vector<flatbuffers::Offset<wire::ServiceSummary>> services;
  for (const ServiceSummary& service : message.services) {
    services.push_back(wire::CreateServiceSummaryDirect(
        *builder, service.service.c_str(), service.targets, service.free_slots,
        service.free_connections, service.latency_ms));
  }
  return {
      wire::Body::TargetSummary,
      wire::CreateTargetSummaryDirect(*builder, message.failure_domain.c_str(),
                                      message.region.c_str(), &services)
          .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const ForwardedRequest& message) {
  const auto request_id = builder->CreateString(message.request_id);
  const auto service = builder->CreateString(message.service);
  const auto caller = builder->CreateString(message.caller);
  const auto content_type = builder->CreateString(message.content_type);
  const auto body = ToVector(builder, message.body);
  return {wire::Body::ForwardedRequest,
          wire::CreateForwardedRequest(
              *builder, request_id, service, caller, message.idempotent,
              message.remaining.count(), content_type, body)
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const ForwardedAnswer& message) {
  const auto content_type = builder->CreateString(message.content_type);
  const auto body = ToVector(builder, message.body);
  const auto target = builder->CreateString(message.target);
  const auto text = builder->CreateString(message.message);
  return {wire::Body::ForwardedAnswer,
          wire::CreateForwardedAnswer(*builder, ToWire(message.outcome),
                                      message.status, content_type, body,
                                      target, text)
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const WatchOpen& message) {
  return {wire::Body::WatchOpen,
          wire::CreateWatchOpenDirect(
              *builder, message.watch_id.c_str(), message.service.c_str(),
              message.caller.c_str(), message.last_event_id.c_str())
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const WatchOpened& message) {
  return {wire::Body::WatchOpened,
          wire::CreateWatchOpenedDirect(*builder, ToWire(message.outcome),
                                        message.target.c_str(),
                                        message.message.c_str())
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const WatchEvent& message) {
  const auto watch_id = builder->CreateString(message.watch_id);
  const auto line = builder->CreateString(message.line);
  return {wire::Body::WatchEvent,
          wire::CreateWatchEvent(*builder, watch_id, message.position, line)
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const WatchEnd& message) {
  return {wire::Body::WatchEnd,
          wire::CreateWatchEndDirect(*builder, message.watch_id.c_str(),
                                     message.position, message.reason.c_str())
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const WatchKeepAlive& message) {
  return {wire::Body::WatchKeepAlive,
          wire::CreateWatchKeepAliveDirect(*builder, message.watch_id.c_str())
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const RequestStateQuery& message) {
  return {
      wire::Body::RequestStateQuery,
      wire::CreateRequestStateQueryDirect(*builder, message.request_id.c_str())
          .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const RequestStateAnswer& message) {
  const auto record = builder->CreateString(message.record);
  return {
      wire::Body::RequestStateAnswer,
      wire::CreateRequestStateAnswer(*builder, message.found, record).Union()};
}

TargetSummary Decode(const wire::TargetSummary& message) {
  TargetSummary summary{
      ToText(message.failure_domain()), ToText(message.region()), {}};
  if (message.services() == nullptr) {
    return summary;
  }
  for (const wire::ServiceSummary* service : *message.services()) {
    summary.services.push_back(
        {ToText(service->service()), service->targets(), service->free_slots(),
         service->free_connections(), service->latency_ms()});
  }
  return summary;
}

ForwardedRequest Decode(const wire::ForwardedRequest& message) {
  return {ToText(message.request_id()),
          ToText(message.service()),
          ToText(message.caller()),
          message.idempotent(),
          Milliseconds(message.remaining_ms()),
          ToText(message.content_type()),
          ToText(message.body())};
}

ForwardedAnswer Decode(const wire::ForwardedAnswer& message) {
  return {FromWire(message.outcome()),    message.status(),
          ToText(message.content_type()), ToText(message.body()),
          ToText(message.target()),       ToText(message.message())};
}

WatchOpen Decode(const wire::WatchOpen& message) {
  return {ToText(message.watch_id()), ToText(message.service()),
          ToText(message.caller()), ToText(message.last_event_id())};
}

WatchOpened Decode(const wire::WatchOpened& message) {
  return {FromWire(message.outcome()), ToText(message.target()),
          ToText(message.message())};
}

WatchEvent Decode(const wire::WatchEvent& message) {
  return {ToText(message.watch_id()), message.position(),
          ToText(message.line())};
}

WatchEnd Decode(const wire::WatchEnd& message) {
  return {ToText(message.watch_id()), message.position(),
          ToText(message.reason())};
}

WatchKeepAlive Decode(const wire::WatchKeepAlive& message) {
  return {ToText(message.watch_id())};
}

RequestStateQuery Decode(const wire::RequestStateQuery& message) {
  return {ToText(message.request_id())};
}

RequestStateAnswer Decode(const wire::RequestStateAnswer& message) {
  return {message.found(), ToText(message.record())};
}

}  // namespace

std::string_view RequestOutcomeName(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kAnswered:
      return "answered";
    case RequestOutcome::kNotSent:
      return "not_sent";
    case RequestOutcome::kNoCapacity:
      return "no_capacity";
    case RequestOutcome::kOutcomeUnknown:
      return "outcome_unknown";
    case RequestOutcome::kAnswerTooLarge:
      return "answer_too_large";
  }
  return "outcome_unknown";
}

std::vector<std::byte> EncodeRoutingMessage(const RoutingMessage& message) {
  FlatBufferBuilder builder;
  const Encoded encoded = std::visit(
      [&builder](const auto& body) { return Encode(&builder, body); }, message);
  builder.Finish(wire::CreateMessage(builder, encoded.first, encoded.second));
  const auto* data =
      reinterpret_cast<const std::byte*>(builder.GetBufferPointer());
  return {data, data + builder.GetSize()};
}

Result<RoutingMessage> DecodeRoutingMessage(std::span<const std::byte> data) {
  constexpr size_t kAlignment = 8;
  if (reinterpret_cast<uintptr_t>(data.data()) % kAlignment != 0) {
    // FlatBuffers reads in place and needs its alignment; a payload inside a
    // frame may start anywhere. A vector's storage is aligned.
    const std::vector<std::byte> aligned(data.begin(), data.end());
    return DecodeRoutingMessage(aligned);
  }
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(data.data()),
                                 data.size());
  if (!wire::VerifyMessageBuffer(verifier)) {
    return MakeError(ErrorKind::kDataLoss,
                     "the bytes are no valid routing message",
                     "run compatible versions on all instances");
  }
  const wire::Message& message = *wire::GetMessage(data.data());
  switch (message.body_type()) {
    case wire::Body::TargetSummary:
      return Decode(*message.body_as_TargetSummary());
    case wire::Body::ForwardedRequest:
      return Decode(*message.body_as_ForwardedRequest());
    case wire::Body::ForwardedAnswer:
      return Decode(*message.body_as_ForwardedAnswer());
    case wire::Body::WatchOpen:
      return Decode(*message.body_as_WatchOpen());
    case wire::Body::WatchOpened:
      return Decode(*message.body_as_WatchOpened());
    case wire::Body::WatchEvent:
      return Decode(*message.body_as_WatchEvent());
    case wire::Body::WatchEnd:
      return Decode(*message.body_as_WatchEnd());
    case wire::Body::WatchKeepAlive:
      return Decode(*message.body_as_WatchKeepAlive());
    case wire::Body::RequestStateQuery:
      return Decode(*message.body_as_RequestStateQuery());
    case wire::Body::RequestStateAnswer:
      return Decode(*message.body_as_RequestStateAnswer());
    case wire::Body::NONE:
      break;
  }
  return MakeError(ErrorKind::kDataLoss,
                   "the routing message is of no known type",
                   "run compatible versions on all instances");
}

}  // namespace bramleyrail
