#ifndef PACKAGES_PEER_SOCKET_H_
#define PACKAGES_PEER_SOCKET_H_

#include <cstdint>
#include <optional>
#include <string>

#include "packages/base/base.h"
#include "packages/peer/peer_types.h"

namespace bramleyrail {

// Non-blocking TCP sockets on numeric addresses. Faulty addresses are
// kInvalidArgument, faults of the system kUnavailable.

Result<void> ValidateSocketAddress(const SocketAddress& address);
// "127.0.0.1:7000" or "[::1]:7000".
std::string ToString(const SocketAddress& address);

Result<FileDescriptor> Listen(const SocketAddress& address);
Result<uint16_t> BoundPort(const FileDescriptor& socket);

// Starts to connect; FinishDial() tells the outcome once the socket is
// writable. `source` is bound unless it is a wildcard address.
Result<FileDescriptor> StartDial(const SocketAddress& address,
                                 const SocketAddress& source);
Result<void> FinishDial(const FileDescriptor& socket);

// The next connection that waits, or nullopt when there is none.
Result<std::optional<FileDescriptor>> Accept(const FileDescriptor& listener);

// kUnavailable with the text of the errno value.
Error MakeSystemError(const std::string& action, int error_number);

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_SOCKET_H_
