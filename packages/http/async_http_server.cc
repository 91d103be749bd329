#include "packages/http/async_http_server.h"

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <list>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/http/http_events.h"
#include "packages/http/socket_address_text.h"

namespace bramleyrail {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr int kListenBacklog = 1'024;
// Wait after the process ran out of descriptors.
constexpr Milliseconds kAcceptPause{200};
// A client that does not read its answer for this long is given up.
constexpr Milliseconds kWriteTimeout{10'000};

std::string ToText(beast::string_view view) {
  return {view.data(), view.size()};
}

}  // namespace

class AsyncHttpServer::Acceptor
    : public std::enable_shared_from_this<AsyncHttpServer::Acceptor> {
 public:
  Acceptor(IoLoop* loop, Options options, HttpHandler handler)
      : options_(std::move(options)),
        handler_(std::move(handler)),
        loop_(loop),
        acceptor_(loop->context()) {}

  Result<void> Listen() {
    TRY(endpoint, ParseTcpEndpoint(options_.address));
    error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
      acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
      acceptor_.bind(endpoint, error);
    }
    if (!error) {
      acceptor_.listen(kListenBacklog, error);
    }
    if (error) {
      return MakeError(ErrorKind::kUnavailable,
                       absl::StrCat("cannot listen on ", options_.address, ": ",
                                    error.message()),
                       "free the port or change the address in the settings");
    }
    Accept();
    return Success();
  }

  void Close() {
    error_code ignored;  // The descriptor is released in any case.
    acceptor_.close(ignored);
  }

  bool draining() const { return draining_; }
  void BeginDrain() { draining_ = true; }
  size_t open_requests() const { return open_requests_; }
  size_t open_connections() const { return connections_; }
  uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  class Session;
  friend class Session;

  void Accept();
  // Returns false when no connection is idle.
  bool CloseLongestIdle();

  const Options options_;
  const HttpHandler handler_;
  IoLoop* const loop_;
  tcp::acceptor acceptor_;
  bool draining_ = false;
  size_t open_requests_ = 0;
  size_t connections_ = 0;
  // Sessions that wait for a request, the longest idle one first.
  std::list<Session*> idle_;
};

