#include "packages/target/socket_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

// How often a blocked read or write polls its cancellation callback.
constexpr Milliseconds kCancellationPollInterval{200};
// How often WaitForData() polls whether to stop waiting.
constexpr Milliseconds kIdlePollInterval{20};
// The kernel closes a connection whose data or keep-alive probes stay
// unacknowledged for this long.
constexpr int kUnacknowledgedTimeoutMs = 3'000;
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;

void SetOption(int socket, int level, int option, int value) {
  // A failure is ignored: it only delays the detection of a dead connection.
  (void)::setsockopt(socket, level, option, &value, sizeof(value));
}

void SetSocketOptions(int socket) {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedTimeoutMs);
}

Milliseconds RemainingTime(MonotonicTime deadline) {
  const auto remaining = std::chrono::ceil<Milliseconds>(
      deadline - std::chrono::steady_clock::now());
  return std::max(remaining, Milliseconds(0));
}

Error ConnectError(const std::string& host, int port, int error) {
  return MakeError(ErrorKind::kUnavailable,
                   absl::StrCat("cannot connect to ", host, ":", port, ": ",
                                std::strerror(error)),
                   "check that the target is running and has announced the "
                   "right address");
}

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;
};

bool ParseAddress(const std::string& host, int port, SocketAddress* address) {
  auto* v4 = reinterpret_cast<sockaddr_in*>(&address->storage);
  if (::inet_pton(AF_INET, host.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(static_cast<uint16_t>(port));
    address->length = sizeof(sockaddr_in);
    return true;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&address->storage);
  if (::inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(static_cast<uint16_t>(port));
    address->length = sizeof(sockaddr_in6);
    return true;
  }
  return false;
}

void FormatAddress(const sockaddr_storage& storage,
                   std::string* address,
                   int* port) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (storage.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
    ::inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    *port = ntohs(v4->sin_port);
  } else if (storage.ss_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    ::inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
    *port = ntohs(v6->sin6_port);
  }
  *address = text.data();
}

// Waits for a non-blocking connect() to finish. Returns 0 or its errno value.
int WaitForConnect(int socket, Milliseconds timeout) {
  pollfd event{socket, POLLOUT, 0};
  const int ready = ::poll(&event, 1, static_cast<int>(timeout.count()));
  if (ready == 0) {
    return ETIMEDOUT;
  }
  if (ready < 0) {
    return errno;
  }
  int error = 0;
  socklen_t length = sizeof(error);
  if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0) {
    return errno;
  }
  return error;
}

}  // namespace

Result<std::unique_ptr<SocketStream>>
SocketStream::Connect(const std::string& host, int port, Milliseconds timeout) {
  SocketAddress address;
  if (!ParseAddress(host, port, &address)) {
    return ConnectError(host, port, EINVAL);
  }
  const int socket = ::socket(address.storage.ss_family,
                              SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    return ConnectError(host, port, errno);
  }
  auto stream = std::make_unique<SocketStream>(socket);
  SetSocketOptions(socket);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address.storage),
                address.length) != 0) {
    const int error =
        errno == EINPROGRESS ? WaitForConnect(socket, timeout) : errno;
    if (error != 0) {
      return ConnectError(host, port, error);
    }
  }
  return stream;
}

SocketStream::~SocketStream() {
  ::shutdown(socket_, SHUT_RDWR);
  ::close(socket_);
}

void SocketStream::SetTimeouts(Milliseconds progress_timeout,
                               MonotonicTime deadline) {
  progress_timeout_ = progress_timeout;
  deadline_ = deadline;
  timed_out_ = false;
}

void SocketStream::SetCancellationCallback(std::function<bool()> cancelled) {
  cancelled_ = std::move(cancelled);
}

