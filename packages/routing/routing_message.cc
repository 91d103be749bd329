#include "packages/routing/routing_message.h"

#include <utility>

#include "packages/routing/routing_generated.h"

namespace bramleyrail {

namespace {

using flatbuffers::FlatBufferBuilder;
using Encoded = std::pair<routing_wire::Body, flatbuffers::Offset<void>>;

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

routing_wire::Outcome ToWire(RequestOutcome outcome) {
  return static_cast<routing_wire::Outcome>(outcome);
}

// An outcome of a newer version maps to kOutcomeUnknown, since the request may
// have run.
RequestOutcome FromWire(routing_wire::Outcome outcome) {
  return outcome >= routing_wire::Outcome::MIN &&
                 outcome <= routing_wire::Outcome::MAX
             ? static_cast<RequestOutcome>(outcome)
             : RequestOutcome::kOutcomeUnknown;
}

Encoded Encode(FlatBufferBuilder* builder, const TargetSummary& message) {
  std::vector<flatbuffers::Offset<routing_wire::ServiceSummary>> services;
  for (const ServiceSummary& service : message.services) {
    services.push_back(routing_wire::CreateServiceSummaryDirect(
        *builder, service.service.c_str(), service.targets, service.free_slots,
        service.free_connections, service.latency_ms));
  }
  return {routing_wire::Body::TargetSummary,
          routing_wire::CreateTargetSummaryDirect(
              *builder, message.failure_domain.c_str(), message.region.c_str(),
              &services)
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const ForwardedRequest& message) {
  const auto request_id = builder->CreateString(message.request_id);
  const auto service = builder->CreateString(message.service);
  const auto caller = builder->CreateString(message.caller);
  const auto content_type = builder->CreateString(message.content_type);
  const auto body = ToVector(builder, message.body);
  return {routing_wire::Body::ForwardedRequest,
          routing_wire::CreateForwardedRequest(
              *builder, request_id, service, caller, message.idempotent,
              message.remaining.count(), content_type, body)
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const ForwardedResponse& message) {
  const auto content_type = builder->CreateString(message.content_type);
  const auto body = ToVector(builder, message.body);
  const auto target = builder->CreateString(message.target);
  const auto text = builder->CreateString(message.message);
  return {routing_wire::Body::ForwardedAnswer,
          routing_wire::CreateForwardedAnswer(*builder, ToWire(message.outcome),
                                              message.status, content_type,
                                              body, target, text)
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const WatchOpen& message) {
  return {routing_wire::Body::WatchOpen,
          routing_wire::CreateWatchOpenDirect(
              *builder, message.watch_id.c_str(), message.service.c_str(),
              message.caller.c_str(), message.last_event_id.c_str())
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const WatchOpened& message) {
  return {routing_wire::Body::WatchOpened,
          routing_wire::CreateWatchOpenedDirect(
              *builder, ToWire(message.outcome), message.target.c_str(),
              message.message.c_str())
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const WatchEvent& message) {
  const auto watch_id = builder->CreateString(message.watch_id);
  const auto line = builder->CreateString(message.line);
  return {
      routing_wire::Body::WatchEvent,
      routing_wire::CreateWatchEvent(*builder, watch_id, message.position, line)
          .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const WatchEnd& message) {
  return {routing_wire::Body::WatchEnd,
          routing_wire::CreateWatchEndDirect(*builder, message.watch_id.c_str(),
                                             message.position,
                                             message.reason.c_str())
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const WatchKeepAlive& message) {
  return {routing_wire::Body::WatchKeepAlive,
          routing_wire::CreateWatchKeepAliveDirect(*builder,
                                                   message.watch_id.c_str())
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder, const RequestStateQuery& message) {
  return {routing_wire::Body::RequestStateQuery,
          routing_wire::CreateRequestStateQueryDirect(
              *builder, message.request_id.c_str())
              .Union()};
}

Encoded Encode(FlatBufferBuilder* builder,
               const RequestStateResponse& message) {
  const auto record = builder->CreateString(message.record);
  return {
      routing_wire::Body::RequestStateAnswer,
      routing_wire::CreateRequestStateAnswer(*builder, message.found, record)
          .Union()};
}

TargetSummary Decode(const routing_wire::TargetSummary& message) {
  TargetSummary summary{
      ToText(message.failure_domain()), ToText(message.region()), {}};
  if (message.services() == nullptr) {
    return summary;
  }
  for (const routing_wire::ServiceSummary* service : *message.services()) {
    summary.services.push_back(
        {ToText(service->service()), service->targets(), service->free_slots(),
         service->free_connections(), service->latency_ms()});
  }
  return summary;
}

ForwardedRequest Decode(const routing_wire::ForwardedRequest& message) {
  return {ToText(message.request_id()),
          ToText(message.service()),
          ToText(message.caller()),
          message.idempotent(),
          Milliseconds(message.remaining_ms()),
          ToText(message.content_type()),
          ToText(message.body())};
}

ForwardedResponse Decode(const routing_wire::ForwardedAnswer& message) {
  return {FromWire(message.outcome()),    message.status(),
          ToText(message.content_type()), ToText(message.body()),
          ToText(message.target()),       ToText(message.message())};
}

WatchOpen Decode(const routing_wire::WatchOpen& message) {
  return {ToText(message.watch_id()), ToText(message.service()),
          ToText(message.caller()), ToText(message.last_event_id())};
}

WatchOpened Decode(const routing_wire::WatchOpened& message) {
  return {FromWire(message.outcome()), ToText(message.target()),
          ToText(message.message())};
}

WatchEvent Decode(const routing_wire::WatchEvent& message) {
  return {ToText(message.watch_id()), message.position(),
          ToText(message.line())};
}

WatchEnd Decode(const routing_wire::WatchEnd& message) {
  return {ToText(message.watch_id()), message.position(),
          ToText(message.reason())};
}

WatchKeepAlive Decode(const routing_wire::WatchKeepAlive& message) {
  return {ToText(message.watch_id())};
}

RequestStateQuery Decode(const routing_wire::RequestStateQuery& message) {
  return {ToText(message.request_id())};
}

RequestStateResponse Decode(const routing_wire::RequestStateAnswer& message) {
  return {message.found(), ToText(message.record())};
}

}  // namespace

std::string_view RequestOutcomeName(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kResponded:
      return "answered";
    case RequestOutcome::kNotSent:
      return "not_sent";
    case RequestOutcome::kNoCapacity:
      return "no_capacity";
    case RequestOutcome::kOutcomeUnknown:
      return "outcome_unknown";
    case RequestOutcome::kResponseTooLarge:
      return "answer_too_large";
  }
  return "outcome_unknown";
}

std::vector<std::byte> EncodeRoutingMessage(const RoutingMessage& message) {
  FlatBufferBuilder builder;
  const Encoded encoded = std::visit(
      [&builder](const auto& body) { return Encode(&builder, body); }, message);
  builder.Finish(
      routing_wire::CreateMessage(builder, encoded.first, encoded.second));
  const auto* data =
      reinterpret_cast<const std::byte*>(builder.GetBufferPointer());
  return {data, data + builder.GetSize()};
}

Result<RoutingMessage> DecodeRoutingMessage(std::span<const std::byte> data) {
  constexpr size_t kAlignment = 8;
  if (reinterpret_cast<uintptr_t>(data.data()) % kAlignment != 0) {
    // FlatBuffers reads in place and needs aligned data, but a payload may
    // start at any offset of a frame. The storage of a vector is aligned.
    const std::vector<std::byte> aligned(data.begin(), data.end());
    return DecodeRoutingMessage(aligned);
  }
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(data.data()),
                                 data.size());
  if (!routing_wire::VerifyMessageBuffer(verifier)) {
    return MakeError(
        ErrorKind::kDataLoss,
        "a routing message from another instance failed verification",
        "run compatible versions on all instances");
  }
  const routing_wire::Message& message = *routing_wire::GetMessage(data.data());
  switch (message.body_type()) {
    case routing_wire::Body::TargetSummary:
      return Decode(*message.body_as_TargetSummary());
    case routing_wire::Body::ForwardedRequest:
      return Decode(*message.body_as_ForwardedRequest());
    case routing_wire::Body::ForwardedAnswer:
      return Decode(*message.body_as_ForwardedAnswer());
    case routing_wire::Body::WatchOpen:
      return Decode(*message.body_as_WatchOpen());
    case routing_wire::Body::WatchOpened:
      return Decode(*message.body_as_WatchOpened());
    case routing_wire::Body::WatchEvent:
      return Decode(*message.body_as_WatchEvent());
    case routing_wire::Body::WatchEnd:
      return Decode(*message.body_as_WatchEnd());
    case routing_wire::Body::WatchKeepAlive:
      return Decode(*message.body_as_WatchKeepAlive());
    case routing_wire::Body::RequestStateQuery:
      return Decode(*message.body_as_RequestStateQuery());
    case routing_wire::Body::RequestStateAnswer:
      return Decode(*message.body_as_RequestStateAnswer());
    case routing_wire::Body::NONE:
      break;
  }
  return MakeError(ErrorKind::kDataLoss,
                   "a routing message has an unknown body type",
                   "run compatible versions on all instances");
}

}  // namespace bramleyrail
