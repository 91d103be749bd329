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
struct OwnerRecord;
}

// Replicated facts about a worker beside its resource.
struct WorkerState {
  SharedText name;
  SharedText boot_id;  // Empty when declared, but never registered.
  bool suspended = false;
  bool expired = false;  // Suspended, and its lease has run out.
  bool on_probation = false;
  std::string probation_reason;
  ResourceAmounts reserved;  // Sum over its live attempts.
  absl::btree_set<SharedText, std::less<>> task_ids;  // Live attempts.
  // Earlier boot ids, newest last; a late message that carries one is refused.
  std::vector<std::string> retired_boot_ids;
};

// Counters of one service or batch job, kept up to date with its tasks.
struct TaskCounts {
  int64_t pending = 0;
  int64_t assigned = 0;
  int64_t completed = 0;
  int64_t failed = 0;
  int64_t cancelled = 0;
  int64_t evictions = 0;

  bool operator==(const TaskCounts&) const = default;
};

// What the owner of tasks is waiting for.
struct PendingReason {
  std::string reason;
  bool unplaceable = false;

  bool operator==(const PendingReason&) const = default;
};

enum class ChangeType : uint8_t {
  kCreated,
  kChanged,
  kDeleted,
  kStatusChanged
};

std::string_view ChangeTypeName(ChangeType type);

// One entry of the watch history.
struct ResourceChange {
  int64_t revision = 0;
  ChangeType type = ChangeType::kCreated;
  Resource resource;  // As it was after the change (before, if deleted).
  TaskCounts counts;  // Of a service or batch job, at that revision.
};

// Why one start, change or report of a command took no effect.
struct ItemRefusal {
  int64_t index = 0;  // Position in the command.
  Error error;
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
  // Of commands with several independent items; `refusal` is set as well when
  // none of them took effect.
  std::vector<ItemRefusal> item_refusals;
};

std::vector<std::byte> EncodeOutcome(const CommandOutcome& outcome);
Result<CommandOutcome> DecodeOutcome(std::span<const std::byte> data);

// The replicated state machine. Pure and deterministic: no clock, no I/O, no
// threads; the owner serialises the calls.
class ClusterState {
 public:
  // Changes that the watch history keeps.
  static constexpr size_t kMaximumHistory = 10'000;

  ClusterState();
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  // Applies one committed command. Never fails: see CommandOutcome::refusal.
  // Every command, also a refused one, gets the next revision.
  CommandOutcome Apply(const Command& command);

  // What Apply() would answer, without applying it. Revisions and generations
  // are as after the change; a fresh change id is assumed.
  CommandOutcome PreviewApply(const ApplyResources& command) const;

  // Equal states give equal bytes. The watch history is left out: after a
  // restore, watches from earlier revisions get kCompacted.
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
  // True when the target or its failure domain is drained.
  bool IsTargetDrained(std::string_view target) const;

  // Changes after `after_revision`, at most `limit` but never a part of one
  // revision; kCompacted when the history no longer reaches back that far.
  Result<std::vector<ResourceChange>> ChangesAfter(int64_t after_revision,
                                                   size_t limit) const;
  int64_t oldest_watch_revision() const { return compacted_revision_; }

  // Tasks and workers. Pointers stay valid until the next Apply().
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
  // Ids of the claims of an instance that still run.
  std::vector<std::string> RunningClaimsOf(std::string_view instance) const;

 private:
  using ResourceMap = std::map<std::string, Resource, std::less<>>;
  using ResourceKey = std::pair<ResourceKind, std::string>;

  // The tasks of one service or batch job, by index.
  struct OwnerTasks {
    TaskOwner owner;
    std::string team;      // Charged for the live attempts.
    bool deleted = false;  // The resource is gone; tasks are still to end.
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

  // The first answer to a change id.
  struct KnownChange {
    uint64_t fingerprint = 0;  // Of the change, to refuse reuse for another.
    int64_t accepted_unix_ms = 0;
    CommandOutcome outcome;
  };