bool SocketStream::WaitUntilReady(Direction direction) {
  const MonotonicTime until =
      std::min(deadline_, std::chrono::steady_clock::now() + progress_timeout_);
  const auto events =
      static_cast<short>(direction == Direction::kRead ? POLLIN : POLLOUT);
  while (true) {
    if (cancelled_ && cancelled_()) {
      return false;
    }
    Milliseconds wait = RemainingTime(until);
    if (cancelled_) {
      wait = std::min(wait, kCancellationPollInterval);
    }
    pollfd event{socket_, events, 0};
    const int ready = ::poll(&event, 1, static_cast<int>(wait.count()));
    if (ready > 0) {
      return true;
    }
    if (ready < 0 && errno != EINTR) {
      return false;
    }
    if (std::chrono::steady_clock::now() >= until) {
      timed_out_ = true;
      return false;
    }
  }
}

bool SocketStream::WaitForData(Milliseconds timeout,
                               const std::function<bool()>& should_stop) {
  if (buffer_begin_ < buffer_end_) {
    return true;
  }
  const MonotonicTime until = std::chrono::steady_clock::now() + timeout;
  while (true) {
    const Milliseconds wait = std::min(RemainingTime(until), kIdlePollInterval);
    pollfd event{socket_, POLLIN, 0};
    const int ready = ::poll(&event, 1, static_cast<int>(wait.count()));
    if (ready > 0) {
      return true;
    }
    const bool failed = ready < 0 && errno != EINTR;
    if (failed || should_stop() || std::chrono::steady_clock::now() >= until) {
      return false;
    }
  }
}

bool SocketStream::IsReusable() const {
  if (buffer_begin_ < buffer_end_) {
    return false;
  }
  char byte = 0;
  const ssize_t count = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool SocketStream::is_readable() const {
  pollfd event{socket_, POLLIN, 0};
  return buffer_begin_ < buffer_end_ || ::poll(&event, 1, 0) > 0;
}

bool SocketStream::is_writable() const {
  pollfd event{socket_, POLLOUT, 0};
  return ::poll(&event, 1, static_cast<int>(progress_timeout_.count())) > 0 &&
         (event.revents & (POLLERR | POLLHUP)) == 0;
}

ssize_t SocketStream::read(char* data, size_t size) {
  if (buffer_begin_ == buffer_end_) {
    ssize_t count = -1;
    do {
      // Tries to read without waiting first. Data has usually arrived already,
      // which saves a poll().
      count = ::recv(socket_, buffer_.data(), buffer_.size(), MSG_DONTWAIT);
      if (count < 0 && errno != EINTR &&
          ((errno != EAGAIN && errno != EWOULDBLOCK) ||
           !WaitUntilReady(Direction::kRead))) {
        return -1;
      }
    } while (count < 0);
    if (count == 0) {
      return 0;
    }
    buffer_begin_ = 0;
    buffer_end_ = static_cast<size_t>(count);
    // A peer that sends single bytes never exceeds the progress timeout, so the
    // deadline is checked here as well.
    if (std::chrono::steady_clock::now() >= deadline_) {
      timed_out_ = true;
      return -1;
    }
  }
  const size_t count = std::min(size, buffer_end_ - buffer_begin_);
  std::memcpy(data, buffer_.data() + buffer_begin_, count);
  buffer_begin_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t SocketStream::write(const char* data, size_t size) {
  while (true) {
    const ssize_t count =
        ::send(socket_, data, size, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count >= 0) {
      bytes_written_ += static_cast<size_t>(count);
      return count;
    }
    if (errno == EINTR) {
      continue;
    }
    if ((errno != EAGAIN && errno != EWOULDBLOCK) ||
        !WaitUntilReady(Direction::kWrite)) {
      return -1;
    }
  }
}

void SocketStream::get_remote_ip_and_port(std::string& address,
                                          int& port) const {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  if (::getpeername(socket_, reinterpret_cast<sockaddr*>(&storage), &length) ==
      0) {
    FormatAddress(storage, &address, &port);
  }
}

void SocketStream::get_local_ip_and_port(std::string& address,
                                         int& port) const {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  if (::getsockname(socket_, reinterpret_cast<sockaddr*>(&storage), &length) ==
      0) {
    FormatAddress(storage, &address, &port);
  }
}

}  // namespace bramleyrail
