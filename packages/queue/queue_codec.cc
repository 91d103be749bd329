#include "packages/queue/queue_codec.h"

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr int64_t kQueueSnapshotVersion = 1;

}  // namespace

std::vector<std::byte> EncodeQueueCommand(const QueueCommand& command) {
  return codec::Encode(command);
}

Result<QueueCommand> DecodeQueueCommand(std::span<const std::byte> data) {
  return codec::Decode<QueueCommand>(data, "the queue command");
}

std::vector<std::byte> EncodeQueueOutcome(const QueueOutcome& outcome) {
  return codec::Encode(outcome);
}

Result<QueueOutcome> DecodeQueueOutcome(std::span<const std::byte> data) {
  return codec::Decode<QueueOutcome>(data, "the queue outcome");
}

std::vector<std::byte> QueueState::EncodeSnapshot() const {
  QueueSnapshot snapshot;
  snapshot.version = kQueueSnapshotVersion;
  snapshot.leader_epoch = leader_epoch_;
  snapshot.configuration = configuration_;
  snapshot.evacuated.assign(evacuated_.begin(), evacuated_.end());
  for (const auto& [id, worker] : workers_) {
    snapshot.workers.push_back(worker);
  }
  for (const auto& [id, job] : jobs_) {
    JobRecord record{*job, {}};
    for (const auto& [task, progress] : job->progress) {
      record.progress.push_back({task, progress});
    }
    snapshot.jobs.push_back(std::move(record));
  }
  for (const auto& [number, wave] : waves_) {
    snapshot.waves.push_back(wave);
  }
  for (const auto& [id, departed] : departed_workers_) {
    snapshot.departed_workers.push_back(departed);
  }
  snapshot.leader_records_placements = leader_records_placements_;
  snapshot.longest_lease_ms = longest_lease_ms_;
  snapshot.jobs_with_unrecorded_runs.assign(jobs_with_unrecorded_runs_.begin(),
                                            jobs_with_unrecorded_runs_.end());
  snapshot.recorded_runs = MakePlacementList(recorded_runs_.List());
  snapshot.restarted_workers.assign(restarted_workers_.begin(),
                                    restarted_workers_.end());
  for (const auto& [id, withdrawn] : withdrawn_workers_) {
    snapshot.withdrawn_workers.push_back(withdrawn);
  }
  for (const auto& [failure_domain, revision] : evacuation_revisions_) {
    snapshot.evacuation_revisions.push_back({failure_domain, revision});
  }
  for (const auto& [id, cancelled_unix_ms] : cancelled_unknown_jobs_) {
    snapshot.cancelled_unknown_jobs.push_back({id, cancelled_unix_ms});
  }
  for (const auto& [id, suspected] : suspected_runs_) {
    snapshot.suspected_runs.push_back(suspected);
  }
  return codec::Encode(snapshot);
}

Result<std::unique_ptr<QueueState>> QueueState::FromSnapshot(
    std::span<const std::byte> data) {
  TRY(snapshot, codec::Decode<QueueSnapshot>(data, "the queue snapshot"));
  if (snapshot.version != kQueueSnapshotVersion) {
    return codec::DamagedError(
        absl::StrCat("the queue snapshot of version ", snapshot.version,
                     " (supported: ", kQueueSnapshotVersion, ")"));
  }
  auto state = std::make_unique<QueueState>();
  state->leader_epoch_ = snapshot.leader_epoch;
  state->configuration_ = std::move(snapshot.configuration);
  state->evacuated_.insert(snapshot.evacuated.begin(),
                           snapshot.evacuated.end());
  for (WorkerRegistration& worker : snapshot.workers) {
    state->workers_[worker.id] = std::move(worker);
  }
  for (JobRecord& record : snapshot.jobs) {
    auto job = std::make_shared<QueuedJob>(std::move(record.job));
    for (ProgressRecord& progress_record : record.progress) {
      job->progress[progress_record.task] = std::move(progress_record.progress);
    }
    RestoreOccurrences(job.get());
    state->job_bytes_ += job->MemoryBytes();
    state->jobs_[job->id] = std::move(job);
  }
  for (MaintenanceWave& wave : snapshot.waves) {
    state->waves_[wave.number] = std::move(wave);
  }
  for (DepartedWorker& departed : snapshot.departed_workers) {
    state->departed_workers_[departed.id] = std::move(departed);
  }
  state->leader_records_placements_ = snapshot.leader_records_placements;
  state->longest_lease_ms_ = snapshot.longest_lease_ms;
  state->jobs_with_unrecorded_runs_.insert(
      snapshot.jobs_with_unrecorded_runs.begin(),
      snapshot.jobs_with_unrecorded_runs.end());
  state->restarted_workers_.insert(snapshot.restarted_workers.begin(),
                                   snapshot.restarted_workers.end());
  for (WithdrawnWorker& withdrawn : snapshot.withdrawn_workers) {
    const std::string id = withdrawn.registration.id;
    state->withdrawn_workers_[id] = std::move(withdrawn);
  }
  for (const EvacuationRevisionRecord& record : snapshot.evacuation_revisions) {
    state->evacuation_revisions_[record.failure_domain] = record.revision;
  }
  for (CancelledUnknownJob& job : snapshot.cancelled_unknown_jobs) {
    state->cancelled_unknown_jobs_[std::move(job.id)] = job.cancelled_unix_ms;
  }
  for (SuspectedRuns& suspected : snapshot.suspected_runs) {
    const std::string id = suspected.worker.id;
    state->suspected_runs_[id] = std::move(suspected);
  }
  const auto recorded_runs = PlacementsOf(snapshot.recorded_runs);
  if (!recorded_runs) {
    return codec::DamagedError("the recorded runs of the queue snapshot");
  }
  for (const RunPlacement& placement : *recorded_runs) {
    state->recorded_runs_.Record(placement);
  }
  return state;
}

}  // namespace bramleyrail
