#ifndef PACKAGES_PEER_PEER_EVENTS_H_
#define PACKAGES_PEER_PEER_EVENTS_H_

#include "packages/base/base.h"

namespace bramleyrail {

inline constexpr LogEventDefinition kPeerListening{4000, LogSeverity::kInfo,
                                                   "peer_listening"};
inline constexpr LogEventDefinition kPeerConnected{4001, LogSeverity::kInfo,
                                                   "peer_connected"};
inline constexpr LogEventDefinition kPeerConnectionLost{
    4002, LogSeverity::kWarning, "peer_connection_lost"};
inline constexpr LogEventDefinition kPeerDialFailed{4003, LogSeverity::kWarning,
                                                    "peer_dial_failed"};
inline constexpr LogEventDefinition kPeerAccepted{4004, LogSeverity::kInfo,
                                                  "peer_accepted"};
inline constexpr LogEventDefinition kPeerAcceptedLost{4005, LogSeverity::kInfo,
                                                      "peer_accepted_lost"};
inline constexpr LogEventDefinition kPeerHelloRefused{4006, LogSeverity::kError,
                                                      "peer_hello_refused"};
inline constexpr LogEventDefinition kPeerFrameRefused{4007, LogSeverity::kError,
                                                      "peer_frame_refused"};
inline constexpr LogEventDefinition kPeerQueueFull{4008, LogSeverity::kWarning,
                                                   "peer_queue_full"};
inline constexpr LogEventDefinition kPeerLateAnswer{4009, LogSeverity::kDebug,
                                                    "peer_late_answer"};
inline constexpr LogEventDefinition kPeerAcceptFailed{4010, LogSeverity::kError,
                                                      "peer_accept_failed"};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_PEER_EVENTS_H_
