#ifndef PACKAGES_BRAMLEYRAILD_ROLE_METRICS_H_
#define PACKAGES_BRAMLEYRAILD_ROLE_METRICS_H_

#include <functional>
#include <memory>
#include <vector>

#include "packages/bramleyraild/role_settings.h"
#include "packages/http/http.h"

namespace bramleyrail {

// Serves GET /metrics in the Prometheus text format on the metrics port.
Result<std::unique_ptr<AsyncHttpServer>> StartMetricsServer(
    IoLoop* loop,
    const RoleSettings& settings,
    std::function<std::vector<MetricSample>()> collect);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_ROLE_METRICS_H_
