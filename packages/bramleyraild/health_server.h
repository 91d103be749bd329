#ifndef PACKAGES_BRAMLEYRAILD_HEALTH_SERVER_H_
#define PACKAGES_BRAMLEYRAILD_HEALTH_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "packages/base/base.h"
#include "packages/bramleyraild/settings.h"

namespace httplib {
class Server;
}  // namespace httplib

namespace bramleyrail {

// HTTP endpoints for the platform:
//   GET /live     200 while the process runs.
//   GET /ready    200 when the balancer may send requests, else 503 with the
//                 reason.
//   GET /metrics  Prometheus text format.
class HealthServer {
 public:
  struct Hooks {
    // Empty when ready, else why not.
    std::function<std::string()> reason_not_ready;
    std::function<std::vector<MetricSample>()> metrics;
  };

  static Result<std::unique_ptr<HealthServer>> Create(const Endpoint& endpoint,
                                                      Hooks hooks);
  ~HealthServer();
  HealthServer(const HealthServer&) = delete;
  HealthServer& operator=(const HealthServer&) = delete;

  void Start();
  void Stop();

 private:
  explicit HealthServer(Hooks hooks);

  Hooks hooks_;
  std::unique_ptr<httplib::Server> server_;
  std::thread thread_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_HEALTH_SERVER_H_
