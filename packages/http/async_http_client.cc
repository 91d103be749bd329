#include "packages/http/async_http_client.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/http/socket_address_text.h"

namespace bramleyrail {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

constexpr uint64_t kMaximumResponseBytes = uint64_t{4} * 1024 * 1024;

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

Error CallError(ErrorKind kind,
                const std::string& address,
                const error_code& error) {
  return MakeError(kind,
                   absl::StrCat("call to ", address, ": ", error.message()),
                   kind != ErrorKind::kOutcomeUnknown
                       ? "check that the server is running"
                       : "look up the outcome before repeating the call");
}

}  // namespace

class AsyncHttpClient::Connection {
 public:
  explicit Connection(IoLoop* loop) : stream(loop->context()) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  MonotonicTime idle_since;
  bool used_before = false;
};

AsyncHttpClient::AsyncHttpClient(IoLoop* loop, Options options)
    : loop_(loop), options_(options), alive_(std::make_shared<bool>(true)) {}

AsyncHttpClient::~AsyncHttpClient() {
  *alive_ = false;
}

void AsyncHttpClient::Call(const std::string& address,
                           HttpRequest request,
                           Milliseconds timeout,
                           Callback callback) {
  const MonotonicTime deadline = Now() + timeout;
  auto shared_request = std::make_shared<HttpRequest>(std::move(request));
  auto shared_callback = std::make_shared<Callback>(std::move(callback));
  if (const auto idle = TakeIdle(address)) {
    Exchange(address, idle, std::move(shared_request), deadline,
             std::move(shared_callback));
    return;
  }
  Connect(address, std::move(shared_request), deadline,
          std::move(shared_callback));
}

void AsyncHttpClient::Forget(const std::string& address) {
  idle_.erase(address);
}

std::shared_ptr<AsyncHttpClient::Connection> AsyncHttpClient::TakeIdle(
    const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  const MonotonicTime oldest = Now() - options_.idle_timeout;
  std::erase_if(connections, [oldest](const auto& connection) {
    return connection->idle_since < oldest;
  });
  if (connections.empty()) {
    idle_.erase(found);
    return nullptr;
  }
  auto connection = std::move(connections.back());
  connections.pop_back();
  return connection;
}

void AsyncHttpClient::Keep(const std::string& address,
                           std::shared_ptr<Connection> connection) {
  auto& connections = idle_[address];
  if (connections.size() >= options_.idle_connections_per_address) {
    return;
  }
  connection->idle_since = Now();
  connection->used_before = true;
  connection->stream.expires_never();
  connections.push_back(std::move(connection));
}

void AsyncHttpClient::Connect(const std::string& address,
                              std::shared_ptr<HttpRequest> request,
                              MonotonicTime deadline,
                              std::shared_ptr<Callback> callback) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) {
    loop_->Post([callback, error = endpoint.error()] { (*callback)(error); });
    return;
  }
  auto connection = std::make_shared<Connection>(loop_);
  ++connections_opened_;
  connection->stream.expires_at(
      std::min(deadline, Now() + options_.connect_timeout));
  connection->stream.async_connect(
      endpoint.value(), [this, alive = alive_, address, connection, request,
                         deadline, callback](error_code error) mutable {
        if (!*alive) {
          return;
        }
        if (error) {
          const bool refused = error == boost::asio::error::connection_refused;
          (*callback)(CallError(
              refused ? ErrorKind::kNotFound : ErrorKind::kUnavailable, address,
              error));
          return;
        }
        error_code ignored;  // A delay is no fault.
        connection->stream.socket().set_option(tcp::no_delay(true), ignored);
        Exchange(address, connection, std::move(request), deadline,
                 std::move(callback));
      });
}

void AsyncHttpClient::Exchange(const std::string& address,
                               const std::shared_ptr<Connection>& connection,
                               std::shared_ptr<HttpRequest> request,
                               MonotonicTime deadline,
                               std::shared_ptr<Callback> callback) {
  http::request<http::string_body>& message = connection->request;
  message = {};
  message.version(11);
  message.method_string(request->method);
  message.target(request->target);
  message.set(http::field::host, address);
  if (!request->body.empty()) {
    message.set(http::field::content_type, "application/json");
  }
  for (const auto& [name, value] : request->headers) {
    message.set(name, value);
  }
  message.body() = request->body;
  message.prepare_payload();
  connection->parser.emplace();
  connection->parser->body_limit(kMaximumResponseBytes);
  connection->stream.expires_at(deadline);
  const auto finish = [this, alive = alive_, address, connection, request,
                       deadline, callback](error_code error) {
    if (!*alive) {
      return;
    }
    // A server closes an idle connection at any time; the call was not read.
    const bool stale = connection->used_before &&
                       error != beast::error::timeout &&
                       !connection->parser->got_some();
    if (error && stale) {
      Connect(address, request, deadline, callback);
      return;
    }
    if (error) {
      (*callback)(CallError(ErrorKind::kOutcomeUnknown, address, error));
      return;
    }
    auto answer = connection->parser->release();
    HttpResponse response;
    response.status = answer.result_int();
    response.body = std::move(answer.body());
    if (answer.keep_alive()) {
      Keep(address, connection);
    }
    (*callback)(std::move(response));
  };
  http::async_write(
      connection->stream, message,
      [connection, finish](error_code error, size_t) {
        if (error) {
          finish(error);
          return;
        }
        http::async_read(
            connection->stream, connection->buffer, *connection->parser,
            [finish](error_code read_error, size_t) { finish(read_error); });
      });
}

}  // namespace bramleyrail
