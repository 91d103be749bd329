#ifndef PACKAGES_STORAGE_LOG_SEGMENT_SCAN_H_
#define PACKAGES_STORAGE_LOG_SEGMENT_SCAN_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "packages/storage/log_record.h"

namespace bramleyrail {

// The records of one log segment, and the state of the data after its last
// complete batch.
struct LogSegmentScan {
  enum class End {
    kClean,    // The segment ends after a complete batch.
    kTorn,     // The last write was interrupted before its sync.
    kDamaged,  // A record that had been synced is damaged.
  };

  // The records of all complete batches, and their length in the segment.
  std::vector<LogRecord> records;
  uint64_t complete_bytes = 0;
  End end = End::kClean;

  // `first_batch` is the number of the batch with which the segment is expected
  // to start.
  static LogSegmentScan Scan(std::span<const std::byte> data,
                             uint64_t first_batch);
};

}  // namespace bramleyrail

#endif  // PACKAGES_STORAGE_LOG_SEGMENT_SCAN_H_
