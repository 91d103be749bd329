#ifndef PACKAGES_STATE_COMMAND_H_
#define PACKAGES_STATE_COMMAND_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "packages/state/claim.h"
#include "packages/state/resource.h"
#include "packages/state/task.h"

namespace bramleyrail {

// Commands of operators carry a change id. A command that is sent again with
// the same change id is not applied again and gets the first outcome.

// Creates or changes resources. Either all declarations take effect or none.
struct ApplyResources {
  std::string change_id;
  std::vector<ResourceDeclaration> declarations;
  // One uid for each declaration, used if the resource does not exist yet. The
  // proposer generates them because applying a command must be deterministic.
  std::vector<std::string> new_uids;
};

struct DeleteResource {
  std::string change_id;
  ResourceKind kind = ResourceKind::kService;
  std::string name;
  std::string expected_uid;  // Empty: any.
  std::optional<int64_t> expected_revision;
};

// Drains or undrains a failure domain, rack, worker or target. A target, a rack
// or a worker's failure domain that is not declared yet is created with
// `new_uid`.
struct SetDrained {
  std::string change_id;
  ResourceKind kind = ResourceKind::kFailureDomain;
  std::string name;
  bool drained = true;
  std::string new_uid;
};

struct CancelJob {
  std::string change_id;
  std::string job;
};

// Registers a worker, or updates its boot id or spec. A new boot id ends every
// attempt that is bound to an earlier one.
struct RegisterWorker {
  std::string name;
  std::string boot_id;
  WorkerSpec spec;  // `drained` is ignored.
  std::string new_uid;
};

// Withdraws start permits and lease renewal from a worker that does not report.
struct SuspendWorker {
  std::string name;
  std::string boot_id;
};

// The worker reported again before its lease was known to have expired.
struct ResumeWorker {
  std::string name;
  std::string boot_id;
};

// The lease of a suspended worker is known to have expired. Ends its attempts
// whose behaviour under a partition is kStop.
struct ExpireWorker {
  std::string name;
  std::string boot_id;
};

// Stops or resumes the use of a worker on which all attempts fail.
struct SetWorkerProbation {
  std::string name;
  bool on_probation = true;
  std::string reason;
};

// Creates, reactivates, cancels or stops tasks of a service or batch job so
// that their number matches its spec.
struct ReconcileTasks {
  TaskOwner owner;
};

struct AttemptStart {
  std::string task_id;
  int64_t expected_attempt = 0;  // Newest attempt known to the proposer.
  std::string worker;
  std::string worker_boot_id;
  ResourceAmounts reserved;
};

struct StartAttempts {
  std::vector<AttemptStart> starts;
};

struct DesiredStateChange {
  std::string task_id;
  int64_t attempt = 0;
  DesiredAttemptState desired = DesiredAttemptState::kRun;
  std::string reason;
};

struct SetDesiredAttempts {
  std::vector<DesiredStateChange> changes;
};

struct AttemptReport {
  std::string task_id;
  int64_t attempt = 0;
  ReportedAttemptState state = ReportedAttemptState::kAccepted;
  std::string checkpoint;
  std::string message;
  bool charged = true;  // False: the worker caused the failure, not the task.
};

struct ReportAttempts {
  std::string worker;
  std::string boot_id;
  std::vector<AttemptReport> reports;
};

// Sets the reason why the owner's tasks are pending. Has no effect when none is
// pending.
struct SetPendingReason {
  TaskOwner owner;
  std::string reason;
  bool unplaceable = false;  // No worker is large enough.
};

struct ClaimRequest {
  Claim claim;
};

struct ResolveClaim {
  Claim claim;  // Matched by request id, instance and instance boot id.
};

// Sent when an instance has restarted: its running claims from earlier boots
// become kOutcomeUnknown.
struct ResolveLostClaims {
  std::string instance;
  std::string current_boot_id;
};

// Deletes the claims that were resolved, and the change ids that were
// processed, before the given time.
struct PurgeBefore {
  int64_t unix_ms = 0;
};

using CommandBody = std::variant<ApplyResources,
                                 DeleteResource,
                                 SetDrained,
                                 CancelJob,
                                 RegisterWorker,
                                 SuspendWorker,
                                 ResumeWorker,
                                 ExpireWorker,
                                 SetWorkerProbation,
                                 ReconcileTasks,
                                 StartAttempts,
                                 SetDesiredAttempts,
                                 ReportAttempts,
                                 SetPendingReason,
                                 ClaimRequest,
                                 ResolveClaim,
                                 ResolveLostClaims,
                                 PurgeBefore>;

struct Command {
  int64_t proposed_unix_ms = 0;  // The proposer's clock; for time stamps only.
  CommandBody body;
};

// Name of the kind of command in logs, for example "start_attempts".
std::string_view CommandName(const CommandBody& body);

// Encodes a command as CBOR, as stored in the log: the time, then the index of
// the body in CommandBody, then the fields of the body by position; see
// codec.h.
std::vector<std::byte> EncodeCommand(const Command& command);
Result<Command> DecodeCommand(std::span<const std::byte> data);

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_COMMAND_H_
