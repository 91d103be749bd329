#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

sockaddr_in Endpoint(const std::string& ip, int port) {
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &endpoint.sin_addr);
  return endpoint;
}

int Listen(const std::string& ip, int port) {
  const int socket_number = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket_number, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in endpoint = Endpoint(ip, port);
  if (bind(socket_number, reinterpret_cast<const sockaddr*>(&endpoint),
           sizeof endpoint) != 0 ||
      listen(socket_number, 128) != 0) {
    close(socket_number);
    return -1;
  }
  return socket_number;
}

bool WaitFor(int socket_number, short events, Clock::time_point deadline) {
  while (true) {
    const auto left = std::chrono::ceil<Milliseconds>(deadline - Clock::now());
    if (left.count() <= 0) {
      return false;
    }
    pollfd descriptor{socket_number, events, 0};
    const int count = poll(&descriptor, 1, static_cast<int>(left.count()));
    if (count > 0) {
      return true;
    }
    if (count < 0 && errno != EINTR) {
      return false;
    }
  }
}

bool SendAll(int socket_number,
             const std::string& data,
             Clock::time_point deadline) {
  size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t count = send(socket_number, data.data() + sent,
                               data.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<size_t>(count);
    } else if (errno != EAGAIN || !WaitFor(socket_number, POLLOUT, deadline)) {
      return false;
    }
  }
  return true;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

// Reads a message with a Content-Length; the bytes after it stay in `buffer`.
std::optional<Message> ReadMessage(int socket_number,
                                   Clock::time_point deadline,
                                   std::string* buffer,
                                   std::string* error) {
  const auto read_more = [&] {
    if (!WaitFor(socket_number, POLLIN, deadline)) {
      *error = "timeout";
      return false;
    }
    char bytes[16384];
    const ssize_t count = recv(socket_number, bytes, sizeof bytes, 0);
    if (count <= 0) {
      *error = count == 0 ? "connection closed" : std::strerror(errno);
      return false;
    }
    buffer->append(bytes, static_cast<size_t>(count));
    return true;
  };
  size_t end = 0;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!read_more()) {
      return std::nullopt;
    }
  }
  Message message;
  size_t line_start = 0;
  while (line_start < end) {
    const size_t line_end = buffer->find("\r\n", line_start);
    const std::string line = buffer->substr(line_start, line_end - line_start);
    line_start = line_end + 2;
    const size_t colon = line.find(':');
    if (message.first_line.empty()) {
      message.first_line = line;
    } else if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[name] =
          value == std::string::npos ? "" : line.substr(value);
    }
  }
  const auto found = message.headers.find("content-length");
  const size_t length =
      found == message.headers.end() ? 0 : std::stoul(found->second);
  while (buffer->size() < end + 4 + length) {
    if (!read_more()) {
      return std::nullopt;
    }
  }
  message.body = buffer->substr(end + 4, length);
  buffer->erase(0, end + 4 + length);
  return message;
}

}  // namespace

HttpResponse Call(const std::string& address,
                  const std::string& method,
                  const std::string& target,
                  const std::map<std::string, std::string>& headers,
                  const std::string& body,
                  Milliseconds timeout) {
  const Clock::time_point deadline = Clock::now() + timeout;
  const size_t colon = address.rfind(':');
  const sockaddr_in endpoint =
      Endpoint(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
  const int socket_number =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  HttpResponse response;
  const auto run = [&] {
    if (connect(socket_number, reinterpret_cast<const sockaddr*>(&endpoint),
                sizeof endpoint) != 0) {
      if (errno != EINPROGRESS) {
        response.error = std::strerror(errno);
        return;
      }
      int failure = 0;
      socklen_t size = sizeof failure;
      if (!WaitFor(socket_number, POLLOUT, deadline)) {
        response.error = "timeout";
        return;
      }
      getsockopt(socket_number, SOL_SOCKET, SO_ERROR, &failure, &size);
      if (failure != 0) {
        response.error = std::strerror(failure);
        return;
      }
    }
    const int on = 1;
    setsockopt(socket_number, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    if (!headers.contains("Host")) {
      text += "Host: " + address + "\r\n";
    }
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    if (!body.empty()) {
      text += "Content-Type: application/json\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!SendAll(socket_number, text + body, deadline)) {
      response.error = "cannot send";
      return;
    }
    std::string buffer;
    const auto message =
        ReadMessage(socket_number, deadline, &buffer, &response.error);
    if (message && message->first_line.size() > 12) {
      response.status = std::stoi(message->first_line.substr(9, 3));
      response.body = message->body;
    }
  };
  run();
  close(socket_number);
  return response;
}

HttpServer::HttpServer(std::string ip, int port, Handler handler)
    : handler_(std::move(handler)), listener_(Listen(ip, port)) {
  if (listener_ < 0) {
    throw std::runtime_error("cannot listen on " + ip + ":" +
                             std::to_string(port));
  }
  acceptor_ = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer() {
  Close();
}

void HttpServer::Close() {
  if (closed_.exchange(true)) {
    return;
  }
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int socket_number : sockets_) {
      shutdown(socket_number, SHUT_RDWR);
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void HttpServer::Accept() {
  while (!closed_) {
    const int accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      if (errno == EINTR || errno == ECONNABORTED) {
        continue;
      }
      return;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard lock(mutex_);
    sockets_.insert(accepted);
    threads_.emplace_back([this, accepted] { Serve(accepted); });
  }
}

void HttpServer::Serve(int socket_number) {
  std::string buffer;
  while (!closed_) {
    std::string error;
    const auto message =
        ReadMessage(socket_number, Clock::now() + std::chrono::minutes(10),
                    &buffer, &error);
    if (!message) {
      break;
    }
    HttpRequest request;
    const size_t first = message->first_line.find(' ');
    const size_t second = message->first_line.find(' ', first + 1);
    request.method = message->first_line.substr(0, first);
    request.target = message->first_line.substr(first + 1, second - first - 1);
    request.headers = message->headers;
    request.body = message->body;
    const HttpResponse response = handler_(request);
    if (silent_) {
      continue;
    }
    if (response.status == 0 || closed_) {
      break;
    }
    const std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                             " X\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" +
                             response.body;
    if (!SendAll(socket_number, text,
                 Clock::now() + std::chrono::seconds(10))) {
      break;
    }
  }
  const std::lock_guard lock(mutex_);
  sockets_.erase(socket_number);
  close(socket_number);
}

int FreePort(const std::vector<std::string>& ips) {
  for (int port = 21'000 + static_cast<int>(getpid() % 7'000); port < 60'000;
       ++port) {
    std::vector<int> sockets;
    for (const std::string& ip : ips) {
      const int socket_number = Listen(ip, port);
      if (socket_number < 0) {
        break;
      }
      sockets.push_back(socket_number);
    }
    for (const int socket_number : sockets) {
      close(socket_number);
    }
    if (sockets.size() == ips.size()) {
      return port;
    }
  }
  throw std::runtime_error("no port is free");
}

}  // namespace review
