#ifndef PACKAGES_STATE_CLUSTER_STATE_H_
#define PACKAGES_STATE_CLUSTER_STATE_H_

#include <array>
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

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "packages/base/base.h"
#include "packages/state/claim.h"
#include "packages/state/command.h"
#include "packages/state/resource.h"
#include "packages/state/shared_text.h"
#include "packages/state/task.h"

namespace bramleyrail {

namespace codec {
struct TaskOwnerRecord;
}

// Replicated state of a worker that is not part of its declared resource.
struct WorkerState {
  SharedText name;
  SharedText boot_id;  // Empty: declared, but not yet registered.
  bool suspended = false;
  bool expired = false;  // Suspended, and its lease has expired.
  bool on_probation = false;
  std::string probation_reason;
  ResourceAmounts reserved;  // Sum over its live attempts.
  absl::btree_set<SharedText, std::less<>> task_ids;  // Live attempts.
  // Earlier boot ids, newest last. Late messages with one of these boot ids
  // are refused.
  std::vector<std::string> retired_boot_ids;
};

// Numbers of tasks of one service or batch job in each state.
struct TaskCounts {
  int64_t pending = 0;
  int64_t assigned = 0;
  int64_t completed = 0;
  int64_t failed = 0;
  int64_t cancelled = 0;
  int64_t evictions = 0;  // Since the service or job was created.

  bool operator==(const TaskCounts&) const = default;
};

// Why the pending tasks of a service or batch job are not placed.
struct PendingReason {
  std::string reason;
  bool unplaceable = false;  // No worker is large enough for a task.

  bool operator==(const PendingReason&) const = default;
};

enum class ChangeType : uint8_t {
  kCreated,
  kChanged,
  kDeleted,
  kStatusChanged
};

std::string_view ChangeTypeName(ChangeType type);

// One change of a resource, as watches report it.
struct ResourceChange {
  int64_t revision = 0;
  ChangeType type = ChangeType::kCreated;
  // After the change; for a deletion, before it.
  Resource resource;
  TaskCounts counts;  // Services and batch jobs only; at that revision.
};

// The error of one refused item (start, change or report) of a command.
struct ItemRefusal {
  int64_t index = 0;  // Position of the item in the command.
  Error error;
};

// Result of applying a command. Refusals (conflict, not found, failed
// precondition) are outcomes as well: every replica computes the same one.
struct CommandOutcome {
  int64_t revision = 0;  // Revision after the command.
  std::optional<Error> refusal;
  // Resources after the command; on a conflict, the current ones.
  std::vector<Resource> resources;
  std::optional<Claim> claim;  // Claim commands: the stored claim.
  bool claim_created = false;  // ClaimRequest: this command created it.
  // Number of starts, reports or other changes that took effect.
  int64_t accepted = 0;
  // Refused items of a command whose items are applied independently. `refusal`
  // is set as well when no item took effect.
  std::vector<ItemRefusal> item_refusals;
};

std::vector<std::byte> EncodeOutcome(const CommandOutcome& outcome);
Result<CommandOutcome> DecodeOutcome(std::span<const std::byte> data);

// The replicated state machine. Deterministic, without clock, I/O or threads.
// Not thread-safe: the owner serialises the calls.
class ClusterState {
 public:
  // Maximum number of changes that are stored for watches.
  static constexpr size_t kMaximumHistory = 10'000;

  ClusterState();
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  // Applies one committed command. Refusals are reported in
  // CommandOutcome::refusal. Every command increases the revision, also a
  // refused one.
  CommandOutcome Apply(const Command& command);

  // Returns the outcome that Apply() would return, without changing the state.
  // Revisions and generations are those after the change. The change id is
  // assumed to be new.
  CommandOutcome PreviewApply(const ApplyResources& command) const;

  // Equal states give equal bytes. The snapshot does not contain the watch
  // history: after a restore, watches from earlier revisions get kCompacted.
  std::vector<std::byte> EncodeSnapshot() const;
  static Result<std::unique_ptr<ClusterState>> FromSnapshot(
      std::span<const std::byte> data);

  // Aborts when the tables contradict each other. Takes time linear in the size
  // of the state.
  void AssertConsistent() const;

  int64_t revision() const { return revision_; }

  // Resources.
  const Resource* FindResource(ResourceKind kind, std::string_view name) const;
  const std::map<std::string, Resource, std::less<>>& Resources(
      ResourceKind kind) const;
  // True when the worker, its rack or its failure domain is drained.
  bool IsWorkerDrained(std::string_view worker) const;
  bool IsFailureDomainDrained(std::string_view failure_domain) const;
  // True when the target or its failure domain is drained.
  bool IsTargetDrained(std::string_view target) const;