  struct InstanceBoots {
    std::string current;
    std::string retired;
  };

  struct PlannedResource {
    Resource resource;  // As after the command.
    bool is_new = false;
    bool differs = false;
  };

  // One for each command.
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
  CommandOutcome Run(const ForgetBefore& command);

  // Runs a change at most once: a repeated change id gets the first answer.
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
  void AdjustOwner(const Resource& resource);
  void RemoveOwner(const Resource& resource);
  bool IsKnownPlace(ResourceKind kind, std::string_view name) const;

  // Watch history.
  void RecordChange(const Resource& resource, ChangeType type);
  void MarkStatusChanged(ResourceKind kind, std::string_view name);
  void RecordStatusChanges();
  void AppendHistory(HistoryEntry entry);

  // Tasks.
  OwnerTasks* FindOwner(std::string_view uid);
  const OwnerTasks* FindOwner(std::string_view uid) const;
  // Both are null when there is no such task.
  std::pair<OwnerTasks*, Task*> MutableTask(std::string_view task_id);
  int64_t WantedTasks(const OwnerTasks& tasks) const;
  bool IsWanted(const OwnerTasks& tasks, const Task& task) const;
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
  // Ends the live attempt. The task waits again, or is cancelled when it is
  // not wanted any more.
  void InterruptAttempt(OwnerTasks& tasks, Task& task, std::string_view reason);
  void EndAttempt(OwnerTasks& tasks, Task& task, TaskState state);
  void Charge(OwnerTasks& tasks, WorkerState& worker, const Task& task);
  void Release(OwnerTasks& tasks, WorkerState& worker, const Task& task);
  void ChargeTeam(const std::string& team, const ResourceAmounts& amounts);
  void ReleaseTeam(const std::string& team, const ResourceAmounts& amounts);
  void ForgetOwnerIfEnded(const std::string& uid);

  // Workers.
  enum class Interrupt { kAll, kStopOnly };
  void InterruptWorker(WorkerState& worker,
                       Interrupt which,
                       std::string_view reason);
  WorkerState* FindBootedWorker(std::string_view name,
                                std::string_view boot_id);

  // Claims.
  void StoreResolution(Claim& claim, const Claim& resolution);
  void IndexClaim(const Claim& claim);

  // Returns false when the record contradicts the resources or workers.
  bool RestoreOwner(codec::OwnerRecord& record);

  void AssertTasksConsistent() const;
  void AssertWorkersConsistent() const;
  void AssertClaimsConsistent() const;

  int64_t revision_ = 0;
  int64_t compacted_revision_ = 0;
  int64_t now_unix_ms_ = 0;  // Of the command that is being applied.
  std::array<ResourceMap, kResourceKindCount> resources_;

  std::deque<HistoryEntry> history_;
  // The stored resources once more, shared by their history entries.
  std::map<ResourceKey, std::shared_ptr<const Resource>> published_;
  // What the command being applied changed, and recorded, so far.
  std::set<ResourceKey> status_changed_;
  std::set<ResourceKey> recorded_;

  std::map<std::string, OwnerTasks, std::less<>> owners_;  // By uid.
  std::map<std::string, ResourceAmounts, std::less<>> reserved_by_team_;
  std::map<std::string, std::set<std::string>> pending_by_owner_;
  std::map<std::string, TaskOwner> owners_to_reconcile_;
  std::map<std::string, WorkerState, std::less<>> worker_states_;

  absl::flat_hash_map<std::string, Claim> claims_;
  std::map<std::string, std::set<std::string>, std::less<>> running_claims_;
  std::set<std::pair<int64_t, std::string>> resolved_claims_;  // By time.
  std::map<std::string, InstanceBoots, std::less<>> instance_boots_;

  absl::flat_hash_map<std::string, KnownChange> known_changes_;
  std::set<std::pair<int64_t, std::string>> known_change_times_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_CLUSTER_STATE_H_
