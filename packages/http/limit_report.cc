#include "packages/http/limit_report.h"

#include "packages/http/http_events.h"

namespace bramleyrail {

void LimitReport::Record(HttpLimit limit, std::string_view listener) {
  ++counts_[static_cast<size_t>(limit)];
  if (log_rate_.Allow(std::chrono::steady_clock::now())) {
    LogEvent(kHttpLimitReached, {{"address", listener},
                                 {"limit", HttpLimitName(limit)},
                                 {"suppressed", log_rate_.TakeSuppressed()}});
  }
}

void LimitReport::AppendSamples(std::vector<MetricSample>* samples) const {
  for (size_t limit = 0; limit < kHttpLimitCount; ++limit) {
    samples->push_back(
        {"http_limit_reached_total",
         {{"limit", std::string(HttpLimitName(static_cast<HttpLimit>(limit)))}},
         static_cast<double>(counts_[limit])});
  }
}

}  // namespace bramleyrail
