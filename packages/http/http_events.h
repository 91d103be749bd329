#ifndef PACKAGES_HTTP_HTTP_EVENTS_H_
#define PACKAGES_HTTP_HTTP_EVENTS_H_

#include "packages/base/base.h"

namespace bramleyrail {

inline constexpr LogEventDefinition kHttpAcceptFailed{
    9001, LogSeverity::kWarning, "http_accept_failed"};
inline constexpr LogEventDefinition kHttpHandlerFailed{
    9002, LogSeverity::kError, "http_handler_failed"};
inline constexpr LogEventDefinition kHttpCallFailed{9003, LogSeverity::kWarning,
                                                    "http_call_failed"};
inline constexpr LogEventDefinition kHttpLimitReached{
    9010, LogSeverity::kWarning, "http_limit_reached"};

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_HTTP_EVENTS_H_
