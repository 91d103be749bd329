#ifndef PACKAGES_PLACEMENT_WORKER_MONITOR_H_
#define PACKAGES_PLACEMENT_WORKER_MONITOR_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "packages/placement/proposal_gate.h"
#include "packages/placement/worker_report.h"

namespace bramleyrail {

// A worker that was silent for this long is suspended.
inline constexpr Milliseconds kSilenceLimit{5000};
// Both counted by the worker from the moment it sent the poll.
inline constexpr Milliseconds kStartPermit{1000};
inline constexpr Milliseconds kWorkerLease{10'000};
// Time from the commit of a suspension until no task with the behaviour `stop`
// can run on the worker any more: freshness + lease, and 5% of both for clocks
// that run at different rates.
inline constexpr Milliseconds kSuspensionWait{
    (kFreshnessLimit + kWorkerLease).count() * 105 / 100 + 1};

// Registers workers, and suspends, resumes and expires them. It belongs to one
// term of a leader and starts without knowledge. Pure.
class WorkerMonitor {
 public:
  WorkerMonitor();

  // Returns false when the report must be ignored.
  bool Contact(const ClusterState& state,
               const WorkerReport& report,
               MonotonicTime now,
               const std::function<std::string()>& new_uid,
               std::vector<CommandBody>* commands);

  // Looks at every registered worker.
  void Step(const ClusterState& state,
            MonotonicTime now,
            std::vector<CommandBody>* commands);

 private:
  struct Entry {
    MonotonicTime last_contact;  // At least the first sight of the worker.
    std::optional<MonotonicTime> last_report;
    std::optional<MonotonicTime> suspended_since;
  };

  void StepWorker(const std::string& name,
                  const WorkerState& worker,
                  MonotonicTime now,
                  std::vector<CommandBody>* commands);
  void StepSuspended(const std::string& name,
                     const WorkerState& worker,
                     Entry* entry,
                     MonotonicTime now,
                     std::vector<CommandBody>* commands);
  Entry& EntryOf(std::string_view name, MonotonicTime now);

  absl::flat_hash_map<std::string, Entry> entries_;
  ProposalGate gate_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_WORKER_MONITOR_H_
