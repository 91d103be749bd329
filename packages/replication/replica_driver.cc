#include "packages/replication/replica_driver.h"

#include <algorithm>

#include "packages/replication/replication_events.h"

namespace bramleyrail {

namespace {

Formation::Options FormationOptions(const ReplicaOptions& options) {
  return {options.instance_name, options.initial_voters,
          options.unique_number()};
}

Configuration InitialConfiguration(const std::vector<std::string>& voters) {
  Configuration configuration;
  for (const std::string& voter : voters) {
    configuration.voters.push_back({voter, kFirstGeneration});
  }
  return configuration;
}

Result<std::shared_ptr<Disk>> OpenDisk(const ReplicaOptions& options) {
  if (options.disk || !options.data_folder) {
    return options.disk;
  }
  TRY(disk, PosixDisk::Open(*options.data_folder));
  return std::shared_ptr<Disk>(std::move(disk));
}

}  // namespace

Result<std::unique_ptr<ReplicaDriver>> ReplicaDriver::Create(
    ReplicaOptions options) {
  TRY(ValidateName(options.instance_name));
  if (!options.send || !options.apply || !options.snapshot ||
      !options.restore || !options.clock) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "a required hook of the replica is not set",
                     "set send, apply, snapshot, restore and clock");
  }
  TRY(disk, OpenDisk(options));
  std::unique_ptr<ReplicaStore> store;
  if (disk) {
    TRY(opened, ReplicaStore::Open(std::move(disk)));
    store = std::move(opened);
  }
  std::unique_ptr<ReplicaDriver> driver(
      new ReplicaDriver(std::move(options), std::move(store)));
  const std::optional<ReplicaIdentity>& identity = driver->recovered_.identity;
  if (identity && identity->id.name != driver->options_.instance_name) {
    return MakeError(
        ErrorKind::kFailedPrecondition,
        "the data folder belongs to instance '" + identity->id.name + "'",
        "correct the instance name, or configure another data folder");
  }
  return driver;
}

ReplicaDriver::ReplicaDriver(ReplicaOptions options,
                             std::unique_ptr<ReplicaStore> store)
    : options_(std::move(options)),
      store_(std::move(store)),
      formation_(FormationOptions(options_)),
      tracker_(
          [this](const std::string& peer, uint64_t call, const Bytes& command) {
            return options_.send(
                peer, EncodeWireMessage(ForwardedProposal{call, command}));
          },
          options_.unique_number()) {
  if (store_) {
    recovered_ = store_->TakeRecoveredState();
  }
}

uint64_t ReplicaDriver::NewGeneration() const {
  return std::max(options_.unique_number(), kFirstGeneration + 1);
}

void ReplicaDriver::Start(MonotonicTime now) {
  now_ = now;
  started_at_ = now;
  if (recovered_.truncated_bytes > 0) {
    LogEvent(kTornTailTruncated, {{"bytes", recovered_.truncated_bytes}});
  }
  ReplicaCore::Options options;
  if (!store_) {
    options.id = {options_.instance_name, NewGeneration()};
    options.kind = ReplicaCore::Kind::kObserver;
    CreateCore(std::move(options));
    return;
  }
  if (!recovered_.identity) {
    return;
  }
  if (recovered_.snapshot) {
    options_.restore(recovered_.snapshot->data);
    snapshot_index_ = recovered_.snapshot->index;
  }
  options.id = recovered_.identity->id;
  stored_id_ = options.id;
  options.initial_configuration = recovered_.identity->initial_configuration;
  options.hard_state = std::move(recovered_.hard_state);
  options.snapshot = std::move(recovered_.snapshot);
  options.entries = std::move(recovered_.entries);
  CreateCore(std::move(options));
}

void ReplicaDriver::CreateCore(ReplicaCore::Options options) {
  options.peers = options_.peers;
  options.target_voters =
      std::max(options_.target_voters, options_.initial_voters.size());
  options.retained_entries = options_.retained_entries;
  options.seed = Hash64(options_.instance_name, options_.seed);
  options.now = now_;
  options.may_campaign = formation_.AllInitialVotersFormed();
  core_ = std::make_unique<ReplicaCore>(std::move(options));
  LogEvent(kReplicaStarted,
           {{"replica", core_->id().ToString()},
            {"observer", core_->kind() == ReplicaCore::Kind::kObserver},
            {"term", core_->term()},
            {"last_index", core_->last_index()}});
}

void ReplicaDriver::ContinueFormation() {
  const bool undecided = !core_;
  const bool forming = core_ && store_ && core_->term() == 0 &&
                       core_->id().generation == kFirstGeneration;
  if (!undecided && !forming) {
    return;
  }
  for (const std::string& peer : formation_.Tick(now_)) {
    SendTo(peer, formation_.Query());
  }
  if (undecided) {
    const Formation::Decision decision = formation_.Decide();
    if (decision != Formation::Decision::kWait) {
      FormatFolder(decision);
    }
  } else if (formation_.AllInitialVotersFormed()) {
    core_->AllowCampaign();
  }
}

