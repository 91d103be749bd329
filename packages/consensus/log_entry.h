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

using LogIndex = uint64_t;  // Starts at 1; 0 stands before the first entry.
using Term = uint64_t;      // Starts at 1; 0 stands before the first election.
using Bytes = std::vector<std::byte>;

enum class EntryKind : uint8_t {
  kCommand = 0,
  // The whole configuration. Every leader starts its term with one, so a
  // replica that joins learns the configuration from the log.
  kConfiguration = 1,
};

struct LogEntry {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kCommand;
  Bytes data;

  bool operator==(const LogEntry&) const = default;
};

// State that must be synced before a message that depends on it is sent.
struct HardState {
  Term term = 0;
  std::optional<ReplicaId> vote;

  bool operator==(const HardState&) const = default;
};

// The state machine after the entry at `index`, and the configuration there.
struct Snapshot {
  LogIndex index = 0;
  Term term = 0;
  Configuration configuration;
  Bytes data;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_LOG_ENTRY_H_
