#ifndef PACKAGES_PLACEMENT_FREE_CAPACITY_INDEX_H_
#define PACKAGES_PLACEMENT_FREE_CAPACITY_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "packages/state/state.h"

namespace bramleyrail {

// Capacity as one number, in thousandths of a core, so that it can be indexed.
// Free capacity is converted from its scarcest resource and a request from its
// largest, so a request always fits a worker with at least as many units,
// accelerators aside. The reverse does not hold.
int64_t FreeUnits(const ResourceAmounts& free);
int64_t RequestUnits(const ResourceAmounts& size);

// Workers of one group, ordered by free units to the precision of a bucket. The
// cost of all operations is independent of the number of workers.
class FreeCapacityIndex {
 public:
  void Insert(uint32_t worker, int64_t free_units);
  void Remove(uint32_t worker);
  void Update(uint32_t worker, int64_t free_units);

  // Number of workers that are known to have at least `units` free.
  size_t CountWithAtLeast(int64_t units) const;
  // The worker at `rank` among those of CountWithAtLeast, ordered by free
  // units, most first. `rank` must be less than that count.
  uint32_t WorkerAt(size_t rank) const;
  size_t size() const { return size_; }

 private:
  // 20 octaves of 8 buckets cover 2^20 units, which is 1,048 cores.
  static constexpr size_t kBucketCount = 160;

  struct Position {
    uint32_t bucket = UINT32_MAX;
    uint32_t offset = 0;
  };

  static uint32_t BucketOf(int64_t units);

  std::array<std::vector<uint32_t>, kBucketCount> buckets_;
  std::vector<Position> positions_;  // By worker.
  size_t size_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_FREE_CAPACITY_INDEX_H_
