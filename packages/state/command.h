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

// Commands of operators carry a change id: a resend gets the first answer.

// Creates or changes resources; applied whole or not at all.
struct ApplyResources {
  std::string change_id;
  std::vector<ResourceDeclaration> declarations;
  // Uids for resources that do not exist yet, one for each declaration. They
  // are made by the proposer, since applying a command must be deterministic.
  std::vector<std::string> new_uids;
};

struct DeleteResource {
  std::string change_id;
  ResourceKind kind = ResourceKind::kService;
  std::string name;
  std::string expected_uid;  // Empty: any.
  std::optional<int64_t> expected_revision;
};

// Drains or undrains a failure domain, rack, worker or target. A target or
// rack that is not declared yet is created with `new_uid`.
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

// A worker announced itself, with a new boot id or changed properties. Ends
// every attempt that is bound to an earlier boot id.
struct RegisterWorker {
  std::string name;
  std::string boot_id;
  WorkerSpec spec;  // `drained` is ignored.
  std::string new_uid;
};

// Withdraws start permits and lease renewal from a silent worker.
struct SuspendWorker {
  std::string name;
  std::string boot_id;
};

// The worker reported again before its lease had certainly run out.
struct ResumeWorker {
  std::string name;
  std::string boot_id;
};

// The lease of a suspended worker has certainly run out: ends its attempts
// whose behaviour under a partition is kStop.
struct ExpireWorker {
  std::string name;
  std::string boot_id;
};

// Takes a worker that fails everything out of use, or puts it back.
struct SetWorkerProbation {
  std::string name;
  bool on_probation = true;
  std::string reason;
};

// Brings the number of tasks of a service or batch job in line with its spec.
struct ReconcileTasks {
  TaskOwner owner;
};

struct AttemptStart {
  std::string task_id;
  int64_t expected_attempt = 0;  // Newest attempt that the proposer has seen.
  std::string worker;
  std::string worker_boot_id;
  ResourceAmounts reserved;
};

struct StartAttempts {
  std::vector<AttemptStart> starts;
};

struct DesiredAttempt {
  std::string task_id;
  int64_t attempt = 0;
  DesiredAttemptState desired = DesiredAttemptState::kRun;
  std::string reason;
};

struct SetDesiredAttempts {
  std::vector<DesiredAttempt> changes;
};

struct AttemptReport {
  std::string task_id;
  int64_t attempt = 0;
  ReportedAttemptState state = ReportedAttemptState::kAccepted;
  std::string checkpoint;
  std::string message;
  bool charged = true;  // False: a failure is the worker's, not the task's.
};

struct ReportAttempts {
  std::string worker;
  std::string boot_id;
  std::vector<AttemptReport> reports;
};

// Says why tasks wait; no effect on tasks that do not wait any more.
struct SetPendingReason {
  TaskOwner owner;
  std::string reason;
  bool unplaceable = false;  // Fits no worker at all.
};

struct ClaimRequest {
  Claim claim;
};

struct ResolveClaim {
  Claim claim;  // Matched by request id, instance and instance boot id.
};

// An instance has started anew: claims of its earlier boots that still run
// become kOutcomeUnknown.
struct ResolveLostClaims {
  std::string instance;
  std::string current_boot_id;
};

// Forgets claims resolved, and change ids accepted, before the given time.
struct ForgetBefore {
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
                                 ForgetBefore>;

struct Command {
  int64_t proposed_unix_ms = 0;  // The proposer's clock; for records only.
  CommandBody body;
};

// Names the kind of command in logs, for example "start_attempts".
std::string_view CommandName(const CommandBody& body);

// CBOR, as stored in the log. The time comes first, then the index of the body
// in CommandBody and its fields by position; see codec.h.
std::vector<std::byte> EncodeCommand(const Command& command);
Result<Command> DecodeCommand(std::span<const std::byte> data);

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_COMMAND_H_
