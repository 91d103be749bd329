#ifndef PACKAGES_STATE_CODEC_H_
#define PACKAGES_STATE_CODEC_H_

// Internal to the state package: the stored format of its types. Fields are
// stored by position, so their order must not change; see cbor_codec.h.

#include <cstdint>
#include <tuple>

#include "packages/base/base.h"
#include "packages/state/claim.h"
#include "packages/state/cluster_state.h"
#include "packages/state/command.h"
#include "packages/state/resource.h"
#include "packages/state/shared_text.h"
#include "packages/state/task.h"

namespace bramleyrail::codec {

template <>
inline constexpr int64_t kEnumSize<ResourceKind> = kResourceKindCount;
template <>
inline constexpr int64_t kEnumSize<Priority> = 3;
template <>
inline constexpr int64_t kEnumSize<PartitionBehaviour> = 2;
template <>
inline constexpr int64_t kEnumSize<TaskState> = 5;
template <>
inline constexpr int64_t kEnumSize<DesiredAttemptState> = 4;
template <>
inline constexpr int64_t kEnumSize<ReportedAttemptState> = 6;
template <>
inline constexpr int64_t kEnumSize<ClaimState> = 4;
template <>
inline constexpr int64_t kEnumSize<ErrorKind> =
    static_cast<int64_t>(ErrorKind::kInternal) + 1;

}  // namespace bramleyrail::codec

namespace bramleyrail {

auto Fields(codec::Is<ResourceAmounts> auto& v) {
  return std::tie(v.processor_millis, v.memory_mib, v.accelerators);
}
auto Fields(codec::Is<TaskTemplate> auto& v) {
  return std::tie(v.team, v.task_kind, v.size, v.payload, v.failure_domains);
}
auto Fields(codec::Is<ServiceSpec> auto& v) {
  return std::tie(v.task, v.replicas, v.when_partitioned, v.concurrent_requests,
                  v.concurrent_requests_for_caller, v.default_timeout_ms);
}
auto Fields(codec::Is<BatchJobSpec> auto& v) {
  return std::tie(v.task, v.tasks, v.priority, v.maximum_attempts,
                  v.checkpointable, v.when_partitioned, v.cancelled);
}
auto Fields(codec::Is<TeamSpec> auto& v) {
  return std::tie(v.quota, v.weight);
}
auto Fields(codec::Is<FailureDomainSpec> auto& v) {
  return std::tie(v.region, v.drained);
}
auto Fields(codec::Is<RackSpec> auto& v) {
  return std::tie(v.failure_domain, v.drained);
}
auto Fields(codec::Is<WorkerSpec> auto& v) {
  return std::tie(v.failure_domain, v.rack, v.capacity, v.drained);
}
auto Fields(codec::Is<TargetSpec> auto& v) {
  return std::tie(v.service, v.failure_domain, v.drained);
}
auto Fields(codec::Is<Resource> auto& v) {
  return std::tie(v.name, v.uid, v.generation, v.revision, v.spec);
}
auto Fields(codec::Is<ResourceDeclaration> auto& v) {
  return std::tie(v.name, v.spec, v.expected_uid, v.expected_revision);
}
auto Fields(codec::Is<TaskOwner> auto& v) {
  return std::tie(v.kind, v.name, v.uid);
}
auto Fields(codec::Is<Claim> auto& v) {
  return std::tie(v.request_id, v.service, v.caller, v.instance,
                  v.instance_boot_id, v.state, v.response_status,
                  v.response_content_type, v.response_body, v.response_stored,
                  v.claimed_unix_ms, v.resolved_unix_ms);
}
auto Fields(codec::Is<FieldFault> auto& v) {
  return std::tie(v.path, v.message);
}
auto Fields(codec::Is<Error> auto& v) {
  return std::tie(v.kind, v.message, v.remedy, v.faults);
}
auto Fields(codec::Is<PendingReason> auto& v) {
  return std::tie(v.reason, v.unplaceable);
}
auto Fields(codec::Is<ItemRefusal> auto& v) {
  return std::tie(v.index, v.error);
}
auto Fields(codec::Is<CommandOutcome> auto& v) {
  return std::tie(v.revision, v.refusal, v.resources, v.claim, v.claim_created,
                  v.accepted, v.item_refusals);
}
auto Fields(codec::Is<ApplyResources> auto& v) {
  return std::tie(v.change_id, v.declarations, v.new_uids);
}
auto Fields(codec::Is<DeleteResource> auto& v) {
  return std::tie(v.change_id, v.kind, v.name, v.expected_uid,
                  v.expected_revision);
}
auto Fields(codec::Is<SetDrained> auto& v) {
  return std::tie(v.change_id, v.kind, v.name, v.drained, v.new_uid);
}
auto Fields(codec::Is<CancelJob> auto& v) {
  return std::tie(v.change_id, v.job);
}
auto Fields(codec::Is<RegisterWorker> auto& v) {
  return std::tie(v.name, v.boot_id, v.spec, v.new_uid);
}
auto Fields(codec::Is<SuspendWorker> auto& v) {
  return std::tie(v.name, v.boot_id);
}
auto Fields(codec::Is<ResumeWorker> auto& v) {
  return std::tie(v.name, v.boot_id);
}
auto Fields(codec::Is<ExpireWorker> auto& v) {
  return std::tie(v.name, v.boot_id);
}
auto Fields(codec::Is<SetWorkerProbation> auto& v) {
  return std::tie(v.name, v.on_probation, v.reason);
}
auto Fields(codec::Is<ReconcileTasks> auto& v) {
  return std::tie(v.owner);
}
auto Fields(codec::Is<AttemptStart> auto& v) {
  return std::tie(v.task_id, v.expected_attempt, v.worker, v.worker_boot_id,
                  v.reserved);
}
auto Fields(codec::Is<StartAttempts> auto& v) {
  return std::tie(v.starts);
}
auto Fields(codec::Is<DesiredStateChange> auto& v) {
  return std::tie(v.task_id, v.attempt, v.desired, v.reason);
}
auto Fields(codec::Is<SetDesiredAttempts> auto& v) {
  return std::tie(v.changes);
}
auto Fields(codec::Is<AttemptReport> auto& v) {
  return std::tie(v.task_id, v.attempt, v.state, v.checkpoint, v.message,
                  v.charged);
}
auto Fields(codec::Is<ReportAttempts> auto& v) {
  return std::tie(v.worker, v.boot_id, v.reports);
}
auto Fields(codec::Is<SetPendingReason> auto& v) {
  return std::tie(v.owner, v.reason, v.unplaceable);
}
auto Fields(codec::Is<ClaimRequest> auto& v) {
  return std::tie(v.claim);
}
auto Fields(codec::Is<ResolveClaim> auto& v) {
  return std::tie(v.claim);
}
auto Fields(codec::Is<ResolveLostClaims> auto& v) {
  return std::tie(v.instance, v.current_boot_id);
}
auto Fields(codec::Is<PurgeBefore> auto& v) {
  return std::tie(v.unix_ms);
}
auto Fields(codec::Is<Command> auto& v) {
  return std::tie(v.proposed_unix_ms, v.body);
}

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_CODEC_H_
