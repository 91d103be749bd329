#ifndef PACKAGES_STORAGE_LOG_RECORD_H_
#define PACKAGES_STORAGE_LOG_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "packages/consensus/consensus.h"

namespace bramleyrail {

enum class RecordType : uint8_t {
  kHardState = 1,
  kEntry = 2,
  // The log restarts after this index and term. A snapshot covers all entries
  // up to there.
  kBase = 3,
};

// Position of the last entry that a snapshot covers.
struct LogBase {
  LogIndex index = 0;
  Term term = 0;
};

// One record of a log segment: magic, CRC-32C of everything after it, payload
// length, batch number, flags, type, payload; integers are little endian.
// All records that are synced together have the same batch number, and the
// last of them has the flag `ends_batch`.
struct LogRecord {
  RecordType type = RecordType::kEntry;
  uint64_t batch = 0;
  bool ends_batch = false;
  std::vector<std::byte> payload;

  void AppendTo(std::vector<std::byte>* out) const;
  size_t EncodedSize() const;

  // Parses the record at the start of `data`. Returns nullopt if the record is
  // damaged or incomplete.
  static std::optional<LogRecord> Parse(std::span<const std::byte> data);
};

LogRecord MakeRecord(const HardState& state);
LogRecord MakeRecord(const LogEntry& entry);
LogRecord MakeRecord(const LogBase& base);
std::optional<HardState> ParseHardState(std::span<const std::byte> payload);
std::optional<LogEntry> ParseEntry(std::span<const std::byte> payload);
std::optional<LogBase> ParseBase(std::span<const std::byte> payload);

}  // namespace bramleyrail

#endif  // PACKAGES_STORAGE_LOG_RECORD_H_
