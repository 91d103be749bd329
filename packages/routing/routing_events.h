#ifndef PACKAGES_ROUTING_ROUTING_EVENTS_H_
#define PACKAGES_ROUTING_ROUTING_EVENTS_H_

#include "packages/base/base.h"

namespace bramleyrail {

// Log events of the routing, caller and target packages; see
// docs/log-events.md.
inline constexpr LogEventDefinition kRoutingDecision{5000, LogSeverity::kInfo,
                                                     "routing_decision"};
inline constexpr LogEventDefinition kRequestFinished{5001, LogSeverity::kInfo,
                                                     "request_finished"};
inline constexpr LogEventDefinition kRequestRefused{5002, LogSeverity::kInfo,
                                                    "request_refused"};
inline constexpr LogEventDefinition kClaimResolutionRetried{
    5003, LogSeverity::kWarning, "claim_resolution_retried"};
inline constexpr LogEventDefinition kTargetAnnounced{5010, LogSeverity::kInfo,
                                                     "target_announced"};
inline constexpr LogEventDefinition kTargetLeft{5011, LogSeverity::kInfo,
                                                "target_left"};
inline constexpr LogEventDefinition kTargetExpired{5012, LogSeverity::kWarning,
                                                   "target_expired"};
inline constexpr LogEventDefinition kTargetEjected{5013, LogSeverity::kWarning,
                                                   "target_ejected"};
inline constexpr LogEventDefinition kTargetRefused{5014, LogSeverity::kInfo,
                                                   "target_refused"};
inline constexpr LogEventDefinition kTargetMoveRequested{
    5015, LogSeverity::kInfo, "target_told_to_move"};
inline constexpr LogEventDefinition kWatchOpened{5020, LogSeverity::kInfo,
                                                 "watch_opened"};
inline constexpr LogEventDefinition kWatchEnded{5021, LogSeverity::kInfo,
                                                "watch_ended"};
inline constexpr LogEventDefinition kRoutingMessageDropped{
    5030, LogSeverity::kWarning, "routing_message_dropped"};
inline constexpr LogEventDefinition kServerOverloaded{
    5031, LogSeverity::kWarning, "server_overloaded"};

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_ROUTING_EVENTS_H_
