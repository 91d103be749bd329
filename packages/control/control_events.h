#ifndef PACKAGES_CONTROL_CONTROL_EVENTS_H_
#define PACKAGES_CONTROL_CONTROL_EVENTS_H_

#include "packages/base/base.h"

namespace bramleyrail {

inline constexpr LogEventDefinition kRelayTimedOut{9301, LogSeverity::kWarning,
                                                   "relay_given_up"};
inline constexpr LogEventDefinition kJobAccepted{9302, LogSeverity::kInfo,
                                                 "job_accepted"};
inline constexpr LogEventDefinition kJobNotAccepted{9303, LogSeverity::kWarning,
                                                    "job_not_accepted"};
inline constexpr LogEventDefinition kJobCancelled{9304, LogSeverity::kInfo,
                                                  "job_cancelled"};
inline constexpr LogEventDefinition kConfigurationOrdered{
    9305, LogSeverity::kInfo, "configuration_ordered"};
inline constexpr LogEventDefinition kEvacuationOrdered{9306, LogSeverity::kInfo,
                                                       "evacuation_ordered"};
inline constexpr LogEventDefinition kWorkerRegistered{9307, LogSeverity::kInfo,
                                                      "pool_worker_registered"};
inline constexpr LogEventDefinition kWorkerWithdrawn{9308, LogSeverity::kInfo,
                                                     "pool_worker_withdrawn"};
inline constexpr LogEventDefinition kLeadershipTaken{9309, LogSeverity::kInfo,
                                                     "leadership_taken"};
inline constexpr LogEventDefinition kLeadershipLost{9310, LogSeverity::kWarning,
                                                    "leadership_lost"};
inline constexpr LogEventDefinition kFinishedRunsNotRecorded{
    9311, LogSeverity::kWarning, "ends_not_recorded"};
inline constexpr LogEventDefinition kWaveOrdered{9312, LogSeverity::kInfo,
                                                 "wave_ordered"};
inline constexpr LogEventDefinition kDispatchLoad{9313, LogSeverity::kInfo,
                                                  "dispatch_load"};
inline constexpr LogEventDefinition kHeartbeatIgnored{
    9314, LogSeverity::kWarning, "heartbeat_ignored"};

inline constexpr LogEventDefinition kPlacementsNotRecorded{
    9315, LogSeverity::kWarning, "placements_not_recorded"};
inline constexpr LogEventDefinition kOrderNotConfirmed{
    9316, LogSeverity::kWarning, "order_not_confirmed"};
inline constexpr LogEventDefinition kCallRefused{9320, LogSeverity::kWarning,
                                                 "call_refused"};
inline constexpr LogEventDefinition kAccountKeysIndexed{
    9321, LogSeverity::kInfo, "account_keys_indexed"};

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_CONTROL_EVENTS_H_
