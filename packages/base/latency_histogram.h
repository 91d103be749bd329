#ifndef PACKAGES_BASE_LATENCY_HISTOGRAM_H_
#define PACKAGES_BASE_LATENCY_HISTOGRAM_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "packages/base/metrics.h"

namespace bramleyrail {

// Distribution of latencies from 0.05 ms to 600 s in logarithmic buckets. All
// threads may record at once without a lock.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  void Record(double milliseconds);

  // Upper bound in ms of the bucket that holds the quantile (0 to 1); 0 when
  // nothing has been recorded.
  double Quantile(double quantile) const;

  // Appends NAME_bucket (cumulative, label "le"), NAME_count.
  void AppendSamples(std::string_view name,
                     std::vector<MetricSample>* samples) const;

 private:
  struct Buckets;

  std::unique_ptr<Buckets> buckets_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BASE_LATENCY_HISTOGRAM_H_
