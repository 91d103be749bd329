#ifndef PACKAGES_HTTP_ASYNC_HTTP_CLIENT_H_
#define PACKAGES_HTTP_ASYNC_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "packages/http/http_message.h"
#include "packages/http/io_loop.h"

namespace bramleyrail {

// Calls HTTP/1.1 servers on an IoLoop and keeps connections for later calls.
// All calls from the thread of the loop.
class AsyncHttpClient {
 public:
  struct Options {
    Milliseconds connect_timeout{1'000};
    // An idle connection is not used any more after this long.
    Milliseconds idle_timeout{10'000};
    size_t idle_connections_per_address = 16;
  };
  using Callback = std::function<void(Result<HttpResponse>)>;

  AsyncHttpClient(IoLoop* loop, Options options);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  // Calls `address` ("10.0.0.1:8080"). The callback runs once, never inside
  // Call(): kUnavailable when the request was not sent, kNotFound when moreover
  // the connection was refused, kOutcomeUnknown when it may have been executed.
  // A call may be sent twice when a kept connection turns out to be closed, so
  // it must be idempotent.
  void Call(const std::string& address,
            HttpRequest request,
            Milliseconds timeout,
            Callback callback);

  // Closes idle connections to an address that is no longer used.
  void Forget(const std::string& address);

  uint64_t connections_opened() const { return connections_opened_; }

 private:
  class Connection;

  std::shared_ptr<Connection> TakeIdle(const std::string& address);
  void Keep(const std::string& address, std::shared_ptr<Connection> connection);
  void Connect(const std::string& address,
               std::shared_ptr<HttpRequest> request,
               MonotonicTime deadline,
               std::shared_ptr<Callback> callback);
  void Exchange(const std::string& address,
                const std::shared_ptr<Connection>& connection,
                std::shared_ptr<HttpRequest> request,
                MonotonicTime deadline,
                std::shared_ptr<Callback> callback);

  IoLoop* const loop_;
  const Options options_;
  // Expires with the client; pending operations check it.
  std::shared_ptr<bool> alive_;
  std::map<std::string, std::vector<std::shared_ptr<Connection>>> idle_;
  uint64_t connections_opened_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_ASYNC_HTTP_CLIENT_H_
