#include "packages/http/fakes/raw_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace bramleyrail {

namespace {

// A server that neither reads nor closes ends the wait after this.
constexpr timeval kTimeout{.tv_sec = 5, .tv_usec = 0};
constexpr size_t kPieceBytes = 65'536;
// The code in "HTTP/1.1 200".
constexpr size_t kStatusOffset = 9;
constexpr size_t kStatusLineBytes = 12;

}  // namespace

RawClient::RawClient(const std::string& ip, uint16_t port, int receive_buffer)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  setsockopt(socket_.number(), SOL_SOCKET, SO_SNDTIMEO, &kTimeout,
             sizeof kTimeout);
  setsockopt(socket_.number(), SOL_SOCKET, SO_RCVTIMEO, &kTimeout,
             sizeof kTimeout);
  if (receive_buffer != 0) {
    setsockopt(socket_.number(), SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof receive_buffer);
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  connected_ =
      connect(socket_.number(), reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0;
}

bool RawClient::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count =
        send(socket_.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(count));
  }
  return true;
}

bool RawClient::SendRepeated(std::string_view unit, size_t size) {
  std::string piece;
  while (piece.size() < kPieceBytes) {
    piece += unit;
  }
  const std::string_view view = piece;
  for (size_t sent = 0; sent < size; sent += view.size()) {
    if (!Send(view.substr(0, std::min(view.size(), size - sent)))) {
      return false;
    }
  }
  return true;
}

int RawClient::ReadStatus() {
  const std::string line = Read(kStatusLineBytes);
  return line.size() < kStatusLineBytes
             ? 0
             : std::atoi(line.c_str() + kStatusOffset);
}

std::string RawClient::Read(size_t size) {
  std::string text;
  std::array<char, kPieceBytes> buffer;
  while (text.size() < size) {
    const ssize_t count = recv(socket_.number(), buffer.data(),
                               std::min(buffer.size(), size - text.size()), 0);
    if (count <= 0) {
      break;
    }
    text.append(buffer.data(), static_cast<size_t>(count));
  }
  return text;
}

}  // namespace bramleyrail
