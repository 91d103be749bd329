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
  // Leadership transfer: makes the receiver start a campaign at once.
  kTimeoutNow = 8,
  // A new replica or an observer asks the leader for the log.
  kJoinRequest = 9,
  // Asks the leader for its commit index.
  kFreshnessProbe = 10,
  kFreshnessResponse = 11,
  // From a replica that is not the leader: its configuration.
  kJoinResponse = 12,
};

inline constexpr MessageType kLastMessageType = MessageType::kJoinResponse;

// A message between two replicas. Fields that a type does not use are zero.
struct ConsensusMessage {
  MessageType type = MessageType::kAppendRequest;
  ReplicaId from;
  ReplicaId to;
  Term term = 0;

  // Index and term of an entry. Vote requests and responses: the sender's last
  // entry.
  // Append request: the entry before `entries`. Append response (index only):
  // the last matching entry or, when rejected, the last entry that may match.
  // Snapshot messages: the last entry of the snapshot. Freshness response
  // (index only): the commit index.
  LogIndex index = 0;
  Term log_term = 0;
  // Rejecting append response: the index of the rejected request.
  LogIndex rejected_index = 0;
  LogIndex commit = 0;
  bool rejected = false;
  // Vote request: the previous leader released its lease for this campaign.
  bool transfer = false;
  // Join request: the sender is an observer.
  bool observer = false;
  // Monotonic time of the sender, in nanoseconds, at which the leader (append)
  // or the follower (freshness probe) sent the request. The response copies it.
  int64_t sent_at = 0;
  std::vector<LogEntry> entries;

  // Snapshot chunk: offset of `data` in the snapshot and size of the whole
  // snapshot, both in bytes. Snapshot response: the next expected offset.
  uint64_t offset = 0;
  uint64_t size = 0;
  Bytes data;
  Configuration configuration;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_CONSENSUS_MESSAGE_H_
