#include "packages/http/async_http_client.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/http/http_events.h"
#include "packages/http/socket_address_text.h"

namespace bramleyrail {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

constexpr uint64_t kMaximumResponseBytes = uint64_t{4} * 1024 * 1024;
// Thousands of calls may fail at once when many servers are cut off.
constexpr int64_t kFailureLinesPerSecond = 20;
// Pause between looks at a connection that was established and whose completion
// waits in the loop.
constexpr Milliseconds kLookAgainDelay{20};
// Servers state their idle time-outs in whole seconds. A look at a connection
// that was used more recently is a system call for each order of a busy leader,
// and its processor time delays the orders of large fleets.
constexpr Milliseconds kShortestIdleTimeout{1'000};

int64_t MillisecondsBetween(MonotonicTime from, MonotonicTime to) {
  return std::chrono::floor<Milliseconds>(to - from).count();
}

http::request<http::string_body> EncodeRequest(const std::string& address,
                                               const HttpRequest& request) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, address);
  if (!request.body.empty()) {
    message.set(http::field::content_type, "application/json");
  }
  for (const auto& [name, value] : request.headers) {
    message.set(name, value);
  }
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

}  // namespace

class AsyncHttpClient::Connection {
 public:
  explicit Connection(IoLoop* loop)
      : socket(loop->context()), deadline(loop->context()) {}

  // Ends pending operations, which would otherwise keep the connection.
  void Close() {
    error_code ignored;
    socket.close(ignored);
    deadline.cancel();
  }
  // Reads what has arrived; would_block unless that completes the response.
  error_code ReadArrived() {
    error_code error;
    http::read(socket, buffer, *parser, error);
    return error;
  }
  // Whether the kernel has ended the attempt to connect, even when the loop
  // hasn't come to it.
  bool HasConnectResult() {
    pollfd descriptor{socket.native_handle(), POLLOUT, 0};
    return poll(&descriptor, 1, 0) > 0;
  }

  // Whether the server has neither closed this idle connection nor sent more
  // than the response to the last call, as far as this side knows.
  bool IsReusable(MonotonicTime now) {
    if (buffer.size() > 0) {
      return false;
    }
    if (now - last_used < kShortestIdleTimeout) {
      return true;
    }
    char next = 0;
    const ssize_t count = recv(socket.native_handle(), &next, sizeof next,
                               MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EINTR);
  }

  // Read and written without waiting, never by operations of the loop: those
  // could hold a part of a response when the deadline is looked at.
  tcp::socket socket;
  // Of connecting, then of the response.
  boost::asio::steady_timer deadline;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  std::optional<http::request_serializer<http::string_body>> serializer;
  // Empty until the first request is written.
  std::optional<http::response_parser<http::string_body>> parser;
  bool used_before = false;
  MonotonicTime last_used;  // When the last call on it ended.
};

struct AsyncHttpClient::PendingCall {
  // Deadlines count the time that the process was suspended, so that a request
  // is not sent after a pause for which its sender could not act.
  bool MayBeSent() const {
    return BootTimeNow() < deadline && (!may_send || may_send());
  }
  Milliseconds Remaining() const {
    return std::max(std::chrono::ceil<Milliseconds>(deadline - BootTimeNow()),
                    Milliseconds(0));
  }

  std::string address;
  HttpRequest request;
  MonotonicTime deadline;
  SendCheck may_send;
  Callback callback;
  HttpConnectionPool::Number number = 0;
  std::shared_ptr<Connection> connection;
  // When the call was made, got a connection, and was written to it.
  MonotonicTime created = BootTimeNow();
  std::optional<MonotonicTime> began;
  std::optional<MonotonicTime> written;
};

AsyncHttpClient::AsyncHttpClient(IoLoop* loop, Options options)
    : loop_(loop),
      options_(options),
      alive_(std::make_shared<bool>(true)),
      pool_(options.connections),
      failure_lines_(kFailureLinesPerSecond) {}

