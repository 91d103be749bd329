#include "packages/bramleyraild/role_metrics.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/bramleyraild/descriptor_budget.h"

namespace bramleyrail {

Result<std::unique_ptr<AsyncHttpServer>> StartMetricsServer(
    IoLoop* loop,
    const RoleSettings& settings,
    std::shared_ptr<ConnectionMemory> memory,
    std::function<std::vector<MetricSample>()> collect) {
  return AsyncHttpServer::Create(
      loop,
      {.address = absl::StrCat(settings.address, ":", settings.metrics_port),
       .maximum_connections = kMetricsConnections,
       .memory = std::move(memory)},
      [collect = std::move(collect)](const HttpRequest& request,
                                     const HttpResponder& respond) {
        if (request.target != "/metrics") {
          respond({.status = 404});
          return;
        }
        respond({.body = RenderMetrics(collect()),
                 .content_type = "text/plain; version=0.0.4"});
      });
}

void AppendMemory(const ConnectionMemory& memory,
                  const MemoryBudget& budget,
                  const PeerNetwork& network,
                  std::vector<MetricSample>* samples) {
  memory.AppendSamples(samples);
  samples->push_back(
      {"peer_memory_limit_bytes", {}, static_cast<double>(budget.peers)});
  samples->push_back({"peer_connections_reclaimed_total",
                      {},
                      static_cast<double>(network.ReclaimedConnections())});
}

}  // namespace bramleyrail
