#ifndef PACKAGES_TARGET_TARGET_SERVER_H_
#define PACKAGES_TARGET_TARGET_SERVER_H_

#include <atomic>
#include <functional>
#include <string>

#include "packages/base/base.h"
#include "packages/routing/routing.h"
#include "packages/target/http_server.h"

namespace bramleyrail {

// The HTTP server on which targets announce themselves, renew their sessions
// and leave. docs/interfaces/targets.md describes the interface.
class TargetServer {
 public:
  struct Options {
    std::string instance;
    std::string failure_domain;
    std::string address = "127.0.0.1";
    int port = 0;                   // 0: any free port.
    RoutingTable* table = nullptr;  // Must outlive the server.
    // Called after a target has announced itself, renewed its session (which
    // may free capacity), or left.
    std::function<void()> on_change = [] {};
  };

  explicit TargetServer(Options options);

  Result<void> Start() { return server_.Start(); }
  void Stop() { server_.Stop(); }
  int port() const { return server_.port(); }
  int64_t refusals() const { return server_.refusals(); }

  // Makes the server refuse announcements, and request in the response to each
  // renewal that the target moves to another instance.
  void BeginDrain() { draining_.store(true); }

 private:
  void HandleAnnounce(const httplib::Request& request,
                      httplib::Response* response);
  void HandleRenew(const httplib::Request& request,
                   httplib::Response* response);
  void HandleLeave(const httplib::Request& request,
                   httplib::Response* response);
  void Refuse(httplib::Response* response,
              std::string_view target,
              const Error& error);
  Result<TargetAnnouncement> ReadAnnouncement(const httplib::Request& request);

  const Options options_;
  std::atomic<bool> draining_{false};
  HttpServer server_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_TARGET_TARGET_SERVER_H_
