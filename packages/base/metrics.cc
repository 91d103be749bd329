#include "packages/base/metrics.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace bramleyrail {

std::string RenderMetrics(const std::vector<MetricSample>& samples) {
  std::string text;
  for (const MetricSample& sample : samples) {
    absl::StrAppend(&text, "bramleyrail_", sample.name);
    if (!sample.labels.empty()) {
      std::string separator = "{";
      for (const auto& [label, value] : sample.labels) {
        absl::StrAppend(&text, separator, label, "=\"", absl::CEscape(value),
                        "\"");
        separator = ",";
      }
      absl::StrAppend(&text, "}");
    }
    absl::StrAppend(&text, " ", sample.value, "\n");
  }
  return text;
}

}  // namespace bramleyrail
