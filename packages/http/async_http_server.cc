#include "packages/http/async_http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/http/http_events.h"
#include "packages/http/server_connection.h"
#include "packages/http/server_context.h"
#include "packages/http/socket_address_text.h"

namespace bramleyrail {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr int kListenBacklog = 1'024;
// Wait after the process ran out of descriptors.
constexpr Milliseconds kAcceptPause{200};

}  // namespace

class AsyncHttpServer::Acceptor
    : public std::enable_shared_from_this<AsyncHttpServer::Acceptor> {
 public:
  Acceptor(IoLoop* loop, Options options, HttpHandler handler)
      : context_(std::make_shared<ServerContext>()),
        loop_(loop),
        acceptor_(loop->context()) {
    context_->options = std::move(options);
    context_->handler = std::move(handler);
    if (context_->options.memory == nullptr) {
      context_->options.memory =
          std::make_shared<ConnectionMemory>(ConnectionMemory::kUnlimited);
    }
  }

  Result<void> Listen() {
    TRY(endpoint, ParseTcpEndpoint(options().address));
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
                       absl::StrCat("cannot listen on ", options().address,
                                    ": ", error.message()),
                       "free the port or change the address in the settings");
    }
    Accept();
    return Success();
  }

  void Close() {
    error_code ignored;  // The descriptor is released in any case.
    acceptor_.close(ignored);
  }

  void BeginDrain() { context_->draining = true; }
  size_t open_requests() const { return context_->open_requests; }
  size_t open_connections() const { return context_->connections; }
  uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  const Options& options() const { return context_->options; }
  void Accept();
  // Makes room for a further connection. Returns false when no connection waits
  // for its client.
  bool CloseLongestSilent();

  const std::shared_ptr<ServerContext> context_;
  IoLoop* const loop_;
  tcp::acceptor acceptor_;
};

bool AsyncHttpServer::Acceptor::CloseLongestSilent() {
  const bool any = !context_->waiting.empty();
  // The client of an idle connection opens another one without a loss.
  if (!any || !context_->waiting.front()->is_idle()) {
    options().memory->report().Record(HttpLimit::kConnections,
                                      options().address);
  }
  if (any) {
    context_->waiting.front()->Close();
  }
  return any;
}

void AsyncHttpServer::Acceptor::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (error) {
          LogEvent(kHttpAcceptFailed, {{"address", self->options().address},
                                       {"error", error.message()}});
          self->loop_->RunAfter(kAcceptPause, [self] { self->Accept(); });
          return;
        }
        // Otherwise the socket is closed here.
        if (self->context_->connections < self->options().maximum_connections ||
            self->CloseLongestSilent()) {
          error_code ignored;  // A delay is no fault.
          socket.set_option(tcp::no_delay(true), ignored);
          std::make_shared<ServerConnection>(std::move(socket), self->context_)
              ->Read();
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
