#ifndef PACKAGES_REPLICATION_FAKES_SAFETY_CHECKER_H_
#define PACKAGES_REPLICATION_FAKES_SAFETY_CHECKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/replication/replica_driver.h"

namespace bramleyrail {

// Checks the behaviour of the replicas of a simulated cluster against the
// guarantees of the log. Records the first violation.
class SafetyChecker {
 public:
  // Checks a replica after a step. `global_now` and `fresh_at` are simulated
  // time in microseconds; `fresh_at` is negative when the state was never
  // fresh.
  void ObserveStep(const std::string& name,
                   const ReplicaCore& core,
                   int64_t global_now,
                   int64_t fresh_at);
  void ObserveMessage(const std::string& name, const ConsensusMessage& message);
  void ObserveLeases(const std::vector<std::string>& holders);
  // Called after `name` restarted: its committed entries are checked again.
  void ObserveRestart(const std::string& name);
  void ObserveLostDisk(const std::string& name);
  void ObserveApplied(LogIndex index, uint64_t state_hash);
  void ObserveCommand(const std::string& command);
  void ObserveSubmitted(const std::string& command);
  void ObserveOutcome(const std::string& command, const Result<Bytes>& result);
  void CheckLogsMatch(const ReplicaCore& left, const ReplicaCore& right);
  // Records a violation, unless there is one already.
  void Fail(const std::string& message);
  // Checks that each proposal has had exactly one callback.
  void CheckOutcomes();

  // Description of the first violation; empty if there is none.
  const std::string& violation() const { return violation_; }
  LogIndex committed() const { return committed_.size(); }

 private:
  void CheckLeader(const ReplicaCore& core);
  void CheckCommitted(const std::string& name, const ReplicaCore& core);

  std::string violation_;
  std::map<Term, ReplicaId> leaders_;
  std::vector<LogEntry> committed_;  // Entry i has index i + 1.
  // Commit index over time, for the freshness of states.
  std::vector<std::pair<int64_t, LogIndex>> commit_times_;
  std::map<std::string, LogIndex> checked_index_;
  std::map<std::pair<ReplicaId, Term>, ReplicaId> votes_;
  std::map<std::string, ReplicaId> ids_;
  std::set<ReplicaId> lost_ids_;
  std::map<LogIndex, uint64_t> state_hashes_;
  std::set<std::string> applied_commands_;
  std::set<std::string> rejected_commands_;
  std::map<std::string, int> outcomes_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_REPLICATION_FAKES_SAFETY_CHECKER_H_
