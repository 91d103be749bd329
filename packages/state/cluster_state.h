#ifndef PACKAGES_STATE_CLUSTER_STATE_H_
#define PACKAGES_STATE_CLUSTER_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "packages/base/base.h"
#include "packages/state/claim.h"
#include "packages/state/command.h"
#include "packages/state/resource.h"
#include "packages/state/task.h"

namespace bramleyrail {

// Replicated facts about a worker beside its resource.
struct WorkerState {
  std::string boot_id;
  bool suspended = false;
  bool expired = false;  // Suspended, and its lease has run out.
  bool on_probation = false;
  std::string probation_reason;
  ResourceAmounts reserved;        // Sum over its live attempts.
  std::set<std::string> task_ids;  // Live attempts.
};

// Counters of one service or batch job, kept up to date with its tasks.
struct TaskCounts {
  int64_t pending = 0;
  int64_t assigned = 0;
  int64_t completed = 0;
  int64_t failed = 0;
  int64_t cancelled = 0;
  int64_t evictions = 0;
};

// What the owner of tasks is waiting for.
struct PendingReason {
  std::string reason;
  bool unplaceable = false;
};

enum class ChangeType { kCreated, kChanged, kDeleted, kStatusChanged };

std::string_view ChangeTypeName(ChangeType type);

// One entry of the watch history.
struct ResourceChange {
  int64_t revision = 0;
  ChangeType type = ChangeType::kCreated;
  Resource resource;  // As it was after the change (before, if deleted).
  TaskCounts counts;  // Of a service or batch job, at that revision.
};

// What applying a command gave. Refusals (conflict, not found, a broken
// precondition) are outcomes as well: they are the same on every replica.
struct CommandOutcome {
  int64_t revision = 0;  // Revision after the command.
  std::optional<Error> refusal;
  std::vector<Resource> resources;  // Resulting, or current on a conflict.
  std::optional<Claim> claim;       // Claim commands: the claim in force.
  bool claim_won = false;           // ClaimRequest: this command created it.
  int64_t accepted = 0;  // Starts, reports or changes that took effect.
};

std::vector<std::byte> EncodeOutcome(const CommandOutcome& outcome);
Result<CommandOutcome> DecodeOutcome(std::span<const std::byte> data);

// The replicated state machine. Pure and deterministic: no clock, no I/O, no
// threads; the owner serialises the calls.
class ClusterState {
 public:
  ClusterState();

  // Applies one committed command. Never fails: see CommandOutcome::refusal.
  CommandOutcome Apply(const Command& command);

  std::vector<std::byte> EncodeSnapshot() const;
  static Result<std::unique_ptr<ClusterState>> FromSnapshot(
      std::span<const std::byte> data);

  // Aborts when an invariant between the tables is broken. O(size).
  void AssertConsistent() const;

  int64_t revision() const { return revision_; }

  // Resources.
  const Resource* FindResource(ResourceKind kind, std::string_view name) const;
  const std::map<std::string, Resource, std::less<>>& Resources(
      ResourceKind kind) const;
  // True when the worker, its rack or its failure domain is drained.
  bool IsWorkerDrained(std::string_view worker) const;
  bool IsFailureDomainDrained(std::string_view failure_domain) const;

  // Changes after `after_revision`, at most `limit`; kCompacted when the
  // history no longer reaches back that far.
  Result<std::vector<ResourceChange>> ChangesAfter(int64_t after_revision,
                                                   size_t limit) const;
  int64_t oldest_watch_revision() const { return compacted_revision_; }

  // Tasks and workers.
  const Task* FindTask(std::string_view task_id) const;
  const WorkerState* FindWorkerState(std::string_view worker) const;
  const std::map<std::string, WorkerState, std::less<>>& worker_states() const {
    return worker_states_;
  }
  TaskCounts CountsOf(std::string_view owner_uid) const;
  std::vector<const Task*> TasksOf(std::string_view owner_uid) const;
  // Owners (services and batch jobs) that have pending tasks, by uid.
  const std::map<std::string, std::set<std::string>>& pending_by_owner() const {
    return pending_by_owner_;
  }
  // Owners whose tasks are not in line with their spec, by uid.
  const std::map<std::string, TaskOwner>& owners_to_reconcile() const {
    return owners_to_reconcile_;
  }
  const PendingReason* FindPendingReason(std::string_view owner_uid) const;
  // Sum of the reservations of live attempts of a team.
  ResourceAmounts ReservedBy(std::string_view team) const;

  const Claim* FindClaim(std::string_view request_id) const;
  size_t claim_count() const { return claims_.size(); }

 private:
  int64_t revision_ = 0;
  int64_t compacted_revision_ = 0;
  std::map<std::string, std::set<std::string>> pending_by_owner_;
  std::map<std::string, TaskOwner> owners_to_reconcile_;
  std::map<std::string, WorkerState, std::less<>> worker_states_;
  absl::flat_hash_map<std::string, Claim> claims_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_CLUSTER_STATE_H_
