#ifndef PACKAGES_TARGET_HTTP_SERVER_H_
#define PACKAGES_TARGET_HTTP_SERVER_H_

#include <httplib.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "packages/base/base.h"
#include "packages/target/bounded_thread_pool.h"

namespace bramleyrail {

// An HTTP server on top of cpp-httplib with a bounded thread pool and a short
// queue. When both are full, a few separate threads respond with status 503 and
// "not_run": true. An idle connection is closed, which frees its thread, as
// soon as other connections are queued.
class HttpServer {
 public:
  using Handler =
      std::function<void(const httplib::Request&, httplib::Response&)>;

  struct Options {
    std::string name;  // Used in log events.
    std::string address = "127.0.0.1";
    int port = 0;  // 0: any free port.
    size_t maximum_threads = 64;
    size_t maximum_queue = 32;
    size_t maximum_body = size_t{4} * 1024 * 1024;  // In bytes.
    Milliseconds keep_alive{5'000};
  };

  explicit HttpServer(Options options);
  ~HttpServer();

  // Register a handler for the paths that match the regular expression
  // `pattern`. Must be called before Start().
  void Get(const std::string& pattern, Handler handler);
  void Post(const std::string& pattern, Handler handler);

  // Binds the address and listens. kUnavailable when the address is in use.
  Result<void> Start();
  // Stops listening, waits for running handlers, and joins the threads.
  void Stop();

  int port() const { return port_; }
  // Number of connections that found the pool and its queue full.
  int64_t refusals() const;

 private:
  class Listener;

  // Returns a handler that responds with 503 on a refusal thread, and calls
  // `handler` otherwise.
  Handler WrapHandler(Handler handler);

  const Options options_;
  std::unique_ptr<Listener> listener_;
  std::thread thread_;
  int port_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_TARGET_HTTP_SERVER_H_
