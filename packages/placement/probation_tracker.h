#ifndef PACKAGES_PLACEMENT_PROBATION_TRACKER_H_
#define PACKAGES_PLACEMENT_PROBATION_TRACKER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "packages/placement/proposal_rate_limiter.h"
#include "packages/placement/worker_report.h"

namespace bramleyrail {

// Detects workers on which every task fails. Failures soon after a start are
// held back for a short time, until it is clear whether the task or the worker
// caused them. Does no I/O.
class ProbationTracker {
 public:
  ProbationTracker();

  // True for a failure that must go to AddEarlyFailure instead of the log.
  static bool IsEarlyFailure(const AttemptReport& report, int64_t ran_ms);

  // Holds back an early failure. The worker repeats the report in each poll;
  // only the first one counts.
  void AddEarlyFailure(const WorkerReport& worker,
                       const AttemptReport& report,
                       std::string_view owner_uid,
                       MonotonicTime now);
  // Records that a task completed on the worker.
  void AddSuccess(std::string_view worker);

  // Releases failures whose cause is decided, and starts or ends probations.
  void Step(const ClusterState& state,
            MonotonicTime now,
            std::vector<CommandBody>* commands);

 private:
  struct Failure {
    std::string owner_uid;
    AttemptReport report;
    MonotonicTime added;
    bool released = false;
  };
  struct EarlyFailures {
    std::string boot_id;
    bool succeeded = false;         // Since the last step.
    std::vector<Failure> failures;  // Since the last success.
  };

  void StepWorker(const std::string& name,
                  const WorkerState* worker,
                  EarlyFailures* early_failures,
                  MonotonicTime now,
                  std::vector<CommandBody>* commands);
  void EndProbations(const ClusterState& state,
                     MonotonicTime now,
                     std::vector<CommandBody>* commands);

  absl::flat_hash_map<std::string, EarlyFailures>
      failures_by_worker_;  // By worker.
  struct Probation {
    std::string boot_id;
    MonotonicTime since;
  };
  absl::flat_hash_map<std::string, Probation> probations_;  // By worker.
  ProposalRateLimiter proposal_limiter_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_PROBATION_TRACKER_H_
