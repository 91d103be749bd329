#include "packages/bramleyraild/health_server.h"

#include <httplib.h>

#include <utility>

#include "packages/http/http.h"

namespace bramleyrail {

namespace {

// Probes and scrapes come one at a time; more threads would only cost memory.
constexpr size_t kThreads = 2;
constexpr time_t kKeepAliveSeconds = 2;

}  // namespace

HealthServer::HealthServer(Hooks hooks)
    : hooks_(std::move(hooks)), server_(std::make_unique<httplib::Server>()) {}

HealthServer::~HealthServer() {
  Stop();
}

Result<std::unique_ptr<HealthServer>> HealthServer::Create(
    const Endpoint& endpoint,
    Hooks hooks) {
  std::unique_ptr<HealthServer> server(new HealthServer(std::move(hooks)));
  httplib::Server& http = *server->server_;
  http.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  RequireExclusivePort(&http);
  http.set_keep_alive_timeout(kKeepAliveSeconds);
  http.Get("/live", [](const httplib::Request&, httplib::Response& response) {
    response.set_content("live\n", "text/plain");
  });
  http.Get("/ready", [&hooks = server->hooks_](const httplib::Request&,
                                               httplib::Response& response) {
    const std::string reason = hooks.reason_not_ready();
    response.status = reason.empty() ? 200 : 503;
    response.set_content((reason.empty() ? "ready" : reason) + "\n",
                         "text/plain");
  });
  http.Get("/metrics", [&hooks = server->hooks_](const httplib::Request&,
                                                 httplib::Response& response) {
    response.set_content(RenderMetrics(hooks.metrics()),
                         "text/plain; version=0.0.4");
  });
  if (!http.bind_to_port(endpoint.address.c_str(), endpoint.port)) {
    return MakeError(ErrorKind::kUnavailable,
                     "cannot listen on " + endpoint.ToString() + " for health",
                     "free the port or change listen.health in the settings");
  }
  return server;
}

void HealthServer::Start() {
  thread_ = std::thread([this] { server_->listen_after_bind(); });
  // Server::stop has no effect before the accept loop runs.
  while (!server_->is_running()) {
    std::this_thread::sleep_for(Milliseconds(1));
  }
}

void HealthServer::Stop() {
  server_->stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace bramleyrail
