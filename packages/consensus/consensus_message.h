#ifndef PACKAGES_CONSENSUS_CONSENSUS_MESSAGE_H_
#define PACKAGES_CONSENSUS_CONSENSUS_MESSAGE_H_

#include <cstdint>
#include <vector>

#include "packages/consensus/log_entry.h"
#include "packages/consensus/replica_id.h"

namespace bramleyrail {

enum class MessageType : uint8_t {
  kPreVoteRequest = 0,
  kPreVoteResponse = 1,
  kVoteRequest = 2,
  kVoteResponse = 3,
  kAppendRequest = 4,  // Without entries it is a heartbeat.
  kAppendResponse = 5,
  kSnapshotChunk = 6,
  kSnapshotResponse = 7,
  kTimeoutNow = 8,   // Tells the target of a transfer to campaign at once.
  kJoinRequest = 9,  // A learner or observer asks the leader for the log.
  kFreshnessProbe = 10,
  kFreshnessAnswer = 11,
  kJoinAnswer = 12,  // Names the members, one of which leads.
};

inline constexpr MessageType kLastMessageType = MessageType::kJoinAnswer;

// A message between two replicas. Fields that a type does not use are zero.
struct ConsensusMessage {
  MessageType type = MessageType::kAppendRequest;
  ReplicaId from;
  ReplicaId to;
  Term term = 0;

  // Vote requests: last entry of the candidate. Append request: the entry
  // before `entries`. Append response: the last matching entry, or when
  // rejected the last entry that may match. Snapshot messages: the last entry
  // of the snapshot. Freshness answer: the commit index.
  LogIndex index = 0;
  Term log_term = 0;
  // Append response when rejected: the index of the request.
  LogIndex rejected_index = 0;
  LogIndex commit = 0;
  bool rejected = false;
  // Vote request: the old leader gave up its lease for this campaign.
  bool transfer = false;
  // Join request: the sender is an observer.
  bool observer = false;
  // Monotonic time, in nanoseconds, at which the leader (append) or the
  // follower (probe) sent the request; the response repeats it.
  int64_t sent_at = 0;
  std::vector<LogEntry> entries;

  // Snapshot chunk: position of `data` and size of the whole snapshot, both in
  // bytes. Snapshot response: the offset that is expected next.
  uint64_t offset = 0;
  uint64_t size = 0;
  Bytes data;
  Configuration configuration;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_CONSENSUS_MESSAGE_H_
