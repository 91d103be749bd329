#include "packages/storage/log_segment_scan.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace bramleyrail {

namespace {

// Returns whether a record of a batch newer than `batch` starts at any byte of
// `data`.
bool HasNewerBatch(std::span<const std::byte> data, uint64_t batch) {
  for (size_t position = 0; position < data.size(); ++position) {
    const std::optional<LogRecord> record =
        LogRecord::Parse(data.subspan(position));
    if (record && record->batch > batch) {
      return true;
    }
  }
  return false;
}

}  // namespace

LogSegmentScan LogSegmentScan::Scan(std::span<const std::byte> data,
                                    uint64_t first_batch) {
  LogSegmentScan scan;
  size_t complete_records = 0;
  size_t position = 0;
  while (position < data.size()) {
    std::optional<LogRecord> record = LogRecord::Parse(data.subspan(position));
    if (!record) {
      break;
    }
    position += record->EncodedSize();
    scan.records.push_back(std::move(*record));
    if (scan.records.back().ends_batch) {
      scan.complete_bytes = position;
      complete_records = scan.records.size();
    }
  }
  scan.records.resize(complete_records);
  if (scan.complete_bytes == data.size()) {
    return scan;
  }
  // A batch is written only after the previous one was synced. Damage in the
  // newest batch is therefore an interrupted write; earlier damage is not.
  const uint64_t damaged_batch =
      scan.records.empty() ? first_batch : scan.records.back().batch + 1;
  scan.end = HasNewerBatch(data.subspan(scan.complete_bytes), damaged_batch)
                 ? End::kDamaged
                 : End::kTorn;
  return scan;
}

}  // namespace bramleyrail
