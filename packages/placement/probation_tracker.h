#ifndef PACKAGES_PLACEMENT_PROBATION_TRACKER_H_
#define PACKAGES_PLACEMENT_PROBATION_TRACKER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "packages/placement/proposal_gate.h"
#include "packages/placement/worker_report.h"

namespace bramleyrail {

// Finds workers that fail everything. Failures soon after a start are held
// back for a short time, until it is known whether the task or the worker is
// to blame. Pure.
class ProbationTracker {
 public:
  ProbationTracker();

  // True for a failure that goes to AddEarlyFailure instead of the log.
  static bool IsEarlyFailure(const AttemptReport& report, int64_t ran_ms);

  // The worker repeats the report in each poll; only the first one counts.
  void AddEarlyFailure(const WorkerReport& worker,
                       const AttemptReport& report,
                       std::string_view owner_uid,
                       MonotonicTime now);
  // A task completed on the worker.
  void AddSuccess(std::string_view worker);

  // Releases failures that are decided, and sets or ends probations.
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
  struct Entry {
    std::string boot_id;
    bool succeeded = false;  // Since the last step.
    std::vector<Failure> streak;
  };

  void StepWorker(const std::string& name,
                  const WorkerState* worker,
                  Entry* entry,
                  MonotonicTime now,
                  std::vector<CommandBody>* commands);
  void EndProbations(const ClusterState& state,
                     MonotonicTime now,
                     std::vector<CommandBody>* commands);

  absl::flat_hash_map<std::string, Entry> entries_;  // By worker.
  struct Probation {
    std::string boot_id;
    MonotonicTime since;
  };
  absl::flat_hash_map<std::string, Probation> probations_;  // By worker.
  ProposalGate gate_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_PROBATION_TRACKER_H_
