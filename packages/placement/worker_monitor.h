#ifndef PACKAGES_PLACEMENT_WORKER_MONITOR_H_
#define PACKAGES_PLACEMENT_WORKER_MONITOR_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "packages/placement/proposal_rate_limiter.h"
#include "packages/placement/worker_report.h"

namespace bramleyrail {

// A worker without a poll for this long is suspended.
inline constexpr Milliseconds kWorkerSilenceTimeout{5000};
// Validity of the permit to start attempts, and of the lease. The worker counts
// both from the time at which it sent the poll.
inline constexpr Milliseconds kStartPermitDuration{1000};
inline constexpr Milliseconds kWorkerLeaseDuration{10'000};
// Time from the commit of a suspension until no task with the behaviour `stop`
// can still run on the worker: maximum age of a fresh state + lease, and 5% of
// both for clocks that run at different rates.
inline constexpr Milliseconds kWorkerExpiryDelay{
    (kMaximumFreshStateAge + kWorkerLeaseDuration).count() * 105 / 100 + 1};

// Registers, suspends, resumes and expires workers. An instance belongs to one
// term of a leader and starts without any contact times. Does no I/O.
class WorkerMonitor {
 public:
  WorkerMonitor();

  // Records the contact and registers the worker if necessary. Returns false
  // when the rest of the report must be ignored.
  bool HandleReport(const ClusterState& state,
                    const WorkerReport& report,
                    MonotonicTime now,
                    const std::function<std::string()>& new_uid,
                    std::vector<CommandBody>* commands);

  // Suspends, resumes and expires the registered workers as needed.
  void Step(const ClusterState& state,
            MonotonicTime now,
            std::vector<CommandBody>* commands);

 private:
  struct WorkerContact {
    MonotonicTime
        last_contact;  // First seen or last report, whichever is later.
    std::optional<MonotonicTime> last_report;
    std::optional<MonotonicTime> suspended_since;
  };

  void StepWorker(const std::string& name,
                  const WorkerState& worker,
                  MonotonicTime now,
                  std::vector<CommandBody>* commands);
  void StepSuspended(const std::string& name,
                     const WorkerState& worker,
                     WorkerContact* contact,
                     MonotonicTime now,
                     std::vector<CommandBody>* commands);
  WorkerContact& ContactOf(std::string_view name, MonotonicTime now);

  absl::flat_hash_map<std::string, WorkerContact> contacts_;
  ProposalRateLimiter proposal_limiter_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_WORKER_MONITOR_H_