  // Returns the changes after `after_revision`. Stops at `limit` changes, but
  // includes all changes of the last revision. kCompacted when the history no
  // longer contains all these changes.
  Result<std::vector<ResourceChange>> ChangesAfter(int64_t after_revision,
                                                   size_t limit) const;
  int64_t oldest_watch_revision() const { return compacted_revision_; }

  // Tasks and workers. Returned pointers are valid until the next Apply().
  const Task* FindTask(std::string_view task_id) const;
  const WorkerState* FindWorkerState(std::string_view worker) const;
  const std::map<std::string, WorkerState, std::less<>>& worker_states() const {
    return worker_states_;
  }
  TaskCounts CountsOf(std::string_view owner_uid) const;
  std::vector<const Task*> TasksOf(std::string_view owner_uid) const;
  // Ids of the pending tasks of each owner (service or batch job), by owner
  // uid.
  const std::map<std::string, std::set<std::string>>& pending_by_owner() const {
    return pending_by_owner_;
  }
  // Owners that were changed or deleted since their last ReconcileTasks
  // command, by uid.
  const std::map<std::string, TaskOwner>& owners_to_reconcile() const {
    return owners_to_reconcile_;
  }
  const PendingReason* FindPendingReason(std::string_view owner_uid) const;
  // Sum of the reservations of the team's live attempts.
  ResourceAmounts ReservedBy(std::string_view team) const;

  const Claim* FindClaim(std::string_view request_id) const;
  size_t claim_count() const { return claims_.size(); }
  // Ids of the instance's claims in state kRunning.
  std::vector<std::string> RunningClaimsOf(std::string_view instance) const;

 private:
  using ResourceMap = std::map<std::string, Resource, std::less<>>;
  using ResourceKey = std::pair<ResourceKind, std::string>;

  // The tasks of one service or batch job, by index.
  struct OwnerTasks {
    TaskOwner owner;
    std::string team;  // The reservations count against this team's quota.
    // The resource is deleted, but attempts are still live.
    bool deleted = false;
    ResourceAmounts reserved;
    TaskCounts counts;
    std::optional<PendingReason> pending_reason;
    std::vector<Task> tasks;
  };

  struct HistoryEntry {
    int64_t revision = 0;
    ChangeType type = ChangeType::kCreated;
    std::shared_ptr<const Resource> resource;
    TaskCounts counts;
  };

  // Outcome of the first command with a change id, returned to resends.
  struct ProcessedChange {
    // Hash of the change. Detects a change id that is reused for another
    // change.
    uint64_t fingerprint = 0;
    int64_t processed_unix_ms = 0;
    CommandOutcome outcome;
  };

  struct InstanceBootIds {
    std::string current;
    std::string retired;
  };

  struct PlannedResource {
    Resource resource;  // After the command.
    bool is_new = false;
    bool differs = false;
  };

  // Each overload applies one kind of command.
  CommandOutcome Run(const ApplyResources& command);
  CommandOutcome Run(const DeleteResource& command);
  CommandOutcome Run(const SetDrained& command);
  CommandOutcome Run(const CancelJob& command);
  CommandOutcome Run(const RegisterWorker& command);
  CommandOutcome Run(const SuspendWorker& command);
  CommandOutcome Run(const ResumeWorker& command);
  CommandOutcome Run(const ExpireWorker& command);
  CommandOutcome Run(const SetWorkerProbation& command);
  CommandOutcome Run(const ReconcileTasks& command);
  CommandOutcome Run(const StartAttempts& command);
  CommandOutcome Run(const SetDesiredAttempts& command);
  CommandOutcome Run(const ReportAttempts& command);
  CommandOutcome Run(const SetPendingReason& command);
  CommandOutcome Run(const ClaimRequest& command);
  CommandOutcome Run(const ResolveClaim& command);
  CommandOutcome Run(const ResolveLostClaims& command);
  CommandOutcome Run(const PurgeBefore& command);

  // Runs a change at most once: a resend with the same change id gets the
  // outcome of the first command.
  template <typename Change>
  CommandOutcome RunOnce(const Change& change);

  CommandOutcome Refuse(Error error) const;
  CommandOutcome Accept(const Resource& resource) const;

  // Resources.
  ResourceMap& MutableResources(ResourceKind kind);
  std::optional<CommandOutcome> PlanApply(
      const ApplyResources& command,
      int64_t revision,
      std::vector<PlannedResource>* plan) const;
  void CheckReferences(const ApplyResources& command,
                       std::vector<FieldFault>* faults) const;
  std::optional<Error> CheckUnreferenced(const Resource& resource) const;
  const Resource& StoreResource(Resource resource, ChangeType type);
  void UpdateOwner(const Resource& resource);
  void MarkOwnerDeleted(const Resource& resource);
  bool IsKnownLocation(ResourceKind kind, std::string_view name) const;

