#ifndef PACKAGES_HTTP_LIMIT_REPORT_H_
#define PACKAGES_HTTP_LIMIT_REPORT_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "packages/base/base.h"
#include "packages/http/http_limit.h"

namespace bramleyrail {

// Counts and logs the connections that were refused or closed because of a
// limit. For one thread.
class LimitReport {
 public:
  // `listener` is the address that the client has connected to.
  void Record(HttpLimit limit, std::string_view listener);

  uint64_t count(HttpLimit limit) const {
    return counts_[static_cast<size_t>(limit)];
  }
  void AppendSamples(std::vector<MetricSample>* samples) const;

 private:
  std::array<uint64_t, kHttpLimitCount> counts_{};
  LogRateLimit log_rate_{1};
};

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_LIMIT_REPORT_H_
