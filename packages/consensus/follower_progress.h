#ifndef PACKAGES_CONSENSUS_FOLLOWER_PROGRESS_H_
#define PACKAGES_CONSENSUS_FOLLOWER_PROGRESS_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "packages/base/base.h"
#include "packages/consensus/log_entry.h"

namespace bramleyrail {

// The leader's replication progress of one follower, learner or observer.
struct FollowerProgress {
  enum class Mode {
    kProbe,      // Searches for the last matching entry, one request at a time.
    kReplicate,  // Sends entries without waiting, up to the in-flight limits.
    kSnapshot,   // Sends a snapshot, since the next entries are compacted.
  };

  // An append request that is not acknowledged yet.
  struct InFlight {
    LogIndex last_index = 0;
    size_t bytes = 0;
  };

  Mode mode = Mode::kProbe;
  LogIndex match_index = 0;  // Last entry known to be stored.
  LogIndex next_index = 1;   // Next entry to send.
  bool probe_outstanding = false;
  std::deque<InFlight> in_flight;
  size_t in_flight_bytes = 0;
  LogIndex sent_commit_index = 0;  // Highest commit index that was sent.

  // Send time of the newest acknowledged append request of this term.
  std::optional<MonotonicTime> acknowledged_send_time;
  std::optional<MonotonicTime> last_contact;  // Time of the last response.
  MonotonicTime added_at;  // When the leader began to replicate to it.

  SnapshotPointer snapshot;
  // Bytes of `snapshot`. `snapshot_sent` is one more than the size of the
  // snapshot after the last chunk was sent.
  uint64_t snapshot_sent = 0;
  uint64_t snapshot_acknowledged = 0;
  MonotonicTime snapshot_progress_at;

  void StartProbe(LogIndex first_index) {
    mode = Mode::kProbe;
    next_index = first_index;
    probe_outstanding = false;
    in_flight.clear();
    in_flight_bytes = 0;
    snapshot = nullptr;
  }

  void StartSnapshot(SnapshotPointer pointer, MonotonicTime now) {
    StartProbe(next_index);
    mode = Mode::kSnapshot;
    snapshot = std::move(pointer);
    snapshot_sent = 0;
    snapshot_acknowledged = 0;
    snapshot_progress_at = now;
  }

  void AddInFlight(LogIndex last_index, size_t bytes) {
    in_flight.push_back({last_index, bytes});
    in_flight_bytes += bytes;
  }

  void AcknowledgeThrough(LogIndex index) {
    while (!in_flight.empty() && in_flight.front().last_index <= index) {
      in_flight_bytes -= in_flight.front().bytes;
      in_flight.pop_front();
    }
  }
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_FOLLOWER_PROGRESS_H_
