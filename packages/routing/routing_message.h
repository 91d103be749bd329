#ifndef PACKAGES_ROUTING_ROUTING_MESSAGE_H_
#define PACKAGES_ROUTING_ROUTING_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

// In-memory form of the messages of the routing channel; routing.fbs defines
// their encoding.

struct ServiceSummary {
  std::string service;
  int64_t targets = 0;
  int64_t free_slots = 0;
  int64_t free_connections = 0;
  double latency_ms = 1;

  bool operator==(const ServiceSummary&) const = default;
};

struct TargetSummary {
  std::string failure_domain;
  std::string region;
  std::vector<ServiceSummary> services;
};

struct ForwardedRequest {
  std::string request_id;
  std::string service;
  std::string caller;
  bool idempotent = false;
  Milliseconds remaining{0};
  std::string content_type;
  std::string body;
};

enum class RequestOutcome {
  kResponded,
  kNotSent,           // No byte was sent, or the target reported "not run".
  kNoCapacity,        // No target with free capacity; nothing was sent.
  kOutcomeUnknown,    // Sent; no complete response arrived.
  kResponseTooLarge,  // Ran; the response exceeds the size limit.
};

std::string_view RequestOutcomeName(RequestOutcome outcome);

struct ForwardedResponse {
  RequestOutcome outcome = RequestOutcome::kNotSent;
  int status = 0;  // HTTP status of the target's response.
  std::string content_type;
  std::string body;
  std::string target;
  std::string message;  // Description of the failure, if any.
};

struct WatchOpen {
  std::string watch_id;
  std::string service;
  std::string caller;
  std::string last_event_id;  // Empty: only events after the opening.
};

struct WatchOpened {
  RequestOutcome outcome = RequestOutcome::kNotSent;
  std::string target;
  std::string message;
};

struct WatchEvent {
  std::string watch_id;
  int64_t position = 0;  // Counts the messages of one watch, from 1.
  std::string line;      // Empty: a heartbeat.
};

struct WatchEnd {
  std::string watch_id;
  int64_t position = 0;
  std::string reason;
};

struct WatchKeepAlive {
  std::string watch_id;
};

struct RequestStateQuery {
  std::string request_id;
};

struct RequestStateResponse {
  bool found = false;
  std::string record;  // JSON.
};

using RoutingMessage = std::variant<TargetSummary,
                                    ForwardedRequest,
                                    ForwardedResponse,
                                    WatchOpen,
                                    WatchOpened,
                                    WatchEvent,
                                    WatchEnd,
                                    WatchKeepAlive,
                                    RequestStateQuery,
                                    RequestStateResponse>;

std::vector<std::byte> EncodeRoutingMessage(const RoutingMessage& message);

// Fails with kDataLoss when `data` is not a valid message.
Result<RoutingMessage> DecodeRoutingMessage(std::span<const std::byte> data);

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_ROUTING_MESSAGE_H_