AsyncHttpClient::~AsyncHttpClient() {
  *alive_ = false;
  for (const auto& [number, connection] : connections_) {
    connection->Close();
  }
}

Result<void> AsyncHttpClient::ValidateAddress(std::string_view address) {
  TRY(endpoint, ParseTcpEndpoint(address));
  if (endpoint.port() == 0) {
    return MakeError(ErrorKind::kInvalidArgument, "the address has no port",
                     "write the port on which the server listens");
  }
  return Success();
}

void AsyncHttpClient::Call(const std::string& address,
                           HttpRequest request,
                           Milliseconds timeout,
                           SendCheck may_send,
                           Callback callback) {
  auto call = std::make_shared<PendingCall>();
  call->address = address;
  call->request = std::move(request);
  call->deadline = BootTimeNow() + timeout;
  call->may_send = std::move(may_send);
  call->callback = std::move(callback);
  // Calls that wait already go first.
  if (waiting_.contains(address) || !Begin(call)) {
    Wait(call);
  }
}

void AsyncHttpClient::Forget(const std::string& address) {
  pool_.RemoveIdle(address);
  CloseRemoved();
}

bool AsyncHttpClient::Begin(const PendingCallPointer& call) {
  const auto grant = pool_.Acquire(call->address, BootTimeNow());
  CloseRemoved();
  if (!grant) {
    return false;
  }
  call->number = grant->connection;
  const MonotonicTime now = BootTimeNow();
  call->began = now;
  if (grant->is_new) {
    Connect(call);
  } else {
    call->connection = connections_.at(call->number);
    if (call->connection->IsReusable(now)) {
      Exchange(call);
    } else {
      call->connection->Close();
      Connect(call);
    }
  }
  return true;
}

void AsyncHttpClient::Wait(const PendingCallPointer& call) {
  std::deque<PendingCallPointer>& calls = waiting_[call->address];
  if (calls.size() >= options_.maximum_waiting_calls_per_address) {
    Fail(call, ErrorKind::kUnavailable, "too many calls wait");
    return;
  }
  calls.push_back(call);
  waiting_addresses_.push_back(call->address);
  ++waiting_calls_;
  loop_->RunAfter(call->Remaining(), [this, alive = alive_, call] {
    if (*alive && StopWaiting(call)) {
      Fail(call, ErrorKind::kUnavailable, "no connection became free");
    }
  });
}

bool AsyncHttpClient::StopWaiting(const PendingCallPointer& call) {
  const auto found = waiting_.find(call->address);
  if (found == waiting_.end() || std::erase(found->second, call) == 0) {
    return false;
  }
  --waiting_calls_;
  if (found->second.empty()) {
    waiting_.erase(found);
  }
  return true;
}

void AsyncHttpClient::BeginWaiting(const std::string& address) {
  BeginNext(address);
  // An address at its own limit is dropped from the list here: the end of one
  // of its calls begins the next one.
  while (!waiting_addresses_.empty() && pool_.HasRoom()) {
    const std::string next = std::move(waiting_addresses_.front());
    waiting_addresses_.pop_front();
    BeginNext(next);
  }
}

void AsyncHttpClient::BeginNext(const std::string& address) {
  while (true) {
    const auto found = waiting_.find(address);
    if (found == waiting_.end()) {
      return;
    }
    const PendingCallPointer call = found->second.front();
    if (call->MayBeSent()) {
      if (Begin(call)) {
        StopWaiting(call);
      }
      return;
    }
    StopWaiting(call);
    Fail(call, ErrorKind::kUnavailable, "the call may not be sent any more");
  }
}

