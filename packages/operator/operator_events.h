#ifndef PACKAGES_OPERATOR_OPERATOR_EVENTS_H_
#define PACKAGES_OPERATOR_OPERATOR_EVENTS_H_

#include "packages/base/base.h"

namespace bramleyrail::operator_events {

inline constexpr LogEventDefinition kServerStarted = {
    7001, LogSeverity::kInfo, "operator_server_started"};
inline constexpr LogEventDefinition kServerDraining = {
    7002, LogSeverity::kInfo, "operator_server_draining"};
inline constexpr LogEventDefinition kServerStopped = {
    7003, LogSeverity::kInfo, "operator_server_stopped"};
inline constexpr LogEventDefinition kChangeAccepted = {
    7004, LogSeverity::kInfo, "operator_change_accepted"};
inline constexpr LogEventDefinition kChangeRefused = {
    7005, LogSeverity::kInfo, "operator_change_refused"};
inline constexpr LogEventDefinition kChangeUnconfirmed = {
    7006, LogSeverity::kWarning, "operator_change_unconfirmed"};
inline constexpr LogEventDefinition kOverloaded = {
    7007, LogSeverity::kWarning, "operator_server_overloaded"};
inline constexpr LogEventDefinition kOperatorWatchOpened = {
    7008, LogSeverity::kInfo, "operator_watch_opened"};
inline constexpr LogEventDefinition kWatchClosed = {7009, LogSeverity::kInfo,
                                                    "operator_watch_closed"};
inline constexpr LogEventDefinition kHandlerFailed = {
    7010, LogSeverity::kError, "operator_handler_failed"};

inline constexpr LogEventDefinition kAll[] = {
    kServerStarted, kServerDraining,    kServerStopped, kChangeAccepted,
    kChangeRefused, kChangeUnconfirmed, kOverloaded,    kOperatorWatchOpened,
    kWatchClosed,   kHandlerFailed};

}  // namespace bramleyrail::operator_events

#endif  // PACKAGES_OPERATOR_OPERATOR_EVENTS_H_