// One connection; requests are answered one after the other.
class AsyncHttpServer::Acceptor::Session
    : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Acceptor> server)
      : stream_(std::move(socket)), server_(std::move(server)) {
    ++server_->connections_;
  }
  ~Session() {
    --server_->connections_;
    MarkBusy();
  }

  void Read() {
    idle_position_ = server_->idle_.insert(server_->idle_.end(), this);
    parser_.emplace();
    parser_->body_limit(server_->options_.maximum_body_bytes);
    parser_->header_limit(server_->options_.maximum_header_bytes);
    stream_.expires_after(server_->options_.idle_timeout);
    http::async_read(stream_, buffer_, *parser_,
                     [self = this->shared_from_this()](
                         error_code error, size_t) { self->Handle(error); });
  }

  // Ends the session, unless a request has arrived meanwhile.
  void CloseIdle() {
    MarkBusy();
    error_code ignored;  // The descriptor is released in any case.
    stream_.socket().close(ignored);
  }

 private:
  void MarkBusy() {
    if (idle_position_) {
      server_->idle_.erase(*idle_position_);
      idle_position_.reset();
    }
  }

  // Ends the request when its handler drops the responder.
  struct OpenRequest {
    explicit OpenRequest(std::shared_ptr<Session> owner)
        : session(std::move(owner)) {
      ++session->server_->open_requests_;
    }
    ~OpenRequest() { --session->server_->open_requests_; }
    OpenRequest(const OpenRequest&) = delete;
    OpenRequest& operator=(const OpenRequest&) = delete;

    std::shared_ptr<Session> session;
  };

  void Handle(error_code error) {
    MarkBusy();
    if (error) {
      RefuseUnreadable(error);
      return;
    }
    stream_.expires_never();
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    HttpRequest request;
    request.method = ToText(message.method_string());
    request.target = ToText(message.target());
    for (const auto& field : message) {
      request.headers.emplace_back(ToText(field.name_string()),
                                   ToText(field.value()));
    }
    request.body = std::move(message.body());
    request.sender_waits = [session = this->weak_from_this()] {
      const std::shared_ptr<Session> alive = session.lock();
      return alive != nullptr && alive->IsPeerOpen();
    };
    auto open = std::make_shared<OpenRequest>(this->shared_from_this());
    RunHandler(server_->handler_, std::move(request),
               [open](HttpResponse response) {
                 open->session->Write(std::move(response));
               });
  }

  // Whether the peer has not closed its direction of the connection, as far as
  // this side has received it.
  bool IsPeerOpen() {
    if (!stream_.socket().is_open()) {
      return false;
    }
    char next = 0;
    const ssize_t count = recv(stream_.socket().native_handle(), &next,
                               sizeof next, MSG_PEEK | MSG_DONTWAIT);
    return count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR));
  }

  void RefuseUnreadable(error_code error) {
    keep_alive_ = false;
    if (error == http::error::body_limit) {
      Write({.status = 413, .body = "{\"error\":\"the body is too large\"}"});
    } else if (error == http::error::header_limit) {
      Write(
          {.status = 431, .body = "{\"error\":\"the headers are too large\"}"});
    } else if (error.category() ==
                   http::make_error_code(http::error::bad_method).category() &&
               error != http::error::end_of_stream &&
               error != http::error::partial_message) {
      Write({.status = 400,
             .body = "{\"error\":\"the request is not valid HTTP\"}"});
    }
  }

  void Write(HttpResponse response) {
    auto message = std::make_shared<http::response<http::string_body>>(
        static_cast<http::status>(response.status), 11);
    message->set(http::field::content_type, response.content_type);
    for (const auto& [name, value] : response.headers) {
      message->set(name, value);
    }
    message->body() = std::move(response.body);
    message->keep_alive(keep_alive_ && !server_->draining());
    message->prepare_payload();
    stream_.expires_after(kWriteTimeout);
    http::async_write(
        stream_, *message,
        [self = this->shared_from_this(), message](error_code error, size_t) {
          if (error) {
            return;
          }
          if (message->keep_alive()) {
            self->Read();
            return;
          }
          error_code ignored;  // The peer may have closed already.
          self->stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        });
  }

  beast::tcp_stream stream_;
  const std::shared_ptr<Acceptor> server_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  bool keep_alive_ = true;
  std::optional<std::list<Session*>::iterator> idle_position_;
};

bool AsyncHttpServer::Acceptor::CloseLongestIdle() {
  if (idle_.empty()) {
    return false;
  }
  idle_.front()->CloseIdle();
  return true;
}

void AsyncHttpServer::Acceptor::Accept() {
  acceptor_.async_accept([self = shared_from_this()](error_code error,
                                                     tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      LogEvent(kHttpAcceptFailed, {{"address", self->options_.address},
                                   {"error", error.message()}});
      self->loop_->RunAfter(kAcceptPause, [self] { self->Accept(); });
      return;
    }
    if (self->connections_ >= self->options_.maximum_connections &&
        !self->CloseLongestIdle()) {
      LogEvent(kHttpAcceptFailed,
               {{"address", self->options_.address},
                {"error", std::string_view("too many connections are open")}});
    } else {
      error_code ignored;  // A delay is no fault.
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<Session>(std::move(socket), self)->Read();
    }
    self->Accept();
  });
}

AsyncHttpServer::AsyncHttpServer(std::shared_ptr<Acceptor> acceptor)
    : acceptor_(std::move(acceptor)) {}

AsyncHttpServer::~AsyncHttpServer() {
  acceptor_->Close();
}

Result<std::unique_ptr<AsyncHttpServer>>
AsyncHttpServer::Create(IoLoop* loop, Options options, HttpHandler handler) {
  auto acceptor =
      std::make_shared<Acceptor>(loop, std::move(options), std::move(handler));
  TRY(acceptor->Listen());
  return std::unique_ptr<AsyncHttpServer>(
      new AsyncHttpServer(std::move(acceptor)));
}

void AsyncHttpServer::BeginDrain() {
  acceptor_->BeginDrain();
}

size_t AsyncHttpServer::open_requests() const {
  return acceptor_->open_requests();
}

size_t AsyncHttpServer::open_connections() const {
  return acceptor_->open_connections();
}

uint16_t AsyncHttpServer::port() const {
  return acceptor_->port();
}

}  // namespace bramleyrail
