#include "packages/queue/queue_codec.h"

#include <functional>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr int64_t kQueueSnapshotVersion = 1;

template <typename T>
void AppendEncoded(const T& value, std::vector<std::byte>* bytes) {
  const std::vector<std::byte> encoded = codec::Encode(value);
  bytes->insert(bytes->end(), encoded.begin(), encoded.end());
}

// Appends the JobRecord of a job.
void AppendJobRecord(const QueuedJob& job, std::vector<std::byte>* bytes) {
  codec::AppendArrayHead(2, bytes);
  AppendEncoded(job, bytes);
  codec::AppendArrayHead(job.progress.size(), bytes);
  for (const auto& [task, progress] : job.progress) {
    AppendEncoded(ProgressRecord{task, progress}, bytes);
  }
}

// Encodes a snapshot with these jobs in place of its own, record by record.
std::vector<std::byte> EncodeParts(const QueueSnapshot& snapshot,
                                   const QueueState::Jobs& jobs) {
  std::vector<std::byte> bytes;
  const auto append = [&](const auto& field) {
    if constexpr (std::is_same_v<decltype(field),
                                 const std::vector<JobRecord>&>) {
      codec::AppendArrayHead(jobs.size(), &bytes);
      for (const auto& [id, job] : jobs) {
        AppendJobRecord(*job, &bytes);
      }
    } else {
      AppendEncoded(field, &bytes);
    }
  };
  std::apply(
      [&](const auto&... field) {
        codec::AppendArrayHead(sizeof...(field), &bytes);
        (append(field), ...);
      },
      Fields(snapshot));
  return bytes;
}

Result<std::shared_ptr<QueuedJob>> DecodeJobRecord(
    std::span<const std::byte> data) {
  TRY(parts, codec::ElementsOf(data));
  if (parts.size() < 2) {
    return codec::DamagedError("a job of the queue snapshot");
  }
  TRY(decoded, codec::Decode<QueuedJob>(parts[0], "a job"));
  TRY(records, codec::ElementsOf(parts[1]));
  auto job = std::make_shared<QueuedJob>(std::move(decoded));
  for (const std::span<const std::byte> bytes : records) {
    TRY(record, codec::Decode<ProgressRecord>(bytes, "the progress of a task"));
    job->progress[record.task] = std::move(record.progress);
  }
  return job;
}

// Decodes a snapshot, and passes its jobs on one by one instead of storing
// them.
Result<QueueSnapshot> DecodeParts(
    std::span<const std::byte> data,
    const std::function<void(std::shared_ptr<QueuedJob>)>& add_job) {
  TRY(parts, codec::ElementsOf(data));
  QueueSnapshot snapshot;
  size_t position = 0;
  const auto decode = [&](auto& field) -> Result<void> {
    const size_t current = position++;
    if (current >= parts.size()) {
      return Success();
    }
    using Field = std::remove_reference_t<decltype(field)>;
    if constexpr (std::is_same_v<Field, std::vector<JobRecord>>) {
      TRY(records, codec::ElementsOf(parts[current]));
      for (const std::span<const std::byte> record : records) {
        TRY(job, DecodeJobRecord(record));
        add_job(std::move(job));
      }
    } else {
      TRY(decoded, codec::Decode<Field>(parts[current], "the queue snapshot"));
      field = std::move(decoded);
    }
    return Success();
  };
  Result<void> result = Success();
  std::apply(
      [&](auto&... field) {
        ((result = decode(field), result.has_value()) && ...);
      },
      Fields(snapshot));
  TRY(result);
  return snapshot;
}

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
  return EncodeParts(snapshot, jobs_);
}

Result<std::unique_ptr<QueueState>> QueueState::FromSnapshot(
    std::span<const std::byte> data) {
  auto state = std::make_unique<QueueState>();
  TRY(snapshot, DecodeParts(data, [&state](std::shared_ptr<QueuedJob> job) {
        RestoreOccurrences(job.get());
        state->job_bytes_ += job->MemoryBytes();
        state->jobs_[job->id] = std::move(job);
      }));
  if (snapshot.version != kQueueSnapshotVersion) {
    return codec::DamagedError(
        absl::StrCat("the queue snapshot of version ", snapshot.version,
                     " (supported: ", kQueueSnapshotVersion, ")"));
  }
  state->leader_epoch_ = snapshot.leader_epoch;
  state->configuration_ = std::move(snapshot.configuration);
  state->evacuated_.insert(snapshot.evacuated.begin(),
                           snapshot.evacuated.end());
  for (WorkerRegistration& worker : snapshot.workers) {
    state->workers_[worker.id] = std::move(worker);
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
