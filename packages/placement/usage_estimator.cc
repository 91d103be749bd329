#include "packages/placement/usage_estimator.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace bramleyrail {

namespace {

namespace histogram = boost::histogram;

// Range of the ratios of used to declared amounts. Buckets of 7% are finer than
// the margins below.
constexpr double kMinimumRatio = 0.01;
constexpr double kMaximumRatio = 10.0;
constexpr int kBuckets = 100;

// Fewer reports are not enough for a quantile of 0.95 or more.
constexpr double kMinimumReports = 30;

// Counts are halved when their sum reaches this threshold, so that a kind whose
// usage changes is relearned after about as many reports.
constexpr double kDecayThreshold = 2000;

// Processor time can be overcommitted for a moment and memory cannot, so memory
// has a higher quantile and margin.
constexpr double kProcessorQuantile = 0.95;
constexpr double kMemoryQuantile = 0.99;
constexpr double kProcessorMargin = 1.1;
constexpr double kMemoryMargin = 1.2;

// Limits the effect of reports that are wrong or were measured in an idle
// phase.
constexpr double kMinimumEstimateRatio = 0.1;
constexpr double kMaximumEstimateRatio = 4.0;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;

}  // namespace

class UsageEstimator::Distribution {
 public:
  void Add(double ratio) {
    counts_(std::clamp(ratio, kMinimumRatio, kMaximumRatio * 0.999));
    ++sum_;
    if (sum_ >= kDecayThreshold) {
      counts_ *= 0.5;
      sum_ *= 0.5;
    }
  }

  bool HasEnoughReports() const { return sum_ >= kMinimumReports; }

  double Quantile(double quantile) const {
    double cumulative = 0;
    for (const auto& bucket : histogram::indexed(counts_)) {
      cumulative += *bucket;
      if (cumulative >= quantile * sum_) {
        return bucket.bin().upper();
      }
    }
    return kMaximumRatio;
  }

 private:
  histogram::histogram<std::tuple<Axis>, histogram::dense_storage<double>>
      counts_{Axis(kBuckets, kMinimumRatio, kMaximumRatio)};
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
    if (!distribution.HasEnoughReports()) {
      return amount;
    }
    const double ratio =
        std::clamp(distribution.Quantile(quantile) * margin,
                   kMinimumEstimateRatio, kMaximumEstimateRatio);
    return static_cast<int64_t>(std::ceil(ratio * static_cast<double>(amount)));
  };
  return {scale(*found->second.processor, kProcessorQuantile, kProcessorMargin,
                declared.processor_millis),
          scale(*found->second.memory, kMemoryQuantile, kMemoryMargin,
                declared.memory_mib),
          declared.accelerators};
}

}  // namespace bramleyrail
