#ifndef PACKAGES_PLACEMENT_PLACEMENT_EVENTS_H_
#define PACKAGES_PLACEMENT_PLACEMENT_EVENTS_H_

#include "packages/base/base.h"

namespace bramleyrail {

inline constexpr LogEventDefinition kTaskPlaced{6001, LogSeverity::kInfo,
                                                "task_placed"};
inline constexpr LogEventDefinition kTaskNotPlaced{6002, LogSeverity::kInfo,
                                                   "task_not_placed"};
inline constexpr LogEventDefinition kWorkerSuspended{
    6003, LogSeverity::kWarning, "worker_suspended"};
inline constexpr LogEventDefinition kWorkerResumed{6004, LogSeverity::kInfo,
                                                   "worker_resumed"};
inline constexpr LogEventDefinition kWorkerExpired{6005, LogSeverity::kWarning,
                                                   "worker_expired"};
inline constexpr LogEventDefinition kWorkerRegistered{6006, LogSeverity::kInfo,
                                                      "worker_registered"};
inline constexpr LogEventDefinition kStaleBootIgnored{
    6007, LogSeverity::kWarning, "stale_boot_ignored"};
inline constexpr LogEventDefinition kWorkerProbation{
    6008, LogSeverity::kWarning, "worker_probation"};
inline constexpr LogEventDefinition kAttemptDesired{6009, LogSeverity::kInfo,
                                                    "attempt_desired"};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_PLACEMENT_EVENTS_H_