void AsyncHttpClient::Connect(const PendingCallPointer& call) {
  call->connection = std::make_shared<Connection>(loop_);
  connections_[call->number] = call->connection;
  const auto endpoint = ParseTcpEndpoint(call->address);
  if (!endpoint) {
    loop_->Post([this, alive = alive_, call, error = endpoint.error()] {
      if (*alive) {
        Finish(call, /*reusable=*/false, error);
      }
    });
    return;
  }
  ++connections_opened_;
  SetDeadline(call, std::min(call->Remaining(), options_.connect_timeout));
  call->connection->socket.async_connect(
      endpoint.value(), WhileInUse(call, [this, call](const error_code& error) {
        HandleConnected(call, error);
      }));
}

void AsyncHttpClient::HandleConnected(const PendingCallPointer& call,
                                      error_code error) {
  tcp::socket& socket = call->connection->socket;
  if (!error) {
    socket.non_blocking(true, error);
  }
  if (error) {
    const ErrorKind kind = error == boost::asio::error::connection_refused
                               ? ErrorKind::kNotFound
                               : ErrorKind::kUnavailable;
    Finish(call, /*reusable=*/false, CallError(*call, kind, error.message()));
    return;
  }
  error_code ignored;  // A delay is no fault.
  socket.set_option(tcp::no_delay(true), ignored);
  Exchange(call);
}

void AsyncHttpClient::Exchange(const PendingCallPointer& call) {
  if (!call->MayBeSent()) {
    loop_->Post([finish = WhileInUse(call, [this, call](const error_code&) {
                   Finish(call, /*reusable=*/true,
                          CallError(*call, ErrorKind::kUnavailable,
                                    "the call may not be sent any more"));
                 })] { finish({}); });
    return;
  }
  call->written = BootTimeNow();
  Connection& connection = *call->connection;
  connection.request = EncodeRequest(call->address, call->request);
  connection.serializer.emplace(connection.request);
  connection.parser.emplace();
  connection.parser->body_limit(kMaximumResponseBytes);
  SetDeadline(call, call->Remaining());
  Write(call);
}

void AsyncHttpClient::Write(const PendingCallPointer& call) {
  Connection& connection = *call->connection;
  error_code error;
  http::write(connection.socket, *connection.serializer, error);
  if (!error) {
    AwaitResponse(call);
    return;
  }
  if (error == boost::asio::error::would_block) {
    connection.socket.async_wait(
        tcp::socket::wait_write,
        WhileInUse(call, [this, call](const error_code& wait_error) {
          if (wait_error) {
            HandleExchanged(call, wait_error);
            return;
          }
          Write(call);
        }));
    return;
  }
  // The caller may be inside Call().
  loop_->Post([error, handle = WhileInUse(
                          call, [this, call](const error_code& write_error) {
                            HandleExchanged(call, write_error);
                          })] { handle(error); });
}

void AsyncHttpClient::AwaitResponse(const PendingCallPointer& call) {
  call->connection->socket.async_wait(
      tcp::socket::wait_read,
      WhileInUse(call, [this, call](const error_code& wait_error) {
        const error_code error =
            wait_error ? wait_error : call->connection->ReadArrived();
        if (error == boost::asio::error::would_block) {
          AwaitResponse(call);
          return;
        }
        HandleExchanged(call, error);
      }));
}

void AsyncHttpClient::SetDeadline(const PendingCallPointer& call,
                                  Milliseconds delay) {
  boost::asio::steady_timer& deadline = call->connection->deadline;
  deadline.expires_after(delay);
  deadline.async_wait(WhileInUse(
      call, [this, call, expiry = deadline.expiry()](const error_code& error) {
        // A timer that expired before it was set anew still runs its handler.
        if (!error && call->connection->deadline.expiry() == expiry) {
          HandleDeadline(call);
        }
      }));
}

