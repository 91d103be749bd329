#ifndef PACKAGES_BRAMLEYRAILD_ROLE_METRICS_H_
#define PACKAGES_BRAMLEYRAILD_ROLE_METRICS_H_

#include <functional>
#include <memory>
#include <vector>

#include "packages/bramleyraild/memory_budget.h"
#include "packages/bramleyraild/role_settings.h"
#include "packages/http/http.h"
#include "packages/peer/peer.h"

namespace bramleyrail {

// Serves GET /metrics in the Prometheus text format on the metrics port.
Result<std::unique_ptr<AsyncHttpServer>> StartMetricsServer(
    IoLoop* loop,
    const RoleSettings& settings,
    std::shared_ptr<ConnectionMemory> memory,
    std::function<std::vector<MetricSample>()> collect);

// What clients and peers make the process keep, and the limits that they met.
void AppendMemory(const ConnectionMemory& memory,
                  const MemoryBudget& budget,
                  const PeerNetwork& network,
                  std::vector<MetricSample>* samples);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_ROLE_METRICS_H_
