#ifndef PACKAGES_STORAGE_LOG_SEGMENT_SCAN_H_
#define PACKAGES_STORAGE_LOG_SEGMENT_SCAN_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "packages/storage/log_record.h"

namespace bramleyrail {

// The records of one segment, and what follows its last complete batch.
struct LogSegmentScan {
  enum class End {
    kClean,    // The segment ends after a record.
    kTorn,     // The last write was interrupted before its sync.
    kDamaged,  // A record that was synced is damaged.
  };

  // Records and length of the complete batches.
  std::vector<LogRecord> records;
  uint64_t good_bytes = 0;
  End end = End::kClean;

  // `first_batch` is the batch that the segment is expected to start with.
  static LogSegmentScan Scan(std::span<const std::byte> data,
                             uint64_t first_batch);
};

}  // namespace bramleyrail

#endif  // PACKAGES_STORAGE_LOG_SEGMENT_SCAN_H_
