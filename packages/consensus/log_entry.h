#ifndef PACKAGES_CONSENSUS_LOG_ENTRY_H_
#define PACKAGES_CONSENSUS_LOG_ENTRY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "packages/consensus/configuration.h"
#include "packages/consensus/replica_id.h"

namespace bramleyrail {

using LogIndex = uint64_t;  // Starts at 1; 0: before the first entry.
using Term = uint64_t;      // Starts at 1; 0: before the first election.
using Bytes = std::vector<std::byte>;

enum class EntryKind : uint8_t {
  kCommand = 0,
  // A complete configuration. Every leader appends one at the start of its
  // term, so a replica that joins gets the configuration from the log.
  kConfiguration = 1,
};

struct LogEntry {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kCommand;
  Bytes data;

  bool operator==(const LogEntry&) const = default;
};

// The term and vote of a replica. They must be synced to disk before a message
// that depends on them is sent.
struct HardState {
  Term term = 0;
  std::optional<ReplicaId> vote;

  bool operator==(const HardState&) const = default;
};

// The state machine after the entry at `index` was applied, with the
// configuration at that index.
struct Snapshot {
  LogIndex index = 0;
  Term term = 0;
  Configuration configuration;
  Bytes data;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_LOG_ENTRY_H_
