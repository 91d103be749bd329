#ifndef PACKAGES_BRAMLEYRAILD_BRAMLEYRAILD_EVENTS_H_
#define PACKAGES_BRAMLEYRAILD_BRAMLEYRAILD_EVENTS_H_

#include "packages/base/base.h"

namespace bramleyrail {

inline constexpr LogEventDefinition kInstanceStarting{8001, LogSeverity::kInfo,
                                                      "instance_starting"};
inline constexpr LogEventDefinition kInstanceReady{8002, LogSeverity::kInfo,
                                                   "instance_ready"};
inline constexpr LogEventDefinition kInstanceStopping{8003, LogSeverity::kInfo,
                                                      "instance_stopping"};
inline constexpr LogEventDefinition kInstanceStopped{8004, LogSeverity::kInfo,
                                                     "instance_stopped"};
inline constexpr LogEventDefinition kStopDeadlinePassed{
    8005, LogSeverity::kWarning, "stop_deadline_passed"};
inline constexpr LogEventDefinition kControllerCommandRefused{
    8006, LogSeverity::kWarning, "controller_command_refused"};
inline constexpr LogEventDefinition kWorkerReportDropped{
    8007, LogSeverity::kWarning, "worker_report_dropped"};
inline constexpr LogEventDefinition kSettingsReloaded{8008, LogSeverity::kInfo,
                                                      "settings_reloaded"};
inline constexpr LogEventDefinition kDescriptorsDivided{
    8009, LogSeverity::kInfo, "descriptors_divided"};
inline constexpr LogEventDefinition kControlInstancesChanged{
    8010, LogSeverity::kInfo, "control_instances_changed"};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_BRAMLEYRAILD_EVENTS_H_
