#include "packages/target/fakes/raw_target.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace bramleyrail {

RawTarget::RawTarget(std::string response) : response_(std::move(response)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  const bool listens = ::bind(listener_, generic, length) == 0 &&
                       ::listen(listener_, 64) == 0 &&
                       ::getsockname(listener_, generic, &length) == 0;
  BRAMLEYRAIL_ASSERT(
      listens,
      "the raw target cannot listen on a port of the loopback address");
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { AcceptConnections(); });
}

RawTarget::~RawTarget() {
  ::shutdown(listener_, SHUT_RDWR);
  thread_.join();
  ::close(listener_);
}

void RawTarget::AcceptConnections() {
  while (true) {
    const int socket = ::accept(listener_, nullptr, nullptr);
    if (socket < 0) {
      return;
    }
    connections_.fetch_add(1);
    Serve(socket);
    ::close(socket);
  }
}

void RawTarget::Serve(int socket) {
  std::string request;
  std::array<char, 4096> buffer{};
  // The tests send the body "{}", which ends the request.
  while (!request.ends_with("{}")) {
    const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      return;
    }
    request.append(buffer.data(), static_cast<size_t>(count));
    bytes_received_.fetch_add(static_cast<size_t>(count));
  }
  size_t sent = 0;
  while (sent < response_.size()) {
    const ssize_t count = ::send(socket, response_.data() + sent,
                                 response_.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    sent += static_cast<size_t>(count);
  }
}

}  // namespace bramleyrail