// The loop may be late. What the kernel has received by now counts as in time,
// and nothing more, so that a server that trickles bytes gains no time.
void AsyncHttpClient::HandleDeadline(const PendingCallPointer& call) {
  Connection& connection = *call->connection;
  error_code error = beast::error::timeout;
  if (connection.parser) {
    if (connection.serializer->is_done()) {
      const error_code result = connection.ReadArrived();
      error = result == boost::asio::error::would_block ? error : result;
    }
    HandleExchanged(call, error);
    return;
  }
  if (connection.HasConnectResult()) {
    SetDeadline(call, kLookAgainDelay);
    return;
  }
  Finish(call, /*reusable=*/false,
         CallError(*call, ErrorKind::kUnavailable, error.message()));
}

AsyncHttpClient::Handler AsyncHttpClient::WhileInUse(
    const PendingCallPointer& call,
    Handler handler) {
  return [alive = alive_, call, connection = call->connection,
          handler = std::move(handler)](const error_code& error) {
    if (*alive && call->connection == connection) {
      handler(error);
    }
  };
}

void AsyncHttpClient::HandleExchanged(const PendingCallPointer& call,
                                      const error_code& error) {
  Connection& connection = *call->connection;
  if (!error) {
    auto message = connection.parser->release();
    HttpResponse response;
    response.status = message.result_int();
    response.body = std::move(message.body());
    Finish(call, message.keep_alive(), std::move(response));
    return;
  }
  // The server may have executed the request before the connection ended, and
  // another process may listen at the address by now. Only the caller knows
  // whether the request may be sent again.
  Finish(call, /*reusable=*/false,
         CallError(*call, ErrorKind::kOutcomeUnknown, error.message()));
}

void AsyncHttpClient::Finish(const PendingCallPointer& call,
                             bool reusable,
                             Result<HttpResponse> result) {
  if (!result) {
    LogFailure(*call, result.error());
  }
  const MonotonicTime now = BootTimeNow();
  call->connection->used_before = true;
  call->connection->last_used = now;
  call->connection->deadline.cancel();
  error_code ignored;
  call->connection->socket.cancel(ignored);
  call->connection.reset();
  pool_.Release(call->number, reusable, now);
  CloseRemoved();
  BeginWaiting(call->address);
  call->callback(std::move(result));
}

void AsyncHttpClient::Fail(const PendingCallPointer& call,
                           ErrorKind kind,
                           std::string_view reason) {
  LogFailure(*call, CallError(*call, kind, reason));
  loop_->Post([call, error = CallError(*call, kind, reason)] {
    call->callback(error);
  });
}

Error AsyncHttpClient::CallError(const PendingCall& call,
                                 ErrorKind kind,
                                 std::string_view reason) {
  return MakeError(
      kind,
      absl::StrCat("call to ", call.address, ": ",
                   absl::string_view(reason.data(), reason.size())),
      kind != ErrorKind::kOutcomeUnknown
          ? "check that the server is running"
          : "look up the outcome before repeating the call");
}

void AsyncHttpClient::LogFailure(const PendingCall& call, const Error& error) {
  const MonotonicTime now = BootTimeNow();
  if (!failure_lines_.Allow(now)) {
    return;
  }
  std::string_view phase = "waiting";
  if (call.began) {
    phase = call.written ? "responding" : "connecting";
  }
  const MonotonicTime began = call.began.value_or(now);
  const MonotonicTime written = call.written.value_or(now);
  LogEvent(
      kHttpCallFailed,
      {{"address", call.address},
       {"target", call.request.target},
       {"phase", phase},
       {"waited_ms", MillisecondsBetween(call.created, began)},
       {"connect_ms", MillisecondsBetween(began, written)},
       {"response_ms", MillisecondsBetween(written, now)},
       {"late_ms", MillisecondsBetween(call.deadline, now)},
       {"reused", call.connection != nullptr && call.connection->used_before},
       {"suppressed", failure_lines_.TakeSuppressed()},
       {"error", error.ToString()}});
}

void AsyncHttpClient::CloseRemoved() {
  for (const HttpConnectionPool::Number number : pool_.TakeRemoved()) {
    const auto found = connections_.find(number);
    found->second->Close();
    connections_.erase(found);
  }
}

}  // namespace bramleyrail
