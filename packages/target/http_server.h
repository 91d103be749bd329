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

// A cpp-httplib server with its own bounded pool and short queue. When both
// are full, a few refusal threads answer 503 with "not_run": true. Connections
// that are idle give their thread up as soon as another connection waits.
class HttpServer {
 public:
  using Handler =
      std::function<void(const httplib::Request&, httplib::Response&)>;

  struct Options {
    std::string name;  // For log lines.
    std::string address = "127.0.0.1";
    int port = 0;  // 0: any free port.
    size_t maximum_threads = 64;
    size_t maximum_queue = 32;
    size_t maximum_body = size_t{4} * 1024 * 1024;
    Milliseconds keep_alive{5'000};
  };

  explicit HttpServer(Options options);
  ~HttpServer();

  // Patterns are regular expressions over the path. Before Start().
  void Get(const std::string& pattern, Handler handler);
  void Post(const std::string& pattern, Handler handler);

  // Binds and listens; kUnavailable when the address is in use.
  Result<void> Start();
  // Stops listening, lets handlers finish, and joins the threads.
  void Stop();

  int port() const { return port_; }
  int64_t refusals() const;

 private:
  class Listener;

  Handler Guard(Handler handler);

  const Options options_;
  std::unique_ptr<Listener> listener_;
  std::thread thread_;
  int port_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_TARGET_HTTP_SERVER_H_
