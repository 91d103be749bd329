#include "packages/peer/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <system_error>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr int kListenBacklog = 256;

struct NativeAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;
  bool is_wildcard = false;

  const sockaddr* data() const {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
};

Result<NativeAddress> ToNative(const SocketAddress& address) {
  NativeAddress native;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&native.storage);
  if (inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(address.port);
    native.length = sizeof(sockaddr_in);
    native.is_wildcard = v4->sin_addr.s_addr == INADDR_ANY;
    return native;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&native.storage);
  if (inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(address.port);
    native.length = sizeof(sockaddr_in6);
    native.is_wildcard = IN6_IS_ADDR_UNSPECIFIED(&v6->sin6_addr);
    return native;
  }
  return MakeError(ErrorKind::kInvalidArgument,
                   absl::StrCat("'", address.ip, "' is not an IP address"),
                   "write a numeric IPv4 or IPv6 address");
}

Result<FileDescriptor> OpenSocket(const NativeAddress& address) {
  FileDescriptor socket(::socket(address.storage.ss_family,
                                 SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                                 IPPROTO_TCP));
  if (!socket.is_open()) {
    return MakeSystemError("cannot open a socket", errno);
  }
  return socket;
}

void SetOption(const FileDescriptor& socket, int level, int option) {
  const int enabled = 1;
  // The options only tune the socket, so a failure is not an error.
  (void)setsockopt(socket.number(), level, option, &enabled, sizeof(enabled));
}

// Frames are written whole, so waiting to fill a segment only adds latency.
void DisableWriteDelay(const FileDescriptor& socket) {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY);
}

}  // namespace

Error MakeSystemError(const std::string& action, int error_number) {
  return MakeError(
      ErrorKind::kUnavailable,
      absl::StrCat(action, ": ", std::generic_category().message(error_number)),
      "check the address, the network and the limits of the process");
}

Result<void> ValidateSocketAddress(const SocketAddress& address) {
  TRY(ToNative(address));
  return Success();
}

std::string ToString(const SocketAddress& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  return is_v6 ? absl::StrCat("[", address.ip, "]:", address.port)
               : absl::StrCat(address.ip, ":", address.port);
}

Result<FileDescriptor> Listen(const SocketAddress& address) {
  TRY(native, ToNative(address));
  TRY(socket, OpenSocket(native));
  // Allows a restart while connections of the last run are in TIME_WAIT.
  SetOption(socket, SOL_SOCKET, SO_REUSEADDR);
  if (bind(socket.number(), native.data(), native.length) != 0) {
    return MakeSystemError(absl::StrCat("cannot bind ", ToString(address)),
                           errno);
  }
  if (listen(socket.number(), kListenBacklog) != 0) {
    return MakeSystemError(absl::StrCat("cannot listen on ", ToString(address)),
                           errno);
  }
  return std::move(socket);
}

Result<uint16_t> BoundPort(const FileDescriptor& socket) {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  if (getsockname(socket.number(), reinterpret_cast<sockaddr*>(&storage),
                  &length) != 0) {
    return MakeSystemError("cannot read the address of a socket", errno);
  }
  if (storage.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in*>(&storage)->sin_port);
}

Result<FileDescriptor> StartDial(const SocketAddress& address,
                                 const SocketAddress& source) {
  TRY(native, ToNative(address));
  TRY(native_source, ToNative({source.ip, 0}));
  TRY(socket, OpenSocket(native));
  DisableWriteDelay(socket);
  if (!native_source.is_wildcard) {
    // Leaves the choice of the port to connect(), which can share ports
    // between different destinations.
    SetOption(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT);
    if (bind(socket.number(), native_source.data(), native_source.length) !=
        0) {
      return MakeSystemError(absl::StrCat("cannot bind ", source.ip), errno);
    }
  }
  if (connect(socket.number(), native.data(), native.length) != 0 &&
      errno != EINPROGRESS) {
    return MakeSystemError(
        absl::StrCat("cannot connect to ", ToString(address)), errno);
  }
  return std::move(socket);
}

Result<void> FinishDial(const FileDescriptor& socket) {
  int error_number = 0;
  socklen_t length = sizeof(error_number);
  if (getsockopt(socket.number(), SOL_SOCKET, SO_ERROR, &error_number,
                 &length) != 0) {
    error_number = errno;
  }
  if (error_number != 0) {
    return MakeSystemError("cannot connect", error_number);
  }
  return Success();
}

Result<std::optional<FileDescriptor>> Accept(const FileDescriptor& listener) {
  FileDescriptor socket(accept4(listener.number(), nullptr, nullptr,
                                SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (socket.is_open()) {
    DisableWriteDelay(socket);
    return std::optional<FileDescriptor>(std::move(socket));
  }
  const bool nothing_to_accept = errno == EAGAIN || errno == EWOULDBLOCK ||
                                 errno == EINTR || errno == ECONNABORTED;
  if (nothing_to_accept) {
    return std::optional<FileDescriptor>();
  }
  return MakeSystemError("cannot accept a connection", errno);
}

}  // namespace bramleyrail