  // Watch history.
  void RecordChange(const Resource& resource, ChangeType type);
  void MarkStatusChanged(ResourceKind kind, std::string_view name);
  void RecordStatusChanges();
  void AppendHistory(HistoryEntry entry);

  // Tasks.
  OwnerTasks* FindOwner(std::string_view uid);
  const OwnerTasks* FindOwner(std::string_view uid) const;
  // Both are null when the task does not exist.
  std::pair<OwnerTasks*, Task*> MutableTask(std::string_view task_id);
  int64_t DesiredTaskCount(const OwnerTasks& tasks) const;
  bool IsWithinDesiredCount(const OwnerTasks& tasks, const Task& task) const;
  void SetTaskState(OwnerTasks& tasks, Task& task, TaskState state);
  void CreateTask(OwnerTasks& tasks);
  bool ReconcileTask(OwnerTasks& tasks, Task& task);
  std::optional<Error> CheckStart(const AttemptStart& start) const;
  std::optional<Error> CheckStartWorker(const AttemptStart& start) const;
  std::optional<Error> CheckStartAmounts(const AttemptStart& start,
                                         const OwnerTasks& tasks) const;
  void StartAttempt(const AttemptStart& start);
  std::optional<Error> ApplyReport(const ReportAttempts& command,
                                   const AttemptReport& report);
  void EndReportedAttempt(OwnerTasks& tasks,
                          Task& task,
                          const AttemptReport& report);
  // Ends the live attempt. The task becomes pending, or cancelled when its
  // owner no longer declares it.
  void InterruptAttempt(OwnerTasks& tasks, Task& task, std::string_view reason);
  void EndAttempt(OwnerTasks& tasks, Task& task, TaskState state);
  void Charge(OwnerTasks& tasks, WorkerState& worker, const Task& task);
  void Release(OwnerTasks& tasks, WorkerState& worker, const Task& task);
  void ChargeTeam(const std::string& team, const ResourceAmounts& amounts);
  void ReleaseTeam(const std::string& team, const ResourceAmounts& amounts);
  void PurgeOwnerIfEnded(const std::string& uid);

  // Workers. kStoppingOnPartition selects the attempts whose behaviour under a
  // partition is kStop.
  enum class InterruptScope { kAllAttempts, kStoppingOnPartition };
  void InterruptAttemptsOf(WorkerState& worker,
                           InterruptScope scope,
                           std::string_view reason);
  WorkerState* FindWorkerWithBootId(std::string_view name,
                                    std::string_view boot_id);

  // Claims.
  void StoreResolution(Claim& claim, const Claim& resolution);
  void IndexClaim(const Claim& claim);

  // Returns false when the record contradicts the restored resources or
  // workers.
  bool RestoreOwner(codec::TaskOwnerRecord& record);

  void AssertTasksConsistent() const;
  void AssertWorkersConsistent() const;
  void AssertClaimsConsistent() const;

  int64_t revision_ = 0;
  int64_t compacted_revision_ = 0;
  int64_t now_unix_ms_ = 0;  // Time of the command that is being applied.
  std::array<ResourceMap, kResourceKindCount> resources_;

  std::deque<HistoryEntry> history_;
  // Copies of the stored resources, shared with their history entries.
  std::map<ResourceKey, std::shared_ptr<const Resource>> shared_resources_;
  // Resources whose status was changed, and resources with a history entry, by
  // the command that is being applied.
  std::set<ResourceKey> changed_statuses_;
  std::set<ResourceKey> recorded_changes_;

  std::map<std::string, OwnerTasks, std::less<>> owners_;  // Keyed by uid.
  std::map<std::string, ResourceAmounts, std::less<>> reserved_by_team_;
  std::map<std::string, std::set<std::string>> pending_by_owner_;
  std::map<std::string, TaskOwner> owners_to_reconcile_;
  std::map<std::string, WorkerState, std::less<>> worker_states_;

  absl::flat_hash_map<std::string, Claim> claims_;
  std::map<std::string, std::set<std::string>, std::less<>> running_claims_;
  // Request ids by the time of resolution.
  std::set<std::pair<int64_t, std::string>> resolved_claims_;
  std::map<std::string, InstanceBootIds, std::less<>> instance_boot_ids_;

  absl::flat_hash_map<std::string, ProcessedChange> processed_changes_;
  std::set<std::pair<int64_t, std::string>> processed_change_times_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_CLUSTER_STATE_H_
