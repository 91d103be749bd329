#ifndef PACKAGES_OPERATOR_OPERATOR_SERVER_H_
#define PACKAGES_OPERATOR_OPERATOR_SERVER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "packages/operator/instance_status.h"
#include "packages/operator/live_target.h"
#include "packages/state/state.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace bramleyrail {

// What the replicated state does not know. Called on server threads; each may
// block for as long as an operator may wait.
struct OperatorHooks {
  // State of a caller's request, and the decisions about it.
  std::function<Result<Json>(std::string_view request_id)> request_state;
  std::function<Result<Json>(std::string_view request_id)> explain_request;
  // Status of every known instance, also of those that cannot be reached.
  std::function<std::vector<InstanceStatus>()> instance_statuses;
  // Live sessions of the targets of all services.
  std::function<Result<std::vector<LiveTarget>>()> live_targets;
};

struct OperatorServerOptions {
  std::string listen_address = "127.0.0.1";
  int port = 0;  // 0: any free port.
  std::string watch_listen_address = "127.0.0.1";
  int watch_port = 0;
  // Each connection holds a thread; more connections than threads wait in the
  // queue, and more than that are answered 503.
  size_t request_threads = 8;
  size_t request_queue = 32;
  // Each watch holds a thread of its own pool.
  size_t maximum_watches = 64;
  Milliseconds change_timeout{10'000};
  Milliseconds watch_heartbeat{2'000};
  StateAccess state;
  OperatorHooks hooks;
};

// Serves docs/interfaces/operators.md. Watches have a server and a thread pool
// of their own, so that they cannot starve requests.
class OperatorServer {
 public:
  // Binds both ports, so that they are known before Start().
  static Result<std::unique_ptr<OperatorServer>> Create(
      OperatorServerOptions options);

  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  // Starts to accept connections.
  Result<void> Start();
  // Sends every watch its last line and refuses new ones; requests go on.
  void BeginDrain();
  // Finishes the requests in progress and closes all connections.
  void Stop();

  int port() const { return port_; }
  int watch_port() const { return watch_port_; }

 private:
  explicit OperatorServer(OperatorServerOptions options);

  Result<void> Bind();
  void AddRequestRoutes();
  void AddWatchRoutes();
  void OpenWatch(const httplib::Request& request, httplib::Response& response);

  const std::shared_ptr<const OperatorServerOptions> options_;
  std::atomic<bool> draining_ = false;
  std::unique_ptr<httplib::Server> request_server_;
  std::unique_ptr<httplib::Server> watch_server_;
  int port_ = 0;
  int watch_port_ = 0;
  std::vector<std::thread> threads_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_OPERATOR_OPERATOR_SERVER_H_
