#include "packages/http/server_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <string>
#include <utility>

namespace bramleyrail {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// A client that does not read its response for this long is given up.
constexpr Milliseconds kWriteTimeout{10'000};

constexpr size_t kMinimumReadBytes = 512;
constexpr size_t kMaximumReadBytes = 65'536;
// An idle connection keeps a buffer of this size at most.
constexpr size_t kIdleBufferBytes = 4'096;

// What an idle connection keeps besides its buffer: the objects of the
// connection and of its socket and timer.
constexpr size_t kConnectionBytes = 4'096;
// A header field takes this besides its text, in the parser and in the request.
constexpr size_t kFieldBytes = 192;
// Copies of a request while it is handled: the request, its encoding for the
// leader, and the frame that waits to be sent.
constexpr size_t kRequestCopies = 3;

std::string ToText(beast::string_view view) {
  return {view.data(), view.size()};
}

}  // namespace

// Ends the request when its handler drops the responder.
struct ServerConnection::OpenRequest {
  explicit OpenRequest(std::shared_ptr<ServerConnection> owner)
      : connection(std::move(owner)) {
    ++connection->server_->open_requests;
  }
  ~OpenRequest() { --connection->server_->open_requests; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

  std::shared_ptr<ServerConnection> connection;
};

ServerConnection::ServerConnection(asio::ip::tcp::socket socket,
                                   std::shared_ptr<ServerContext> server)
    : stream_(std::move(socket)),
      server_(std::move(server)),
      account_(server_->options.memory, [this] {
        Record(HttpLimit::kMemory);
        Close();
      }) {
  ++server_->connections;
}

ServerConnection::~ServerConnection() {
  --server_->connections;
  StopAwaiting();
}

void ServerConnection::Read() {
  parser_.emplace();
  parser_->body_limit(server_->options.maximum_body_bytes);
  parser_->header_limit(server_->options.maximum_header_bytes);
  headers_.clear();
  header_bytes_ = 0;
  EnterPhase(Phase::kIdle);
  if (buffer_.size() > 0) {
    Parse();
    return;
  }
  if (buffer_.capacity() > kIdleBufferBytes) {
    buffer_.shrink_to_fit();
  }
  if (!account_.Resize(kConnectionBytes)) {
    Record(HttpLimit::kMemory);
    Close();
    return;
  }
  ReadMore();
}

void ServerConnection::Close() {
  closed_ = true;
  StopAwaiting();
  error_code ignored;  // The descriptor is released in any case.
  stream_.socket().close(ignored);
}

void ServerConnection::EnterPhase(Phase phase) {
  phase_ = phase;
  switch (phase) {
    case Phase::kIdle:
      stream_.expires_after(server_->options.idle_timeout);
      break;
    case Phase::kHeader:
      stream_.expires_after(server_->options.header_timeout);
      break;
    case Phase::kBody:
      stream_.expires_after(server_->options.body_timeout);
      break;
    case Phase::kResponse:
      stream_.expires_after(kWriteTimeout);
      break;
  }
}

void ServerConnection::AwaitClient() {
  if (waiting_) {
    server_->waiting.erase(*waiting_);
  }
  waiting_ = server_->waiting.insert(server_->waiting.end(), this);
  if (phase_ != Phase::kIdle) {
    account_.AwaitClient();
  }
}

void ServerConnection::StopAwaiting() {
  if (waiting_) {
    server_->waiting.erase(*waiting_);
    waiting_.reset();
  }
  account_.StopAwaiting();
}

void ServerConnection::ReadMore() {
  AwaitClient();
  const size_t size = std::clamp(buffer_.capacity() - buffer_.size(),
                                 kMinimumReadBytes, kMaximumReadBytes);
  stream_.async_read_some(
      buffer_.prepare(size),
      [self = shared_from_this()](error_code error, size_t count) {
        self->HandleRead(error, count);
      });
}

void ServerConnection::HandleRead(error_code error, size_t count) {
  if (closed_) {
    return;
  }
  StopAwaiting();
  if (error) {
    if (error == beast::error::timeout && phase_ != Phase::kIdle) {
      Record(phase_ == Phase::kHeader ? HttpLimit::kHeaderTime
                                      : HttpLimit::kBodyTime);
    }
    return;
  }
  buffer_.commit(count);
  Parse();
}

void ServerConnection::Parse() {
  if (phase_ == Phase::kIdle) {
    EnterPhase(Phase::kHeader);
  }
  error_code error;
  if (phase_ == Phase::kHeader) {
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (parser_->is_header_done()) {
      FinishHeader();
    }
  }
  if (phase_ == Phase::kBody && !error && !parser_->is_done() &&
      buffer_.size() > 0) {
    buffer_.consume(parser_->put(buffer_.data(), error));
  }
  if (error && error != http::error::need_more) {
    RefuseInvalid(error);
    return;
  }
  if (!parser_->is_done() && phase_ == Phase::kBody &&
      buffer_.size() > server_->options.maximum_chunk_framing_bytes) {
    Refuse(HttpLimit::kChunkFraming);
    return;
  }
  if (!CheckKeptBytes()) {
    Refuse(HttpLimit::kMemory);
    return;
  }
  if (parser_->is_done()) {
    FinishRequest();
    return;
  }
  ReadMore();
}

void ServerConnection::FinishHeader() {
  const auto& message = parser_->get();
  keep_alive_ = message.keep_alive();
  for (const auto& field : message) {
    headers_.emplace_back(ToText(field.name_string()), ToText(field.value()));
    header_bytes_ += headers_.back().first.size() +
                     headers_.back().second.size() + kFieldBytes;
  }
  header_bytes_ += message.target().size();
  // Until now the parser stopped at the end of the header, so that `headers_`
  // has no trailer fields.
  parser_->eager(true);
  EnterPhase(Phase::kBody);
}

bool ServerConnection::CheckKeptBytes() {
  const std::string& body = parser_->get().body();
  const size_t copies = parser_->is_done() ? kRequestCopies : 1;
  return account_.Resize(kConnectionBytes + buffer_.capacity() + header_bytes_ +
                         copies * body.capacity());
}

void ServerConnection::FinishRequest() {
  stream_.expires_never();
  auto message = parser_->release();
  HttpRequest request;
  request.method = ToText(message.method_string());
  request.target = ToText(message.target());
  request.headers = std::move(headers_);
  request.body = std::move(message.body());
  request.sender_waits = [connection = weak_from_this()] {
    const std::shared_ptr<ServerConnection> alive = connection.lock();
    return alive != nullptr && alive->IsPeerOpen();
  };
  auto open = std::make_shared<OpenRequest>(shared_from_this());
  RunHandler(server_->handler, std::move(request),
             [open](HttpResponse response) {
               open->connection->Write(std::move(response));
             });
}

// Whether the peer has not closed its direction of the connection, as far as
// this side has received it.
bool ServerConnection::IsPeerOpen() {
  if (!stream_.socket().is_open()) {
    return false;
  }
  char next = 0;
  const ssize_t count = recv(stream_.socket().native_handle(), &next,
                             sizeof next, MSG_PEEK | MSG_DONTWAIT);
  return count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR));
}

