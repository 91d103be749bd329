#ifndef PACKAGES_DISPATCH_DISPATCH_EVENTS_H_
#define PACKAGES_DISPATCH_DISPATCH_EVENTS_H_

#include "packages/base/base.h"

namespace bramleyrail {

inline constexpr LogEventDefinition kLeadershipStarted{9201, LogSeverity::kInfo,
                                                       "leadership_begun"};
inline constexpr LogEventDefinition kRunStarted{9202, LogSeverity::kInfo,
                                                "run_started"};
inline constexpr LogEventDefinition kRunRefused{9203, LogSeverity::kWarning,
                                                "run_refused"};
inline constexpr LogEventDefinition kRunEnded{9204, LogSeverity::kInfo,
                                              "run_ended"};
inline constexpr LogEventDefinition kRunAdopted{9205, LogSeverity::kInfo,
                                                "run_adopted"};
inline constexpr LogEventDefinition kRunStopOrdered{9206, LogSeverity::kInfo,
                                                    "run_stop_ordered"};
inline constexpr LogEventDefinition kRunsLost{9207, LogSeverity::kWarning,
                                              "runs_lost"};
inline constexpr LogEventDefinition kWorkerUnreachable{
    9208, LogSeverity::kWarning, "worker_unreachable"};
inline constexpr LogEventDefinition kWorkerReachable{9209, LogSeverity::kInfo,
                                                     "worker_reachable"};
inline constexpr LogEventDefinition kWorkerAvoided{9210, LogSeverity::kWarning,
                                                   "worker_avoided"};
inline constexpr LogEventDefinition kRunCpuLimitChanged{
    9211, LogSeverity::kInfo, "run_paced"};
inline constexpr LogEventDefinition kJobTracked{9212, LogSeverity::kInfo,
                                                "job_tracked"};
inline constexpr LogEventDefinition kJobClosed{9213, LogSeverity::kInfo,
                                               "job_closed"};
inline constexpr LogEventDefinition kAllWorkersContacted{
    9214, LogSeverity::kInfo, "workers_known_again"};
inline constexpr LogEventDefinition kStepWaits{9215, LogSeverity::kInfo,
                                               "step_waits"};
inline constexpr LogEventDefinition kEarlierRunsHeld{9216, LogSeverity::kInfo,
                                                     "earlier_runs_held"};
inline constexpr LogEventDefinition kStepHeldAfterCrash{
    9217, LogSeverity::kInfo, "step_held_after_crash"};
inline constexpr LogEventDefinition kStartPlanned{9250, LogSeverity::kInfo,
                                                  "start_planned"};
inline constexpr LogEventDefinition kStartPlanEnded{9251, LogSeverity::kInfo,
                                                    "start_plan_ended"};
inline constexpr LogEventDefinition kTaskStands{9221, LogSeverity::kInfo,
                                                "task_stands"};
inline constexpr LogEventDefinition kStandingTasks{9222, LogSeverity::kInfo,
                                                   "standing_tasks"};
inline constexpr LogEventDefinition kLeaseWithheld{9224, LogSeverity::kWarning,
                                                   "lease_withheld"};
inline constexpr LogEventDefinition kWorkerCrashCounted{
    9220, LogSeverity::kWarning, "worker_crash_counted"};
inline constexpr LogEventDefinition kCrashSuspected{9225, LogSeverity::kInfo,
                                                    "crash_suspected"};
inline constexpr LogEventDefinition kAccountLimitReached{
    9230, LogSeverity::kInfo, "account_limit_reached"};
inline constexpr LogEventDefinition kUnansweredStart{9223, LogSeverity::kInfo,
                                                     "unanswered_start"};

inline constexpr LogEventDefinition kLongRunningRejected{
    9240, LogSeverity::kInfo, "long_running_rejected"};
inline constexpr LogEventDefinition kLongRunningAdmitted{
    9241, LogSeverity::kInfo, "long_running_admitted"};
inline constexpr LogEventDefinition kJobMemoryFull{9242, LogSeverity::kWarning,
                                                   "job_memory_full"};
inline constexpr LogEventDefinition kOccurrenceHeld{9243, LogSeverity::kWarning,
                                                    "occurrence_held"};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_DISPATCH_EVENTS_H_
