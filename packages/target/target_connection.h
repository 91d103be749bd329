#ifndef PACKAGES_TARGET_TARGET_CONNECTION_H_
#define PACKAGES_TARGET_TARGET_CONNECTION_H_

#include <httplib.h>

#include <memory>
#include <string>
#include <utility>

#include "packages/target/socket_stream.h"

namespace bramleyrail {

// One HTTP connection to a target. Connecting and sending are separate steps,
// so that the lease can be checked in between, and a failure before sending is
// known to have sent nothing.
class TargetConnection : private httplib::ClientImpl {
 public:
  TargetConnection(const std::string& host,
                   int port,
                   std::unique_ptr<SocketStream> stream)
      : httplib::ClientImpl(host, port), stream_(std::move(stream)) {
    // The body is forwarded as the target encoded it.
    set_decompress(false);
  }

  SocketStream& stream() { return *stream_; }

  // Sends one request and reads the response. Returns false on any failure;
  // the connection must not be used again then.
  bool Exchange(httplib::Request* request,
                httplib::Response* response,
                bool close_after) {
    httplib::Error error = httplib::Error::Success;
    return process_request(*stream_, *request, *response, close_after, error);
  }

 private:
  std::unique_ptr<SocketStream> stream_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_TARGET_TARGET_CONNECTION_H_