void ServerConnection::RefuseInvalid(error_code error) {
  if (error == http::error::body_limit) {
    Refuse(HttpLimit::kBody);
  } else if (error == http::error::header_limit) {
    Refuse(HttpLimit::kHeader);
  } else {
    keep_alive_ = false;
    Write({.status = 400,
           .body = "{\"error\":\"the request is not valid HTTP\"}"});
  }
}

void ServerConnection::Refuse(HttpLimit limit) {
  Record(limit);
  keep_alive_ = false;
  // The request was not read in full, or not handed to its handler, so none of
  // these responses leaves open whether it ran.
  if (limit == HttpLimit::kBody) {
    Write({.status = 413, .body = "{\"error\":\"the body is too large\"}"});
  } else if (limit == HttpLimit::kHeader) {
    Write({.status = 431, .body = "{\"error\":\"the headers are too large\"}"});
  } else if (limit == HttpLimit::kChunkFraming) {
    Write({.status = 431,
           .body = "{\"error\":\"the chunk extensions or trailers are too "
                   "large\"}"});
  } else {
    Write({.status = 503,
           .headers = {{"Retry-After", "1"}},
           .body = "{\"error\":\"too much is in progress; the request was not "
                   "executed\"}"});
  }
}

void ServerConnection::Write(HttpResponse response) {
  // A refused message is dropped at once; after a whole one, the next may have
  // arrived already.
  parser_.reset();
  headers_.clear();
  if (!keep_alive_) {
    buffer_.clear();
    buffer_.shrink_to_fit();
  }
  if (!account_.Resize(kConnectionBytes + buffer_.capacity() +
                       response.body.capacity())) {
    Record(HttpLimit::kMemory);
    Close();
    return;
  }
  auto message = std::make_shared<http::response<http::string_body>>(
      static_cast<http::status>(response.status), 11);
  message->set(http::field::content_type, response.content_type);
  for (const auto& [name, value] : response.headers) {
    message->set(name, value);
  }
  message->body() = std::move(response.body);
  message->keep_alive(keep_alive_ && !server_->draining);
  message->prepare_payload();
  EnterPhase(Phase::kResponse);
  AwaitClient();
  http::async_write(
      stream_, *message,
      [self = shared_from_this(), message](error_code error, size_t) {
        if (self->closed_) {
          return;
        }
        self->StopAwaiting();
        if (error) {
          if (error == beast::error::timeout) {
            self->Record(HttpLimit::kResponseTime);
          }
          return;
        }
        if (message->keep_alive()) {
          self->Read();
          return;
        }
        error_code ignored;  // The peer may have closed already.
        self->stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                        ignored);
      });
}

void ServerConnection::Record(HttpLimit limit) {
  server_->options.memory->report().Record(limit, server_->options.address);
}

}  // namespace bramleyrail
