#ifndef PACKAGES_BASE_METRICS_H_
#define PACKAGES_BASE_METRICS_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bramleyrail {

// One value of the metrics endpoint. Names follow the Prometheus text format:
// lower case with the unit at the end, for example "request_latency_ms".
struct MetricSample {
  std::string name;
  std::vector<std::pair<std::string, std::string>> labels;
  double value = 0;
};

// Renders samples in the Prometheus text format, each name with the prefix
// "bramleyrail_".
std::string RenderMetrics(const std::vector<MetricSample>& samples);

}  // namespace bramleyrail

#endif  // PACKAGES_BASE_METRICS_H_
