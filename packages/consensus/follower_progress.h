#ifndef PACKAGES_CONSENSUS_FOLLOWER_PROGRESS_H_
#define PACKAGES_CONSENSUS_FOLLOWER_PROGRESS_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "packages/base/base.h"
#include "packages/consensus/log_entry.h"

namespace bramleyrail {

// What the leader knows about one follower, learner or observer.
struct FollowerProgress {
  enum class Mode {
    kProbe,      // Looks for the last matching entry, one request at a time.
    kReplicate,  // Sends ahead of the answers, within the window.
    kSnapshot,   // The entries that it needs are compacted.
  };

  // An append request that was not answered yet.
  struct InFlight {
    LogIndex last_index = 0;
    size_t bytes = 0;
  };

  Mode mode = Mode::kProbe;
  LogIndex match = 0;
  LogIndex next = 1;
  bool probe_outstanding = false;
  std::deque<InFlight> in_flight;
  size_t in_flight_bytes = 0;
  LogIndex sent_commit = 0;

  // Send time of the newest request that was answered in this term.
  std::optional<MonotonicTime> acknowledged_send_time;
  std::optional<MonotonicTime> last_contact;
  // When the leader first knew of this follower.
  MonotonicTime added_at;

  SnapshotPointer snapshot;
  uint64_t snapshot_sent = 0;
  uint64_t snapshot_acknowledged = 0;
  MonotonicTime snapshot_progress_at;

  void StartProbe(LogIndex next_index) {
    mode = Mode::kProbe;
    next = next_index;
    probe_outstanding = false;
    in_flight.clear();
    in_flight_bytes = 0;
    snapshot = nullptr;
  }

  void StartSnapshot(SnapshotPointer pointer, MonotonicTime now) {
    StartProbe(next);
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
