#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <stdexcept>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t kMaximumMessageBytes = size_t{8} << 20;

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool WaitFor(int socket, short events, Clock::time_point deadline) {
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now());
  pollfd descriptor{socket, events, 0};
  return left.count() > 0 &&
         poll(&descriptor, 1, static_cast<int>(left.count())) > 0;
}

bool SendAll(int socket, const std::string& text, Clock::time_point deadline) {
  size_t sent = 0;
  while (sent < text.size()) {
    if (!WaitFor(socket, POLLOUT, deadline)) {
      return false;
    }
    const ssize_t count = send(socket, text.data() + sent, text.size() - sent,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), ::tolower);
  return text;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

// Reads one message with a Content-Length from the socket and the buffer.
std::optional<Message> ReadMessage(int socket,
                                   std::string* buffer,
                                   Clock::time_point deadline) {
  size_t end = std::string::npos;
  std::optional<Message> message;
  size_t length = 0;
  while (true) {
    if (!message && (end = buffer->find("\r\n\r\n")) != std::string::npos) {
      message.emplace();
      size_t line = buffer->find("\r\n");
      message->first_line = buffer->substr(0, line);
      while (line < end) {
        const size_t start = line + 2;
        line = buffer->find("\r\n", start);
        const std::string field = buffer->substr(start, line - start);
        const size_t colon = field.find(':');
        if (colon != std::string::npos) {
          const size_t value = field.find_first_not_of(' ', colon + 1);
          message->headers[Lower(field.substr(0, colon))] =
              value == std::string::npos ? "" : field.substr(value);
        }
      }
      length =
          std::strtoul(message->headers["content-length"].c_str(), nullptr, 10);
      buffer->erase(0, end + 4);
    }
    if (message && buffer->size() >= length) {
      message->body = buffer->substr(0, length);
      buffer->erase(0, length);
      return message;
    }
    char bytes[16384];
    if (buffer->size() > kMaximumMessageBytes ||
        !WaitFor(socket, POLLIN, deadline)) {
      return std::nullopt;
    }
    const ssize_t count = recv(socket, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return std::nullopt;
    }
    buffer->append(bytes, static_cast<size_t>(count));
  }
}

}  // namespace

Response Call(const std::string& ip,
              int port,
              const std::string& method,
              const std::string& target,
              const std::string& body,
              int timeout_ms,
              const Headers& headers) {
  const auto deadline = Clock::now() + std::chrono::milliseconds(timeout_ms);
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    return {};
  }
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = Address(ip, port);
  // On loopback, the connection is established or refused at once.
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(socket);
    return {};
  }
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  bool has_host = false;
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
    has_host = has_host || name == "Host";
  }
  if (!has_host) {
    text += "Host: " + ip + "\r\n";
  }
  if (!body.empty()) {
    text += "Content-Type: application/json\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) +
          "\r\nConnection: close\r\n\r\n" + body;
  Response response;
  std::string buffer;
  if (SendAll(socket, text, deadline)) {
    if (auto message = ReadMessage(socket, &buffer, deadline)) {
      response.status = std::atoi(message->first_line.c_str() + 9);
      response.body = std::move(message->body);
    }
  }
  close(socket);
  return response;
}

struct HttpServer::Shared {
  Handler handler;
  int listener = -1;
  std::mutex mutex;
  std::condition_variable changed;
  bool stopped = false;
  bool closes_connections = false;
  std::set<int> sockets;
};

HttpServer::HttpServer(std::string ip,
                       int port,
                       Handler handler,
                       bool closes_connections)
    : shared_(std::make_shared<Shared>()) {
  shared_->handler = std::move(handler);
  shared_->closes_connections = closes_connections;
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Address(ip, port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(listener, 256) != 0) {
    close(listener);
    throw std::runtime_error("cannot listen on " + ip);
  }
  shared_->listener = listener;
  acceptor_ = std::thread([shared = shared_, listener] {
    while (true) {
      const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      const int nodelay = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof nodelay);
      {
        std::lock_guard lock(shared->mutex);
        if (shared->stopped) {
          close(socket);
          return;
        }
        shared->sockets.insert(socket);
      }
      std::thread([shared, socket] { Serve(shared, socket); }).detach();
    }
  });
}

HttpServer::~HttpServer() {
  Stop();
}

void HttpServer::Stop() {
  {
    std::lock_guard lock(shared_->mutex);
    if (shared_->stopped) {
      return;
    }
    shared_->stopped = true;
    shutdown(shared_->listener, SHUT_RDWR);
    for (const int socket : shared_->sockets) {
      shutdown(socket, SHUT_RDWR);
    }
  }
  acceptor_.join();
  close(shared_->listener);
  std::unique_lock lock(shared_->mutex);
  shared_->changed.wait_for(lock, std::chrono::seconds(2),
                            [this] { return shared_->sockets.empty(); });
}

void HttpServer::Serve(const std::shared_ptr<Shared>& shared, int socket) {
  std::string buffer;
  while (true) {
    const auto deadline = Clock::now() + std::chrono::seconds(60);
    auto message = ReadMessage(socket, &buffer, deadline);
    if (!message) {
      break;
    }
    Request request;
    const size_t first = message->first_line.find(' ');
    const size_t second = message->first_line.find(' ', first + 1);
    request.method = message->first_line.substr(0, first);
    request.target = message->first_line.substr(first + 1, second - first - 1);
    request.headers = std::move(message->headers);
    request.body = std::move(message->body);
    const Response response = shared->handler(request);
    {
      std::lock_guard lock(shared->mutex);
      if (shared->stopped) {
        break;
      }
    }
    if (response.status == 0 ||
        !SendAll(
            socket,
            "HTTP/1.1 " + std::to_string(response.status) +
                " X\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(response.body.size()) +
                (shared->closes_connections ? "\r\nConnection: close" : "") +
                "\r\n\r\n" + response.body,
            Clock::now() + std::chrono::seconds(10)) ||
        shared->closes_connections) {
      break;
    }
  }
  std::lock_guard lock(shared->mutex);
  shared->sockets.erase(socket);
  close(socket);
  shared->changed.notify_all();
}

}  // namespace review
