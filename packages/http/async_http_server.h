#ifndef PACKAGES_HTTP_ASYNC_HTTP_SERVER_H_
#define PACKAGES_HTTP_ASYNC_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "packages/http/connection_memory.h"
#include "packages/http/http_message.h"
#include "packages/http/io_loop.h"

namespace bramleyrail {

// An HTTP/1.1 server on an IoLoop, where an idle connection costs no thread.
// All calls from the thread of the loop, or before it runs.
class AsyncHttpServer {
 public:
  struct Options {
    std::string address;  // "10.0.0.1:8080"; port 0 takes any free port.
    uint64_t maximum_body_bytes = uint64_t{4} * 1024 * 1024;
    uint32_t maximum_header_bytes = 16 * 1024;
    // A chunk extension, or the trailer section.
    size_t maximum_chunk_framing_bytes = size_t{16} * 1024;
    // A connection without a request for this long is closed.
    Milliseconds idle_timeout{60'000};
    // From the first byte of a request to the end of its header.
    Milliseconds header_timeout{10'000};
    // From the end of the header to the end of the body.
    Milliseconds body_timeout{30'000};
    // A further connection takes the place of the one whose client was silent
    // for longest, and is closed when the process works for all of them.
    size_t maximum_connections = 2'000;
    // Bounds all connections of the servers that share it; none: no bound.
    std::shared_ptr<ConnectionMemory> memory;
  };

  // kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<AsyncHttpServer>> Create(IoLoop* loop,
                                                         Options options,
                                                         HttpHandler handler);
  ~AsyncHttpServer();

  // Closes connections after the answer in progress; new ones are still taken.
  void BeginDrain();
  // Requests that were read and are not answered yet.
  size_t open_requests() const;
  size_t open_connections() const;
  uint16_t port() const;

 private:
  class Acceptor;
  explicit AsyncHttpServer(std::shared_ptr<Acceptor> acceptor);

  const std::shared_ptr<Acceptor> acceptor_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_ASYNC_HTTP_SERVER_H_
