#include "packages/placement/free_capacity_index.h"

#include <algorithm>
#include <bit>

#include "packages/base/base.h"

namespace bramleyrail {

namespace {

// The users' workers have 60 GB for 16 cores and 125 GB for 32 cores, which is
// about 4 GiB per core. With that ratio neither resource dominates.
constexpr int64_t kMibPerCore = 4096;
constexpr int64_t kMillisPerCore = 1000;

int64_t MemoryUnits(int64_t mib) {
  return mib * kMillisPerCore / kMibPerCore;
}

}  // namespace

int64_t FreeUnits(const ResourceAmounts& free) {
  return std::min(free.processor_millis, MemoryUnits(free.memory_mib));
}

int64_t RequestUnits(const ResourceAmounts& size) {
  // Rounded up, since FreeUnits rounds down.
  return std::max(size.processor_millis, MemoryUnits(size.memory_mib) + 1);
}

uint32_t FreeCapacityIndex::BucketOf(int64_t units) {
  constexpr uint32_t kStepsPerOctave = 8;
  if (units < kStepsPerOctave) {
    return static_cast<uint32_t>(std::max<int64_t>(units, 0));
  }
  const auto value = static_cast<uint64_t>(units);
  const auto octave = static_cast<uint32_t>(std::bit_width(value)) - 3;
  const auto step = static_cast<uint32_t>(value >> (octave - 1)) & 7;
  return std::min<uint32_t>(octave * kStepsPerOctave + step, kBucketCount - 1);
}

void FreeCapacityIndex::Insert(uint32_t worker, int64_t free_units) {
  if (worker >= positions_.size()) {
    positions_.resize(worker + 1);
  }
  const uint32_t bucket = BucketOf(free_units);
  positions_[worker] = {bucket, static_cast<uint32_t>(buckets_[bucket].size())};
  buckets_[bucket].push_back(worker);
  ++size_;
}

void FreeCapacityIndex::Remove(uint32_t worker) {
  if (worker >= positions_.size() || positions_[worker].bucket == UINT32_MAX) {
    return;
  }
  const Position position = positions_[worker];
  std::vector<uint32_t>& bucket = buckets_[position.bucket];
  const uint32_t last = bucket.back();
  bucket[position.offset] = last;
  positions_[last].offset = position.offset;
  bucket.pop_back();
  positions_[worker] = {};
  --size_;
}

void FreeCapacityIndex::Update(uint32_t worker, int64_t free_units) {
  if (worker < positions_.size() &&
      positions_[worker].bucket == BucketOf(free_units)) {
    return;
  }
  Remove(worker);
  Insert(worker, free_units);
}

size_t FreeCapacityIndex::CountWithAtLeast(int64_t units) const {
  size_t count = 0;
  // The bucket of `units` itself also holds workers with slightly less, so only
  // the buckets above it are counted.
  for (size_t bucket = BucketOf(units) + 1; bucket < kBucketCount; ++bucket) {
    count += buckets_[bucket].size();
  }
  return count;
}

uint32_t FreeCapacityIndex::WorkerAt(size_t rank) const {
  for (size_t bucket = kBucketCount; bucket-- > 0;) {
    if (rank < buckets_[bucket].size()) {
      return buckets_[bucket][rank];
    }
    rank -= buckets_[bucket].size();
  }
  FailAssertion("rank < size", __FILE__, __LINE__,
                "the rank must be less than the number of indexed workers");
}

}  // namespace bramleyrail
