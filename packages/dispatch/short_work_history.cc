#include "packages/dispatch/short_work_history.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bramleyrail {

namespace {

constexpr Milliseconds kWindow{60'000};  // Of all blocks.
constexpr Milliseconds kBlockTime{15'000};
constexpr Milliseconds kBucketTime{250};
constexpr int64_t kWindowBuckets = kWindow / kBucketTime;
// After a takeover, all open tasks count as if they had arrived together. Once
// there is more history, that moment says nothing about later peaks.
constexpr int64_t kEarlyBuckets = 20;
constexpr int64_t kSkippedBuckets = 8;
// With less history, the arrivals of the first moment would be taken for the
// usual rate.
constexpr double kMinimumSpanMs = 2'000;
// The need covers this share of the time, so that at most about one job in a
// hundred meets a peak beyond it. The factor is the same quantile of a normal
// distribution, in standard deviations.
constexpr double kCoverage = 0.99;
constexpr double kCoverageDeviations = 2.33;
// Expected duration of a task without an estimate before any run has finished.
constexpr Milliseconds kUnknownDuration{1'000};
// Weight of the submitted estimate beside finished runs.
constexpr double kEstimateWeightMs = 1'000;
// A few odd runs must not make the expected duration useless.
constexpr double kMaximumDurationFactor = 10;
constexpr double kClassesPerOctave = 4;
constexpr double kSmallestClassMillis = 32;

int64_t ToBucket(MonotonicTime time) {
  return time.time_since_epoch() / kBucketTime;
}

int ClassOf(int64_t processor_millis, int classes) {
  const double octaves =
      std::log2(std::max(static_cast<double>(processor_millis), 1.0) /
                kSmallestClassMillis);
  return std::clamp(static_cast<int>(std::ceil(octaves * kClassesPerOctave)), 0,
                    classes - 1);
}

}  // namespace

int64_t& ShortWorkHistory::At(std::array<int64_t, kRingSize>* ring,
                              int64_t bucket) {
  return (*ring)[static_cast<size_t>(bucket % kRingSize)];
}

ShortWorkHistory::Block& ShortWorkHistory::Advance(MonotonicTime now) {
  const int64_t block = now.time_since_epoch() / kBlockTime;
  const int64_t expired = std::min<int64_t>(block - block_, kBlocks);
  for (int64_t number = block - expired + 1; number <= block; ++number) {
    blocks_[static_cast<size_t>(number % kBlocks)] = Block();
  }
  block_ = std::max(block, block_);
  const int64_t bucket = ToBucket(now);
  // The buckets of tasks that run after `now` are in use already.
  const int64_t cleared = std::min(bucket - bucket_, kRingSize);
  for (int64_t number = bucket - cleared + 1; number <= bucket; ++number) {
    At(&occupancy_, number + kWindowBuckets) = 0;
  }
  bucket_ = std::max(bucket, bucket_);
  return blocks_[static_cast<size_t>(block_ % kBlocks)];
}

void ShortWorkHistory::AddReadyTasks(const ResourceAmounts& size,
                                     int64_t tasks,
                                     Milliseconds duration,
                                     MonotonicTime now) {
  Block& block = Advance(now);
  if (first_bucket_ < 0) {
    first_bucket_ = bucket_;
  }
  const Milliseconds counted = std::min(duration, kWindow);
  const auto counted_ms = static_cast<double>(counted.count());
  const int64_t processor_millis = size.processor_millis * tasks;
  const auto width = static_cast<double>(processor_millis);
  block.width += width;
  block.work += width * counted_ms;
  block.squared_width_time += width * width * counted_ms;
  SizeClass& size_class = block.classes[static_cast<size_t>(
      ClassOf(size.processor_millis, kClasses))];
  size_class.work += width * counted_ms;
  size_class.size.processor_millis =
      std::max(size_class.size.processor_millis, size.processor_millis);
  size_class.size.memory_mib =
      std::max(size_class.size.memory_mib, size.memory_mib);
  size_class.size.accelerators =
      std::max(size_class.size.accelerators, size.accelerators);
  const auto time = std::chrono::floor<Milliseconds>(now.time_since_epoch());
  const Milliseconds end = time + counted;
  for (Milliseconds start = time; start < end;) {
    const int64_t bucket = start / kBucketTime;
    const Milliseconds next =
        std::min<Milliseconds>((bucket + 1) * kBucketTime, end);
    if (bucket <= bucket_ + kWindowBuckets) {
      At(&occupancy_, bucket) += processor_millis * (next - start).count();
    }
    start = next;
  }
}

void ShortWorkHistory::AddFinishedRun(Milliseconds estimate,
                                      Milliseconds duration,
                                      MonotonicTime now) {
  Block& block = Advance(now);
  const auto duration_ms = static_cast<double>(duration.count());
  block.duration_ms += duration_ms;
  ++block.finished_runs;
  if (estimate.count() > 0) {
    block.estimated_ms += static_cast<double>(estimate.count());
    block.actual_ms += duration_ms;
  }
}

Milliseconds ShortWorkHistory::ExpectedDuration(Milliseconds estimate,
                                                MonotonicTime now) {
  Advance(now);
  double estimated_ms = kEstimateWeightMs;
  double actual_ms = kEstimateWeightMs;
  double duration_ms = 0;
  int64_t finished_runs = 0;
  for (const Block& block : blocks_) {
    estimated_ms += block.estimated_ms;
    actual_ms += block.actual_ms;
    duration_ms += block.duration_ms;
    finished_runs += block.finished_runs;
  }
  if (estimate.count() <= 0) {
    return finished_runs == 0
               ? kUnknownDuration
               : Milliseconds(std::llround(duration_ms /
                                           static_cast<double>(finished_runs)));
  }
  const double factor =
      std::clamp(actual_ms / estimated_ms, 1 / kMaximumDurationFactor,
                 kMaximumDurationFactor);
  return Milliseconds(
      std::llround(factor * static_cast<double>(estimate.count())));
}

int64_t ShortWorkHistory::PeakOccupancy() const {
  std::vector<int64_t> values;
  const int64_t skipped =
      bucket_ - first_bucket_ < kEarlyBuckets ? 0 : kSkippedBuckets;
  const int64_t first =
      std::max(first_bucket_ + skipped, bucket_ - kWindowBuckets + 1);
  for (int64_t bucket = first; bucket <= bucket_; ++bucket) {
    values.push_back(occupancy_[static_cast<size_t>(bucket % kRingSize)]);
  }
  const auto rank =
      values.begin() + std::llround(std::ceil(
                           kCoverage * static_cast<double>(values.size() - 1)));
  std::nth_element(values.begin(), rank, values.end());
  return *rank / kBucketTime.count();
}

ShortWorkNeed ShortWorkHistory::Need(MonotonicTime now) {
  Advance(now);
  ShortWorkNeed need;
  Block total;
  for (const Block& block : blocks_) {
    total.width += block.width;
    total.work += block.work;
    total.squared_width_time += block.squared_width_time;
    for (size_t index = 0; index < block.classes.size(); ++index) {
      SizeClass& size_class = total.classes[index];
      const SizeClass& added = block.classes[index];
      size_class.work += added.work;
      size_class.size.processor_millis = std::max(
          size_class.size.processor_millis, added.size.processor_millis);
      size_class.size.memory_mib =
          std::max(size_class.size.memory_mib, added.size.memory_mib);
      size_class.size.accelerators =
          std::max(size_class.size.accelerators, added.size.accelerators);
    }
  }
  if (total.work <= 0) {
    return need;
  }
  // Arrivals of steps that are independent of each other: the mean and the
  // variance of the processors in use follow from the rate, the width and the
  // duration of the steps. A single task counts as one for as long as it takes,
  // and not as if such tasks came all the time.
  const Milliseconds since_block =
      std::chrono::floor<Milliseconds>(now.time_since_epoch()) % kBlockTime;
  const Milliseconds history =
      std::min<Milliseconds>((bucket_ - first_bucket_ + 1) * kBucketTime,
                             (kBlocks - 1) * kBlockTime + since_block);
  const double span_ms = std::max({static_cast<double>(history.count()),
                                   total.work / total.width, kMinimumSpanMs});
  const double mean = total.work / span_ms;
  const double deviation = std::sqrt(total.squared_width_time / span_ms);
  const int64_t peak =
      std::max(std::llround(mean + kCoverageDeviations * deviation),
               static_cast<long long>(PeakOccupancy()));
  need.mean_processor_millis = std::llround(mean);
  need.peak_processor_millis = peak;
  for (size_t index = total.classes.size(); index-- > 0;) {
    const SizeClass& size_class = total.classes[index];
    if (size_class.work <= 0) {
      continue;
    }
    const double share = size_class.work / total.work;
    const auto size = static_cast<double>(
        std::max<int64_t>(size_class.size.processor_millis, 1));
    need.groups.push_back(
        {size_class.size,
         std::llround(std::ceil(share * static_cast<double>(peak) / size)),
         share});
  }
  return need;
}

bool ShortWorkHistory::IsEmpty(MonotonicTime now) {
  Advance(now);
  return std::all_of(blocks_.begin(), blocks_.end(), [](const Block& block) {
    return block.work <= 0 && block.finished_runs == 0;
  });
}

}  // namespace bramleyrail
