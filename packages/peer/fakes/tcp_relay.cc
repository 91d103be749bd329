#include "packages/peer/fakes/tcp_relay.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

#include "packages/peer/socket.h"

namespace bramleyrail {

namespace {

constexpr int kPollMilliseconds = 5;
constexpr size_t kBufferBytes = 65'536;

}  // namespace

TcpRelay::TcpRelay()
    : listener_(Listen({"127.0.0.1", 0}).value()),
      port_(BoundPort(listener_).value()),
      thread_([this] { Run(); }) {}

TcpRelay::~TcpRelay() {
  stopping_ = true;
  thread_.join();
}

void TcpRelay::Run() {
  while (!stopping_) {
    if (freeze_.exchange(false)) {
      for (Pair& pair : pairs_) {
        pair.frozen = true;
      }
    }
    std::vector<pollfd> descriptors = {{listener_.number(), POLLIN, 0}};
    for (const Pair& pair : pairs_) {
      // A frozen pair is not polled at all, not even for its end.
      descriptors.push_back(
          {pair.frozen ? -1 : pair.client.number(), POLLIN, 0});
      descriptors.push_back(
          {pair.frozen ? -1 : pair.server.number(), POLLIN, 0});
    }
    poll(descriptors.data(), descriptors.size(), kPollMilliseconds);
    for (size_t i = pairs_.size(); i-- > 0;) {
      const Pair& pair = pairs_[i];
      bool open = true;
      if (descriptors[1 + 2 * i].revents != 0) {
        open = Forward(pair.client, pair.server);
      }
      if (open && descriptors[2 + 2 * i].revents != 0) {
        open = Forward(pair.server, pair.client);
      }
      if (!open) {
        pairs_.erase(pairs_.begin() + static_cast<std::ptrdiff_t>(i));
      }
    }
    if (descriptors[0].revents != 0) {
      AcceptOne();
    }
  }
}

void TcpRelay::AcceptOne() {
  std::optional<FileDescriptor> client = Accept(listener_).value();
  if (!client.has_value() || target_port_ == 0) {
    return;
  }
  Result<FileDescriptor> server =
      StartDial({"127.0.0.1", target_port_}, {"127.0.0.1", 0});
  if (server.has_error()) {
    return;
  }
  ++accepted_connections_;
  pairs_.push_back({std::move(*client), std::move(server).value()});
}

bool TcpRelay::Forward(const FileDescriptor& from, const FileDescriptor& to) {
  std::array<std::byte, kBufferBytes> buffer;
  const ssize_t count = recv(from.number(), buffer.data(), buffer.size(), 0);
  if (count <= 0) {
    return count < 0 && errno == EAGAIN;
  }
  if (damage_.exchange(false)) {
    buffer[static_cast<size_t>(count) - 1] ^= std::byte{1};
  }
  ssize_t sent = 0;
  while (sent < count) {
    const ssize_t written =
        send(to.number(), buffer.data() + sent,
             static_cast<size_t>(count - sent), MSG_NOSIGNAL);
    if (written < 0 && errno != EAGAIN) {
      return false;
    }
    if (written > 0) {
      sent += written;
      continue;
    }
    pollfd writable = {to.number(), POLLOUT, 0};
    poll(&writable, 1, kPollMilliseconds);
    if (stopping_ || freeze_) {
      return true;
    }
  }
  return true;
}

}  // namespace bramleyrail
