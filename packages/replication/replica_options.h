#ifndef PACKAGES_REPLICATION_REPLICA_OPTIONS_H_
#define PACKAGES_REPLICATION_REPLICA_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "packages/consensus/consensus.h"
#include "packages/storage/storage.h"

namespace bramleyrail {

// Settings and hooks of a Replica. The hooks run on its thread.
struct ReplicaOptions {
  std::string instance_name;
  // nullopt: the instance has no disk and follows the log as an observer.
  std::optional<std::string> data_folder;
  // Replaces `data_folder` in tests.
  std::shared_ptr<Disk> disk;
  // Instances that form a new cluster together.
  std::vector<std::string> initial_voters;
  // Number of voters to maintain; the number of initial voters is the minimum.
  size_t target_voters = 0;
  // Names of all instances, which may include the local one.
  std::vector<std::string> peers;
  uint64_t seed = 0;
  MonotonicClock clock = BootTimeNow;
  // A proposal that is not committed within this time fails. It covers one
  // election, which takes 1 to 2 s.
  Milliseconds propose_timeout{5000};

  // A snapshot is saved after this many entries or 8 MB of entry data.
  LogIndex snapshot_entries = 4096;
  // Entries that stay in memory after a snapshot, for followers that lag
  // behind.
  LogIndex retained_entries = 4096;
  // Returns a number that is unique across processes, for replica generations
  // and call numbers. Does not depend on the seed.
  std::function<uint64_t()> unique_number = [] {
    return Hash64(NewUniqueId(), 0);
  };

  // Sends a message to an instance. Returns false when it is known not to have
  // been sent.
  std::function<bool(std::string_view peer, std::span<const std::byte> bytes)>
      send;
  // Applies a command of the log and returns the response to its proposer. Must
  // be deterministic. Indexes ascend, with gaps.
  std::function<Bytes(LogIndex index, std::span<const std::byte> command)>
      apply;
  // Serializes the whole state.
  std::function<Bytes()> snapshot;
  // Replaces the whole state by that of a snapshot.
  std::function<void(std::span<const std::byte> snapshot)> restore;
};

}  // namespace bramleyrail

#endif  // PACKAGES_REPLICATION_REPLICA_OPTIONS_H_
