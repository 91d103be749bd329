#include "packages/base/latency_histogram.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <cstdint>
#include <limits>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr double kSmallestMilliseconds = 0.05;
constexpr double kLargestMilliseconds = 600'000;
// Steps of 26%, fine enough to tell a p99 of 1.2 times another from it.
constexpr int kBucketCount = 70;

using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using ThreadSafeCount = boost::histogram::accumulators::thread_safe<uint64_t>;
using Histogram = boost::histogram::histogram<
    std::tuple<Axis>,
    boost::histogram::dense_storage<ThreadSafeCount>>;

}  // namespace

struct LatencyHistogram::Buckets {
  Histogram histogram{
      Axis(kBucketCount, kSmallestMilliseconds, kLargestMilliseconds)};
};

LatencyHistogram::LatencyHistogram() : buckets_(std::make_unique<Buckets>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(double milliseconds) {
  buckets_->histogram(milliseconds);
}

double LatencyHistogram::Quantile(double quantile) const {
  uint64_t total = 0;
  for (const auto& count : buckets_->histogram) {
    total += count;
  }
  if (total == 0) {
    return 0;
  }
  const auto rank =
      static_cast<uint64_t>(std::ceil(quantile * static_cast<double>(total)));
  uint64_t seen = 0;
  // Index -1 is the underflow bucket.
  for (int i = -1; i < kBucketCount; ++i) {
    seen += buckets_->histogram.at(i);
    if (seen >= rank) {
      return buckets_->histogram.axis().value(i + 1);
    }
  }
  return kLargestMilliseconds;
}

void LatencyHistogram::AppendSamples(std::string_view name,
                                     std::vector<MetricSample>* samples) const {
  uint64_t seen = 0;
  uint64_t last_reported = std::numeric_limits<uint64_t>::max();
  const std::string bucket_name = std::string(name) + "_bucket";
  for (int i = -1; i <= kBucketCount; ++i) {
    seen += buckets_->histogram.at(i);
    const bool last = i == kBucketCount;
    // Buckets that add nothing are left out to keep the page small.
    if (seen == last_reported && !last) {
      continue;
    }
    last_reported = seen;
    const std::string bound =
        last ? "+Inf" : absl::StrCat(buckets_->histogram.axis().value(i + 1));
    samples->push_back(
        {bucket_name, {{"le", bound}}, static_cast<double>(seen)});
  }
  samples->push_back(
      {std::string(name) + "_count", {}, static_cast<double>(seen)});
}

}  // namespace bramleyrail