void ReplicaDriver::FormatFolder(Formation::Decision decision) {
  if (storage_fault_ && now_ < next_storage_attempt_) {
    return;
  }
  ReplicaIdentity identity;
  identity.id = {options_.instance_name, NewGeneration()};
  if (decision == Formation::Decision::kForm) {
    identity.id.generation = kFirstGeneration;
    identity.initial_configuration =
        InitialConfiguration(options_.initial_voters);
  }
  ReplicaCore::Options options;
  options.id = identity.id;
  options.initial_configuration = identity.initial_configuration;
  const Result<void> formatted = store_->Format(identity);
  if (IsRepeatable(formatted)) {
    LogEvent(kStorageDeferred, {{"error", formatted.error().ToString()}});
    return;  // The next step decides again.
  }
  if (formatted.has_error()) {
    StopStorage(formatted.error());
    if (decision == Formation::Decision::kForm) {
      // No other voter campaigns without this one, so there is nothing to
      // follow yet. A later step decides again.
      return;
    }
    options.id.generation = NewGeneration();
    options.kind = ReplicaCore::Kind::kObserver;
    CreateCore(std::move(options));
    return;
  }
  stored_id_ = identity.id;
  LogEvent(kFolderFormatted,
           {{"replica", identity.id.ToString()},
            {"forms_cluster", decision == Formation::Decision::kForm}});
  CreateCore(std::move(options));
  if (storage_fault_) {
    HandleStorageResumed();
  }
}

void ReplicaDriver::Step(MonotonicTime now, Input input) {
  now_ = std::max(now_, now);
  if (deferred_output_ && !FinishDeferredOutput()) {
    // Like a disk that stalls: messages are lost, and proposals wait.
    for (Proposal& proposal : input.proposals) {
      tracker_.Submit(std::move(proposal));
    }
    return;
  }
  if (core_) {
    core_->AdvanceTime(now_);
  }
  for (const auto& [peer, bytes] : input.messages) {
    ReceiveMessage(peer, bytes);
  }
  ContinueFormation();
  if (core_) {
    core_->Tick(now_);
  }
  for (Proposal& proposal : input.proposals) {
    tracker_.Submit(std::move(proposal));
  }
  tracker_.Step(core_.get(), now_);
  ReportMissingLeader();
  if (!core_) {
    return;
  }
  if (input.transfer_leadership) {
    const Result<void> result = core_->TransferLeadership();
    LogEvent(kLeadershipTransferRequested, {{"started", result.has_value()}});
  }
  Flush();
  SaveSnapshotIfDue();
  ResumeStorageIfDue();
  LogChanges();
}

void ReplicaDriver::Stop() {
  tracker_.Stop();
}

void ReplicaDriver::Flush() {
  while (true) {
    ReplicaCore::Output output = core_->TakeOutput();
    const bool empty = output.messages.empty() && !output.NeedsSync() &&
                       output.messages_after_sync.empty() &&
                       output.committed.empty();
    if (empty) {
      return;
    }
    SendAll(output.messages);
    if (!Persist(output)) {
      deferred_output_ = std::move(output);
      return;
    }
    Apply(output);
  }
}

bool ReplicaDriver::FinishDeferredOutput() {
  if (!Persist(*deferred_output_)) {
    return false;
  }
  Apply(*deferred_output_);
  deferred_output_.reset();
  return true;
}

bool ReplicaDriver::Persist(const ReplicaCore::Output& output) {
  if (core_->kind() == ReplicaCore::Kind::kReplica && output.NeedsSync()) {
    Result<void> result = Success();
    if (output.snapshot) {
      const LogIndex index = output.snapshot->index;
      result = store_->SaveSnapshot(
          *output.snapshot,
          core_->EntriesBetween(index + 1, core_->last_index()));
    }
    if (result.has_value()) {
      result = store_->Append(output.hard_state, output.entries);
    }
    if (IsRepeatable(result)) {
      if (!deferred_output_) {
        LogEvent(kStorageDeferred, {{"error", result.error().ToString()}});
      }
      return false;
    }
    if (result.has_error()) {
      // Messages that depend on the failed sync are not sent.
      StopStorage(result.error());
      return true;
    }
  }
  core_->HandlePersisted(core_->last_index());
  SendAll(output.messages_after_sync);
  return true;
}

void ReplicaDriver::Apply(const ReplicaCore::Output& output) {
  if (output.snapshot) {
    options_.restore(output.snapshot->data);
    snapshot_index_ = output.snapshot->index;
    bytes_since_snapshot_ = 0;
    tracker_.HandleSnapshotInstalled(output.snapshot->index);
    LogEvent(kSnapshotInstalled, {{"index", output.snapshot->index},
                                  {"bytes", output.snapshot->data.size()}});
  }
  for (const LogEntry& entry : output.committed) {
    Bytes response;
    if (entry.kind == EntryKind::kCommand) {
      response = options_.apply(entry.index, entry.data);
    }
    bytes_since_snapshot_ += entry.data.size();
    tracker_.HandleApplied(entry, response);
  }
}

ReplicaStatus ReplicaDriver::Status() const {
  ReplicaStatus status;
  status.storage_fault = storage_fault_;
  if (!core_) {
    return status;
  }
  status.id = core_->id();
  status.is_observer = core_->kind() == ReplicaCore::Kind::kObserver;
  status.role = core_->role();
  status.term = core_->term();
  status.leader = core_->leader();
  status.voters = core_->configuration().voters;
  status.learners = core_->configuration().learners;
  status.commit_index = core_->commit_index();
  status.applied_index = core_->applied_index();
  return status;
}

std::optional<MonotonicTime> ReplicaDriver::LeaseEnd() const {
  if (!core_ || deferred_output_ || !core_->HasCommittedInTerm()) {
    return std::nullopt;
  }
  return core_->LeaseEnd();
}

std::optional<MonotonicTime> ReplicaDriver::FreshAsOf() const {
  // The core counts entries of a deferred output as applied.
  return core_ && !deferred_output_ ? core_->FreshAsOf() : std::nullopt;
}

}  // namespace bramleyrail
