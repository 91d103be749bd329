#ifndef PACKAGES_DISPATCH_TESTS_LIVENESS_BOUNDS_H_
#define PACKAGES_DISPATCH_TESTS_LIVENESS_BOUNDS_H_

// Sizes and durations of LivenessScenario.

#include <cstddef>
#include <cstdint>

#include "packages/queue/queue.h"

namespace bramleyrail {

inline constexpr int kWorkers = 6;
// Of these, how many may be gone or draining after the last fault. The others
// have room for all long-running tasks however these are spread: a large task
// does not fit on a worker with more than 3,000 millis of the small tasks and
// the gang, of which there is at most one, nor beside the other large task.
inline constexpr int kMaximumWorkersGone = 2;
inline constexpr ResourceAmounts kCapacity{8'000, 64'000, 0};
inline constexpr int64_t kLargeMillis = 5'000;
inline constexpr int kLargeTasks = 2;
inline constexpr int64_t kSmallMillis = 1'000;
inline constexpr int kSmallTasks = 3;
inline constexpr int64_t kGangMillis = 2'000;
inline constexpr int kGangTasks = 2;
inline constexpr int64_t kLongRunningMillis = kLargeTasks * kLargeMillis +
                                              kSmallTasks * kSmallMillis +
                                              kGangTasks * kGangMillis;
inline constexpr int64_t kOrdinaryMillis = 2'000;
inline constexpr int kOrdinaryTasksPerWorker = 4;
// More than all workers can start at the same time.
inline constexpr size_t kWaitingOrdinaryTasks =
    size_t{2} * kWorkers * kOrdinaryTasksPerWorker;
// More than a leader tries in one pass.
inline constexpr size_t kManyWaitingOrdinaryTasks = 450;
inline constexpr Milliseconds kTaskTime{400};
inline constexpr Milliseconds kSubmissionInterval{20};
// Ordinary jobs are on time and have the nearer objective, so that they come
// before a long-running job that has this one.
inline constexpr int64_t kOrdinaryObjectiveMs = 5'000;
inline constexpr int64_t kFarObjectiveMs = 600'000;

inline constexpr Milliseconds kLease{5'000};
// By a clock that is 2% slow.
inline constexpr Milliseconds kSlowLease = kLease * 51 / 50;
// What a leader adds to the leases of its predecessors, and to its own.
inline constexpr Milliseconds kLeaseMargin{600};
inline constexpr Milliseconds kCallTimeout{1'000};
// Pauses before a failed lease renewal, a start, a stop and a placement are
// tried again.
inline constexpr Milliseconds kRetryIntervals{200 + 100 + 500 + 75};
// A worker that has rejected a start, or a task whose start was rejected, waits
// this long.
inline constexpr Milliseconds kRejectionPause{1'000};
// The outcome of an order, which may have been lost, and of the next one.
inline constexpr Milliseconds kOrderTime =
    kCallTimeout + kRetryIntervals + kRejectionPause;
// A silent worker may have been granted a lease until a call shows that it is
// silent, and after the lease a second call confirms that.
inline constexpr Milliseconds kSilence =
    kCallTimeout + kSlowLease + kLeaseMargin + kOrderTime;
// A step that has waited this long has a worker reserved.
inline constexpr Milliseconds kReservationWait{500};
// From the end of a run to the leader's knowledge, from there to the next
// placement, and from the placement to the start: the record and one order.
inline constexpr Milliseconds kReportTime{100};
inline constexpr Milliseconds kPlacementInterval{75};
inline constexpr Milliseconds kStartTime{100};
// One worker at a time is reserved, and the ordinary runs on it have to end.
inline constexpr Milliseconds kRoomTime = kReservationWait + kTaskTime +
                                          kReportTime + kPlacementInterval +
                                          kStartTime;
// A gang waits for its members to end.
inline constexpr Milliseconds kGangEndTime{300};
// A worker gets one task that may crash it in this time.
inline constexpr Milliseconds kCrashAttribution{3'000};
// A task that may crash its worker waits this long for one without other recent
// runs, and the room on a reserved worker may be lost meanwhile.
inline constexpr Milliseconds kIsolationWait{1'000};
inline constexpr Milliseconds kMaximumDownTime{3'000};
// A worker that was restarted registers within this time. If it is gone then,
// orders to its earlier incarnation count for the maximum lease and 1.6 s.
inline constexpr Milliseconds kRegistrationTime{1'500};
inline constexpr Milliseconds kInheritedLeaseExcess{510 + 1'000};
inline constexpr Milliseconds kRestart =
    kMaximumDownTime + kRegistrationTime + kInheritedLeaseExcess;

// Leaders that are paused for longer than a call discard responses, and can't
// know which ordinary tasks are done. See long_running_test.cc.
inline constexpr int kMaximumPauseMs = 900;
inline constexpr int kMaximumPlacementStallMs = 3'000;
inline constexpr Milliseconds kMaximumDeliveryDelay{12'000};
inline constexpr Milliseconds kHeartbeatInterval{1'000};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_TESTS_LIVENESS_BOUNDS_H_
