#ifndef PACKAGES_CALLER_CALLER_SERVER_H_
#define PACKAGES_CALLER_CALLER_SERVER_H_

#include <functional>
#include <string>

#include "packages/base/base.h"
#include "packages/caller/request_dispatcher.h"
#include "packages/target/target.h"

namespace bramleyrail {

// The HTTP server through which callers send requests and query the state of
// requests. docs/interfaces/callers.md describes the interface.
class CallerServer {
 public:
  struct Options {
    std::string instance;
    std::string address = "127.0.0.1";
    int port = 0;  // 0: any free port.
    size_t maximum_threads = 256;
    size_t maximum_queue = 64;  // Connections that wait for a thread.
    RequestDispatcher* dispatcher = nullptr;  // Must outlive the server.
    // Returns the state of a request as JSON, or kNotFound.
    std::function<Result<Json>(const std::string& request_id)> request_state;
  };

  explicit CallerServer(Options options);

  Result<void> Start() { return server_.Start(); }
  void Stop() { server_.Stop(); }
  int port() const { return server_.port(); }
  int64_t refusals() const { return server_.refusals(); }

 private:
  void HandleRequest(const httplib::Request& request,
                     httplib::Response* response);
  void HandleState(const httplib::Request& request,
                   httplib::Response* response);

  const Options options_;
  HttpServer server_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_CALLER_SERVER_H_
