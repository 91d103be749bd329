#ifndef PACKAGES_WORKER_WORKER_EDGE_EVENTS_H_
#define PACKAGES_WORKER_WORKER_EDGE_EVENTS_H_

#include "packages/base/base.h"

namespace bramleyrail {

inline constexpr LogEventDefinition kPlatformListening{6101, LogSeverity::kInfo,
                                                       "platform_listening"};
inline constexpr LogEventDefinition kPlatformPollRefused{
    6102, LogSeverity::kWarning, "platform_poll_refused"};
inline constexpr LogEventDefinition kPlatformPoolFull{
    6103, LogSeverity::kWarning, "platform_pool_full"};
inline constexpr LogEventDefinition kPlatformDraining{6104, LogSeverity::kInfo,
                                                      "platform_draining"};

}  // namespace bramleyrail

#endif  // PACKAGES_WORKER_WORKER_EDGE_EVENTS_H_
