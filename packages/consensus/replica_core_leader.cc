// ReplicaCore as a leader: replication, commit index, lease and leadership
// transfer.

#include <algorithm>
#include <chrono>
#include <utility>

#include "packages/consensus/replica_core.h"

namespace bramleyrail {

namespace {

constexpr size_t kMaximumBatchEntries = 1024;
// A batch of this size occupies the 30 Mbit/s link between regions for about
// 70 ms, less than a heartbeat interval.
constexpr size_t kMaximumBatchBytes = size_t{256} * 1024;
// Limits the data that a heartbeat has to wait for on that link.
constexpr size_t kMaximumInFlightBytes = size_t{1024} * 1024;
constexpr size_t kMaximumInFlightRequests = 64;
constexpr uint64_t kSnapshotWindowBytes = 8 * kSnapshotChunkBytes;
// Chunks are sent again when none is acknowledged within this time.
constexpr Milliseconds kSnapshotRetryInterval{500};
constexpr Milliseconds kObserverExpiry{5000};

}  // namespace

void ReplicaCore::TickLeader() {
  const bool had_time_for_quorum =
      now_ - became_leader_at_ >= kMinimumElectionTimeout;
  const bool lease_lost = LeaseStart() ? !HoldsLease() : had_time_for_quorum;
  if (lease_lost) {
    BecomeFollower(term(), std::nullopt);
    return;
  }
  if (transfer_started_at_ &&
      now_ - *transfer_started_at_ >= kMinimumElectionTimeout) {
    // The transfer target did not catch up in time, so this replica stays the
    // leader.
    transfer_started_at_ = std::nullopt;
    transfer_target_ = std::nullopt;
  }
  std::erase_if(observers_, [this](const auto& item) {
    return now_ - item.second >= kObserverExpiry;
  });
  AdvanceMembership();
  UpdateFollowerProgress();
  if (heartbeat_sent_at_ == MonotonicTime::min() ||
      now_ - heartbeat_sent_at_ >= kHeartbeatInterval) {
    heartbeat_sent_at_ = now_;
    ReplicateToAll(/*heartbeat=*/true);
  }
}

std::optional<MonotonicTime> ReplicaCore::LeaseStart() const {
  std::vector<MonotonicTime> times;
  for (const ReplicaId& voter : configuration().voters) {
    if (voter == id_) {
      times.push_back(now_);
      continue;
    }
    const auto position = progress_.find(voter);
    if (position != progress_.end() &&
        position->second.acknowledged_send_time) {
      times.push_back(*position->second.acknowledged_send_time);
    }
  }
  const size_t quorum = configuration().Quorum();
  if (times.size() < quorum) {
    return std::nullopt;
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[quorum - 1];
}

std::optional<MonotonicTime> ReplicaCore::LeaseEnd() const {
  if (role_ != ReplicaRole::kLeader) {
    return std::nullopt;
  }
  const std::optional<MonotonicTime> start = LeaseStart();
  if (!start) {
    return std::nullopt;
  }
  return *start + kLeaderLeaseDuration;
}

bool ReplicaCore::HoldsLease() const {
  const std::optional<MonotonicTime> end = LeaseEnd();
  return end && now_ < *end;
}

bool ReplicaCore::HasCommittedInTerm() const {
  return role_ == ReplicaRole::kLeader && commit_index_ >= term_start_index_;
}

FollowerProgress* ReplicaCore::ProgressOf(const ReplicaId& id) {
  const auto position = progress_.find(id);
  return position == progress_.end() ? nullptr : &position->second;
}

void ReplicaCore::ReplicateToAll(bool heartbeat) {
  for (auto& [id, progress] : progress_) {
    ReplicateTo(id, &progress, heartbeat);
  }
}

void ReplicaCore::ReplicateTo(const ReplicaId& id,
                              FollowerProgress* progress,
                              bool heartbeat) {
  const bool compacted = !log_.TermAt(progress->next_index - 1).has_value();
  if (progress->mode != FollowerProgress::Mode::kSnapshot && compacted) {
    BRAMLEYRAIL_ASSERT(snapshot_,
                       "entries are compacted, but there is no snapshot");
    progress->StartSnapshot(snapshot_, now_);
  }
  if (progress->mode == FollowerProgress::Mode::kSnapshot) {
    if (heartbeat) {
      SendAppend(id, progress, {});
    }
    SendSnapshotChunks(id, progress);
    return;
  }
  bool sent = false;
  if (progress->mode == FollowerProgress::Mode::kProbe) {
    // A heartbeat also retries a probe whose response may be lost.
    if (!progress->probe_outstanding || heartbeat) {
      progress->probe_outstanding = true;
      SendAppend(id, progress,
                 log_.Slice(progress->next_index, kMaximumBatchEntries,
                            kMaximumBatchBytes));
    }
    return;
  }
  while (progress->next_index <= log_.last_index() &&
         progress->in_flight_bytes < kMaximumInFlightBytes &&
         progress->in_flight.size() < kMaximumInFlightRequests) {
    std::vector<LogEntry> entries = log_.Slice(
        progress->next_index, kMaximumBatchEntries, kMaximumBatchBytes);
    size_t bytes = 0;
    for (const LogEntry& entry : entries) {
      bytes += entry.data.size();
    }
    const LogIndex last = entries.back().index;
    SendAppend(id, progress, std::move(entries));
    progress->AddInFlight(last, bytes);
    progress->next_index = last + 1;
    sent = true;
  }
  const bool commit_is_new = progress->sent_commit_index <
                             std::min(commit_index_, progress->next_index - 1);
  if (!sent && (heartbeat || commit_is_new)) {
    SendAppend(id, progress, {});
  }
}

void ReplicaCore::SendAppend(const ReplicaId& id,
                             FollowerProgress* progress,
                             std::vector<LogEntry> entries) {
  ConsensusMessage request = MessageTo(MessageType::kAppendRequest, id);
  // While a snapshot is sent, a heartbeat has the index and log term 0.
  if (progress->mode != FollowerProgress::Mode::kSnapshot) {
    request.index = progress->next_index - 1;
    request.log_term = *log_.TermAt(request.index);
  }
  request.commit = commit_index_;
  progress->sent_commit_index =
      std::max(progress->sent_commit_index,
               std::min(commit_index_, request.index + entries.size()));
  request.entries = std::move(entries);
  Send(std::move(request));
}

void ReplicaCore::SendSnapshotChunks(const ReplicaId& id,
                                     FollowerProgress* progress) {
  const Snapshot& snapshot = *progress->snapshot;
  if (now_ - progress->snapshot_progress_at >= kSnapshotRetryInterval) {
    progress->snapshot_progress_at = now_;
    progress->snapshot_sent = progress->snapshot_acknowledged;
  }
  const uint64_t size = snapshot.data.size();
  // `snapshot_sent` is one more than the size once the last chunk was sent, so
  // that an empty snapshot is sent as one chunk too.
  const auto chunk_due = [&] {
    const uint64_t acknowledged = progress->snapshot_acknowledged;
    if (progress->snapshot_sent >= acknowledged + kSnapshotWindowBytes) {
      return false;
    }
    return progress->snapshot_sent < size + 1;
  };
  while (chunk_due()) {
    ConsensusMessage chunk = MessageTo(MessageType::kSnapshotChunk, id);
    chunk.index = snapshot.index;
    chunk.log_term = snapshot.term;
    chunk.configuration = snapshot.configuration;
    chunk.offset = std::min(progress->snapshot_sent, size);
    chunk.size = size;
    const uint64_t length =
        std::min<uint64_t>(kSnapshotChunkBytes, size - chunk.offset);
    const auto begin =
        snapshot.data.begin() + static_cast<ptrdiff_t>(chunk.offset);
    chunk.data.assign(begin, begin + static_cast<ptrdiff_t>(length));
    const uint64_t end = chunk.offset + length;
    Send(std::move(chunk));
    progress->snapshot_sent = end == size ? size + 1 : end;
  }
}

void ReplicaCore::HandleSnapshotResponse(const ConsensusMessage& message) {
  if (message.term > term()) {
    BecomeFollower(message.term, std::nullopt);
    return;
  }
  FollowerProgress* progress = ProgressOf(message.from);
  if (role_ != ReplicaRole::kLeader || progress == nullptr ||
      progress->mode != FollowerProgress::Mode::kSnapshot ||
      message.index != progress->snapshot->index || message.term != term()) {
    return;
  }
  if (message.offset > progress->snapshot_acknowledged) {
    progress->snapshot_acknowledged = message.offset;
    progress->snapshot_progress_at = now_;
    SendSnapshotChunks(message.from, progress);
  }
}

void ReplicaCore::HandleAppendResponse(const ConsensusMessage& message) {
  if (message.term > term()) {
    BecomeFollower(message.term, std::nullopt);
    return;
  }
  FollowerProgress* progress = ProgressOf(message.from);
  if (role_ != ReplicaRole::kLeader || message.term != term() ||
      progress == nullptr) {
    return;
  }
  const MonotonicTime sent_at(std::chrono::nanoseconds(message.sent_at));
  progress->last_contact = now_;
  progress->acknowledged_send_time =
      std::max(progress->acknowledged_send_time.value_or(sent_at), sent_at);
  if (const auto observer = observers_.find(message.from);
      observer != observers_.end()) {
    observer->second = now_;
  }
  if (message.rejected) {
    const bool stale = message.rejected_index <= progress->match_index ||
                       progress->mode == FollowerProgress::Mode::kSnapshot ||
                       message.rejected_index >= progress->next_index;
    if (!stale) {
      progress->StartProbe(
          std::max(progress->match_index,
                   std::min(message.index, log_.last_index())) +
          1);
    }
    return;
  }
  if (message.index > log_.last_index()) {
    return;
  }
  progress->match_index = std::max(progress->match_index, message.index);
  progress->next_index =
      std::max(progress->next_index, progress->match_index + 1);
  progress->AcknowledgeThrough(progress->match_index);
  switch (progress->mode) {
    case FollowerProgress::Mode::kProbe:
      // The response to a heartbeat that was sent during a snapshot has the
      // index 0, which must not end the probe.
      if (message.index + 1 >= progress->next_index) {
        progress->StartProbe(progress->match_index + 1);
        progress->mode = FollowerProgress::Mode::kReplicate;
      }
      break;
    case FollowerProgress::Mode::kSnapshot:
      if (progress->match_index >= progress->snapshot->index) {
        progress->StartProbe(progress->match_index + 1);
      }
      break;
    case FollowerProgress::Mode::kReplicate:
      break;
  }
  UpdateCommit();
  ContinueTransfer();
}

void ReplicaCore::UpdateCommit() {
  std::vector<LogIndex> matches;
  for (const ReplicaId& voter : configuration().voters) {
    if (voter == id_) {
      matches.push_back(persisted_index_);
    } else if (const FollowerProgress* progress = ProgressOf(voter)) {
      matches.push_back(progress->match_index);
    }
  }
  const size_t quorum = configuration().Quorum();
  if (matches.size() < quorum) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const LogIndex candidate = matches[quorum - 1];
  // Entries of earlier terms are committed only together with an entry of this
  // term.
  if (candidate <= commit_index_ || log_.TermAt(candidate) != term()) {
    return;
  }
  AdvanceCommit(candidate);
  if (!configuration().IsVoter(id_) &&
      configurations_.back().first <= commit_index_) {
    ReplicateToAll(/*heartbeat=*/true);
    BecomeFollower(term(), std::nullopt);
  }
}

Result<void> ReplicaCore::TransferLeadership() {
  if (!HoldsLease()) {
    return MakeError(ErrorKind::kUnavailable, "this replica is not the leader",
                     "send the request to the current leader");
  }
  const ReplicaId* target = nullptr;
  LogIndex best = 0;
  for (const ReplicaId& voter : configuration().voters) {
    const FollowerProgress* progress = ProgressOf(voter);
    if (progress != nullptr && IsActive(voter) &&
        (target == nullptr || progress->match_index > best)) {
      target = &voter;
      best = progress->match_index;
    }
  }
  if (target == nullptr) {
    return MakeError(ErrorKind::kFailedPrecondition,
                     "no other voter responded recently",
                     "stop without a transfer, or restore another voter");
  }
  transfer_target_ = *target;
  transfer_started_at_ = now_;
  ContinueTransfer();
  return Success();
}

void ReplicaCore::ContinueTransfer() {
  if (!transfer_target_) {
    return;
  }
  const FollowerProgress* progress = ProgressOf(*transfer_target_);
  if (progress == nullptr || progress->match_index < log_.last_index()) {
    return;
  }
  Send(MessageTo(MessageType::kTimeoutNow, *transfer_target_));
  // The campaign of the transfer target ignores the lease, so this replica must
  // no longer rely on it, whether the campaign succeeds or not.
  BecomeFollower(term(), std::nullopt);
}

}  // namespace bramleyrail
