#include "packages/placement/usage_estimator.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace bramleyrail {

namespace {

namespace histogram = boost::histogram;

// Ratios of used to declared. Steps of 7% are finer than the margins below.
constexpr double kSmallestRatio = 0.01;
constexpr double kLargestRatio = 10.0;
constexpr int kBuckets = 100;

// Fewer reports say little about a quantile of 0.95 and more.
constexpr double kNeededReports = 30;

// Counts are halved at this sum, so that a kind that changes its behaviour is
// relearned after about as many reports.
constexpr double kForgettingSum = 2000;

// Processor time can be shared for a moment; memory cannot, so its quantile
// and its margin are higher.
constexpr double kProcessorQuantile = 0.95;
constexpr double kMemoryQuantile = 0.99;
constexpr double kProcessorMargin = 1.1;
constexpr double kMemoryMargin = 1.2;

// Bounds the harm of reports that are wrong or come from an idle phase.
constexpr double kLowestEstimate = 0.1;
constexpr double kHighestEstimate = 4.0;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;

}  // namespace

class UsageEstimator::Distribution {
 public:
  void Add(double ratio) {
    counts_(std::clamp(ratio, kSmallestRatio, kLargestRatio * 0.999));
    ++sum_;
    if (sum_ >= kForgettingSum) {
      counts_ *= 0.5;
      sum_ *= 0.5;
    }
  }

  bool IsKnown() const { return sum_ >= kNeededReports; }

  double Quantile(double quantile) const {
    double seen = 0;
    for (const auto& bucket : histogram::indexed(counts_)) {
      seen += *bucket;
      if (seen >= quantile * sum_) {
        return bucket.bin().upper();
      }
    }
    return kLargestRatio;
  }

 private:
  histogram::histogram<std::tuple<Axis>, histogram::dense_storage<double>>
      counts_{Axis(kBuckets, kSmallestRatio, kLargestRatio)};
  double sum_ = 0;
};

UsageEstimator::UsageEstimator() = default;
UsageEstimator::~UsageEstimator() = default;

void UsageEstimator::Observe(int32_t task_kind,
                             const ResourceAmounts& declared,
                             const ResourceAmounts& used) {
  Kind& kind = kinds_[task_kind];
  if (kind.processor == nullptr) {
    kind.processor = std::make_unique<Distribution>();
    kind.memory = std::make_unique<Distribution>();
  }
  const auto add = [](Distribution* distribution, int64_t part, int64_t whole) {
    if (whole > 0) {
      distribution->Add(static_cast<double>(part) / static_cast<double>(whole));
    }
  };
  add(kind.processor.get(), used.processor_millis, declared.processor_millis);
  add(kind.memory.get(), used.memory_mib, declared.memory_mib);
}

ResourceAmounts UsageEstimator::Estimate(
    int32_t task_kind,
    const ResourceAmounts& declared) const {
  const auto found = kinds_.find(task_kind);
  if (found == kinds_.end()) {
    return declared;
  }
  const auto scale = [](const Distribution& distribution, double quantile,
                        double margin, int64_t amount) {
    if (!distribution.IsKnown()) {
      return amount;
    }
    const double ratio = std::clamp(distribution.Quantile(quantile) * margin,
                                    kLowestEstimate, kHighestEstimate);
    return static_cast<int64_t>(std::ceil(ratio * static_cast<double>(amount)));
  };
  return {scale(*found->second.processor, kProcessorQuantile, kProcessorMargin,
                declared.processor_millis),
          scale(*found->second.memory, kMemoryQuantile, kMemoryMargin,
                declared.memory_mib),
          declared.accelerators};
}

}  // namespace bramleyrail
