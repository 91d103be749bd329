#ifndef PACKAGES_REPLICATION_REPLICA_DRIVER_H_
#define PACKAGES_REPLICATION_REPLICA_DRIVER_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "packages/replication/proposal_tracker.h"
#include "packages/replication/replica_options.h"
#include "packages/replication/replica_status.h"
#include "packages/replication/wire_message.h"

namespace bramleyrail {

// The logic of a Replica without its thread: processes input in steps, and
// drives ReplicaCore, ReplicaStore and the hooks. Not thread-safe.
class ReplicaDriver {
 public:
  struct Input {
    std::vector<std::pair<std::string, Bytes>> messages;  // Sender and message.
    std::vector<Proposal> proposals;
    bool transfer_leadership = false;
  };

  // Opens the data folder.
  static Result<std::unique_ptr<ReplicaDriver>> Create(ReplicaOptions options);

  // Restores the stored snapshot through the hook.
  void Start(MonotonicTime now);
  // Processes the input and the timers, then syncs, sends and applies the
  // results. All proposals of one step share a sync.
  void Step(MonotonicTime now, Input input);
  // Fails all open proposals.
  void Stop();

  ReplicaStatus Status() const;
  // End of the lease if this replica leads and has applied everything that
  // earlier leaders committed, else nullopt.
  std::optional<MonotonicTime> LeaseEnd() const;
  std::optional<MonotonicTime> FreshAsOf() const;
  // Null until the folder is formatted.
  const ReplicaCore* core() const { return core_.get(); }

 private:
  ReplicaDriver(ReplicaOptions options, std::unique_ptr<ReplicaStore> store);

  uint64_t NewGeneration() const;
  void ContinueFormation();
  void FormatFolder(Formation::Decision decision);
  void CreateCore(ReplicaCore::Options options);
  void ReceiveMessage(const std::string& peer, const Bytes& bytes);
  void Handle(const std::string& peer, ConsensusMessage message);
  void Handle(const std::string& peer, ForwardedProposal proposal);
  void Handle(const std::string& peer, ForwardedResult result);
  void Handle(const std::string& peer, const FormationQuery& query);
  void Handle(const std::string& peer, const FormationResponse& response);
  void SendTo(const std::string& peer, const WireMessage& message);
  void SendResult(const std::string& peer,
                  uint64_t call,
                  const Result<Bytes>& result);
  void SendAll(const std::vector<ConsensusMessage>& messages);
  void Flush();
  // Returns false when the output has to be persisted again later.
  bool Persist(const ReplicaCore::Output& output);
  // Persists and applies the output that an earlier step could not.
  bool FinishDeferredOutput();
  void Apply(const ReplicaCore::Output& output);
  void LogChanges();
  // Logs once in a while why there is no leader, as far as this instance knows.
  void ReportMissingLeader();
  std::string_view MissingLeaderReason() const;

  // replica_driver_storage.cc
  void SaveSnapshotIfDue();
  // A snapshot of the applied entries, without the data of the state.
  std::shared_ptr<Snapshot> MakeSnapshot() const;
  void HandleSnapshotSaved(SnapshotPointer snapshot);
  void StopStorage(const Error& fault);
  // Makes an instance whose disk failed a replica again once the disk takes the
  // whole state.
  void ResumeStorageIfDue();
  Result<void> RewriteStore();
  void HandleStorageResumed();

  ReplicaOptions options_;
  std::unique_ptr<ReplicaStore> store_;  // Null for an observer.
  std::optional<Error> storage_fault_;
  MonotonicTime storage_stopped_at_;
  MonotonicTime next_storage_attempt_;
  // Id of the replica in the folder; nullopt until the folder is formatted. An
  // instance whose storage has stopped returns under this id: its memory holds
  // whatever it has acknowledged.
  std::optional<ReplicaId> stored_id_;
  RecoveredState recovered_;
  Formation formation_;
  ProposalTracker tracker_;
  std::unique_ptr<ReplicaCore> core_;  // Null until the folder is formatted.
  MonotonicTime now_;
  MonotonicTime started_at_;

  // Output that could not be persisted, because a file could not be opened.
  // The core takes no input until it is.
  std::optional<ReplicaCore::Output> deferred_output_;
  LogIndex snapshot_index_ = 0;
  size_t bytes_since_snapshot_ = 0;
  MonotonicTime next_snapshot_;  // Earliest time of the next attempt.

  ReplicaRole logged_role_ = ReplicaRole::kFollower;
  std::optional<ReplicaId> logged_leader_;
  Configuration logged_configuration_;
  // Silence of the leaders after which the missing leader is logged next.
  Milliseconds next_leader_report_{0};
};

}  // namespace bramleyrail

#endif  // PACKAGES_REPLICATION_REPLICA_DRIVER_H_
