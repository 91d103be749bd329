#ifndef PACKAGES_QUEUE_QUEUE_CODEC_H_
#define PACKAGES_QUEUE_QUEUE_CODEC_H_

// Internal to the queue package: the stored format of its types. See
// cbor_codec.h for the rules about the order of fields.

#include <tuple>

#include "packages/base/base.h"
#include "packages/queue/queue_command.h"
#include "packages/queue/queue_state.h"

namespace bramleyrail::codec {

template <>
inline constexpr int64_t kEnumSize<RunOutcome> = 5;
template <>
inline constexpr int64_t kEnumSize<JobOutcome> = 4;

}  // namespace bramleyrail::codec

namespace bramleyrail {

struct ProgressRecord {
  TaskName task;
  TaskProgress progress;
};

struct JobRecord {
  QueuedJob job;
  std::vector<ProgressRecord> progress;
};

struct EvacuationRevisionRecord {
  std::string failure_domain;
  int64_t revision = 0;
};

struct CancelledUnknownJob {
  std::string id;
  int64_t cancelled_unix_ms = 0;
};

struct QueueSnapshot {
  int64_t version = 0;
  int64_t leader_epoch = 0;
  QueueConfiguration configuration;
  std::vector<std::string> evacuated;
  std::vector<WorkerRegistration> workers;
  std::vector<JobRecord> jobs;
  std::vector<MaintenanceWave> waves;
  std::vector<DepartedWorker> departed_workers;
  // Missing in a snapshot of a version that records no placements.
  bool leader_records_placements = false;
  int64_t longest_lease_ms = 0;
  std::vector<std::string> jobs_with_unrecorded_runs;
  PlacementList recorded_runs;
  std::vector<std::string> restarted_workers;
  std::vector<WithdrawnWorker> withdrawn_workers;
  std::vector<EvacuationRevisionRecord> evacuation_revisions;
  std::vector<CancelledUnknownJob> cancelled_unknown_jobs;
  std::vector<SuspectedRuns> suspected_runs;
};

auto Fields(codec::Is<JobStep> auto& v) {
  return std::tie(v.tasks, v.size.processor_millis, v.size.memory_mib,
                  v.size.accelerators, v.estimated_task_ms, v.predecessors,
                  v.checkpointing, v.gang, v.tightly_coupled, v.speculative,
                  v.long_running, v.best_effort, v.required_label, v.data_rack,
                  v.image, v.maximum_tasks_per_worker, v.target_latency_ms,
                  v.interruption_budget, v.has_interruption_budget);
}
auto Fields(codec::Is<JobSpecification> auto& v) {
  return std::tie(v.payload, v.steps, v.repetitions, v.first_start_unix_ms,
                  v.interval_ms);
}
auto Fields(codec::Is<TaskName> auto& v) {
  return std::tie(v.job, v.occurrence, v.step, v.index);
}
auto Fields(codec::Is<PlacementAdvice> auto& v) {
  return std::tie(v.decide_ms, v.per_worker_ms, v.ticket_valid_ms);
}
auto Fields(codec::Is<JobQueue> auto& v) {
  return std::tie(v.name, v.host, v.path_prefix, v.pool, v.timeout_ms,
                  v.priority, v.maximum_attempts, v.stretch_factor,
                  v.target_latency_ms, v.advice, v.is_public);
}
auto Fields(codec::Is<WorkerPool> auto& v) {
  return std::tie(v.name, v.health_path, v.refuses_overcommitment, v.standby);
}
auto Fields(codec::Is<ClientAccount> auto& v) {
  return std::tie(v.name, v.keys, v.priority, v.weight,
                  v.limit.processor_millis, v.limit.memory_mib,
                  v.limit.accelerators);
}
auto Fields(codec::Is<QueueConfiguration> auto& v) {
  return std::tie(v.version, v.text, v.queues, v.pools, v.accounts);
}
auto Fields(codec::Is<WorkerRegistration> auto& v) {
  return std::tie(v.id, v.started_unix_ms, v.machine, v.address, v.pool,
                  v.failure_domain, v.labels, v.capacity.processor_millis,
                  v.capacity.memory_mib, v.capacity.accelerators, v.draining,
                  v.heartbeat_sequence);
}
auto Fields(codec::Is<DepartedWorker> auto& v) {
  return std::tie(v.id, v.started_unix_ms, v.departed_unix_ms);
}
auto Fields(codec::Is<WithdrawnWorker> auto& v) {
  return std::tie(v.registration, v.restarted);
}
auto Fields(codec::Is<ForgetWithdrawnWorkers> auto& v) {
  return std::tie(v.leader_epoch, v.workers);
}
auto Fields(codec::Is<MaintenanceWave> auto& v) {
  return std::tie(v.number, v.machines, v.duration_ms,
                  v.maximum_concurrent_machines, v.started_unix_ms,
                  v.finished_machines);
}
auto Fields(codec::Is<BeginLeadership> auto& v) {
  return std::tie(v.instance, v.records_placements, v.longest_lease_ms);
}
auto Fields(codec::Is<ReplaceConfiguration> auto& v) {
  return std::tie(v.configuration);
}
auto Fields(codec::Is<SetEvacuated> auto& v) {
  return std::tie(v.failure_domain, v.evacuated, v.expected_revision);
}
auto Fields(codec::Is<CancelledUnknownJob> auto& v) {
  return std::tie(v.id, v.cancelled_unix_ms);
}
auto Fields(codec::Is<EvacuationRevisionRecord> auto& v) {
  return std::tie(v.failure_domain, v.revision);
}
auto Fields(codec::Is<PutWorker> auto& v) {
  return std::tie(v.registration);
}
auto Fields(codec::Is<RemoveWorker> auto& v) {
  return std::tie(v.id, v.started_unix_ms);
}
auto Fields(codec::Is<SubmitJob> auto& v) {
  return std::tie(v.id, v.queue, v.pool, v.maximum_attempts, v.priority,
                  v.stretch_factor, v.target_latency_ms, v.specification,
                  v.account);
}
auto Fields(codec::Is<CancelQueuedJob> auto& v) {
  return std::tie(v.id);
}
auto Fields(codec::Is<FinishedRun> auto& v) {
  return std::tie(v.task, v.run, v.outcome, v.checkpoint);
}
auto Fields(codec::Is<RecordFinishedRuns> auto& v) {
  return std::tie(v.finished_runs);
}
auto Fields(codec::Is<SuspectedRuns> auto& v) {
  return std::tie(v.worker, v.runs);
}
auto Fields(codec::Is<RecordSuspectedRuns> auto& v) {
  return std::tie(v.leader_epoch, v.workers);
}
auto Fields(codec::Is<WorkerIncarnation> auto& v) {
  return std::tie(v.id, v.started_unix_ms);
}
auto Fields(codec::Is<StepPlacements> auto& v) {
  return std::tie(v.job, v.occurrence, v.step, v.indexes, v.runs, v.workers);
}
auto Fields(codec::Is<PlacementList> auto& v) {
  return std::tie(v.workers, v.steps);
}
auto Fields(codec::Is<RecordPlacements> auto& v) {
  return std::tie(v.leader_epoch, v.placements);
}
auto Fields(codec::Is<PurgeJobsEndedBefore> auto& v) {
  return std::tie(v.unix_ms);
}
auto Fields(codec::Is<StartWave> auto& v) {
  return std::tie(v.wave);
}
auto Fields(codec::Is<FinishMachineMaintenance> auto& v) {
  return std::tie(v.wave, v.machine);
}
auto Fields(codec::Is<ReadBarrier> auto& v) {
  return std::tie(v.unused);
}
auto Fields(codec::Is<QueueCommand> auto& v) {
  return std::tie(v.proposed_unix_ms, v.body);
}
auto Fields(codec::Is<QueueOutcome> auto& v) {
  return std::tie(v.found, v.changed, v.leader_epoch);
}
auto Fields(codec::Is<TaskProgress> auto& v) {
  return std::tie(v.done, v.failed_runs, v.checkpoint_run, v.checkpoint,
                  v.crashed_runs, v.attributed_crashes);
}
auto Fields(codec::Is<ProgressRecord> auto& v) {
  return std::tie(v.task, v.progress);
}
auto Fields(codec::Is<OccurrenceSet> auto& v) {
  return std::tie(v.words);
}
auto Fields(codec::Is<QueuedJob> auto& v) {
  return std::tie(v.id, v.queue, v.pool, v.maximum_attempts, v.priority,
                  v.stretch_factor, v.target_latency_ms, v.specification,
                  v.submitted_unix_ms, v.ended_unix_ms, v.outcome,
                  v.unfinished_tasks, v.account, v.finished_occurrences);
}
auto Fields(codec::Is<JobRecord> auto& v) {
  return std::tie(v.job, v.progress);
}
auto Fields(codec::Is<QueueSnapshot> auto& v) {
  return std::tie(
      v.version, v.leader_epoch, v.configuration, v.evacuated, v.workers,
      v.jobs, v.waves, v.departed_workers, v.leader_records_placements,
      v.longest_lease_ms, v.jobs_with_unrecorded_runs, v.recorded_runs,
      v.restarted_workers, v.withdrawn_workers, v.evacuation_revisions,
      v.cancelled_unknown_jobs, v.suspected_runs);
}

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_QUEUE_CODEC_H_
