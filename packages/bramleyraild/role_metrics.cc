#include "packages/bramleyraild/role_metrics.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

Result<std::unique_ptr<AsyncHttpServer>> StartMetricsServer(
    IoLoop* loop,
    const RoleSettings& settings,
    std::function<std::vector<MetricSample>()> collect) {
  return AsyncHttpServer::Create(
      loop,
      {.address = absl::StrCat(settings.address, ":", settings.metrics_port),
       .maximum_connections = 16},
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

}  // namespace bramleyrail
