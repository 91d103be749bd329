// ReplicaCore as a follower: handles append requests and snapshots of the
// leader.

#include <algorithm>
#include <utility>

#include "packages/consensus/replica_core.h"

namespace bramleyrail {

void ReplicaCore::AcceptLeader(const ConsensusMessage& message) {
  BRAMLEYRAIL_ASSERT(role_ != ReplicaRole::kLeader || message.term > term(),
                     "another replica claims to be the leader of this term");
  if (role_ != ReplicaRole::kFollower || message.term > term()) {
    BecomeFollower(message.term, message.from);
  }
  leader_ = message.from;
  leader_contact_ = now_;
  ResetElectionTimer();
}

void ReplicaCore::HandleAppendRequest(ConsensusMessage message) {
  ConsensusMessage response =
      MessageTo(MessageType::kAppendResponse, message.from);
  response.sent_at = message.sent_at;
  if (message.term < term()) {
    // The higher term in the response makes the old leader step down.
    response.rejected = true;
    response.rejected_index = message.index;
    SendAfterSync(std::move(response));
    return;
  }
  AcceptLeader(message);
  response.term = term();

  // Entries up to the commit index are known to match.
  const std::optional<Term> local_term = log_.TermAt(message.index);
  const bool matches =
      message.index <= commit_index_ || local_term == message.log_term;
  if (!matches) {
    LogIndex hint = std::min(message.index - 1, log_.last_index());
    while (local_term && hint > commit_index_ &&
           log_.TermAt(hint) == local_term) {
      --hint;
    }
    response.rejected = true;
    response.rejected_index = message.index;
    response.index = hint;
    SendAfterSync(std::move(response));
    return;
  }

  const LogIndex last_new = message.index + message.entries.size();
  for (LogEntry& entry : message.entries) {
    if (entry.index <= commit_index_) {
      continue;
    }
    if (entry.index <= log_.last_index()) {
      if (log_.TermAt(entry.index) == entry.term) {
        continue;
      }
      TruncateFrom(entry.index);
    }
    AppendEntry(std::move(entry));
  }
  AdvanceCommit(std::min(message.commit, std::max(last_new, commit_index_)));
  response.index = last_new;
  SendAfterSync(std::move(response));
}

void ReplicaCore::HandleSnapshotChunk(ConsensusMessage message) {
  if (message.term < term()) {
    return;
  }
  AcceptLeader(message);
  if (message.index <= commit_index_) {
    ConsensusMessage response =
        MessageTo(MessageType::kAppendResponse, message.from);
    response.sent_at = message.sent_at;
    response.index = commit_index_;
    SendAfterSync(std::move(response));
    return;
  }
  if (!incoming_snapshot_ || incoming_snapshot_->index != message.index ||
      incoming_snapshot_->term != message.log_term) {
    incoming_snapshot_ = std::make_shared<Snapshot>();
    incoming_snapshot_->index = message.index;
    incoming_snapshot_->term = message.log_term;
    incoming_snapshot_->configuration = std::move(message.configuration);
  }
  Bytes& received = incoming_snapshot_->data;
  if (message.offset == received.size()) {
    received.insert(received.end(), message.data.begin(), message.data.end());
  }
  if (received.size() == message.size) {
    InstallSnapshot(std::exchange(incoming_snapshot_, nullptr));
    ConsensusMessage response =
        MessageTo(MessageType::kAppendResponse, message.from);
    response.sent_at = message.sent_at;
    response.index = message.index;
    SendAfterSync(std::move(response));
    return;
  }
  ConsensusMessage response =
      MessageTo(MessageType::kSnapshotResponse, message.from);
  response.index = message.index;
  response.offset = received.size();
  Send(std::move(response));
}

void ReplicaCore::InstallSnapshot(SnapshotPointer snapshot) {
  const LogIndex index = snapshot->index;
  BRAMLEYRAIL_ASSERT(index > commit_index_,
                     "the snapshot is not beyond the commit index");
  if (log_.TermAt(index) == snapshot->term) {
    log_.CompactThrough(index);
    unsynced_from_ = std::max(unsynced_from_, index + 1);
    persisted_index_ = std::max(persisted_index_, index);
    std::erase_if(configurations_,
                  [index](const auto& item) { return item.first <= index; });
  } else {
    log_.ResetTo(index, snapshot->term);
    unsynced_from_ = index + 1;
    persisted_index_ = index;
    configurations_.clear();
  }
  configurations_.emplace_front(index, snapshot->configuration);
  commit_index_ = index;
  applied_index_ = index;
  snapshot_ = snapshot;
  output_.snapshot = std::move(snapshot);
}

}  // namespace bramleyrail
