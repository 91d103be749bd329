#include "packages/target/http_server.h"

#include <sys/socket.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/routing/routing.h"
#include "packages/target/http_response.h"
#include "packages/target/socket_stream.h"

namespace bramleyrail {

namespace {

constexpr size_t kRefusalThreads = 4;
constexpr size_t kRefusalQueueSize = 256;
// cpp-httplib listens with a backlog of 5, which loses connections in bursts.
constexpr int kListenBacklog = 1024;
constexpr Milliseconds kProgressTimeout{5'000};
constexpr Milliseconds kRequestReadTimeout{30'000};
constexpr size_t kMaximumRequestsPerConnection = 10'000;
// An idle connection keeps its thread for at least this long, even if other
// connections are queued.
constexpr Milliseconds kMinimumIdleTime{100};

enum class ConnectionMode { kServe, kRefuse, kCloseImmediately };

thread_local ConnectionMode connection_mode = ConnectionMode::kServe;
// Set when a registered handler has been called for the thread's request.
thread_local bool handler_ran = false;

// Submits connections to the pool, or to the refusal pool when the first one is
// full.
class ConnectionQueue : public httplib::TaskQueue {
 public:
  ConnectionQueue(BoundedThreadPool* pool,
                  BoundedThreadPool* refusal_pool,
                  std::atomic<int64_t>* refusals)
      : pool_(pool), refusal_pool_(refusal_pool), refusals_(refusals) {}

  void enqueue(std::function<void()> connection) override {
    if (pool_->TrySubmit(connection)) {
      return;
    }
    refusals_->fetch_add(1);
    const auto refuse = [connection] {
      connection_mode = ConnectionMode::kRefuse;
      connection();
    };
    if (refusal_pool_->TrySubmit(refuse)) {
      return;
    }
    // The job also closes the socket of the connection, so it has to run even
    // though both pools are full.
    connection_mode = ConnectionMode::kCloseImmediately;
    connection();
    connection_mode = ConnectionMode::kServe;
  }

  void shutdown() override {
    pool_->Stop();
    refusal_pool_->Stop();
  }

 private:
  BoundedThreadPool* pool_;
  BoundedThreadPool* refusal_pool_;
  std::atomic<int64_t>* refusals_;
};

void SetOverloadResponse(httplib::Response* response) {
  SetErrorResponse(
      response,
      MakeError(ErrorKind::kUnavailable,
                "the instance has no free thread for this request",
                "retry after a random delay, or send the request to "
                "another instance"),
      RequestExecution::kNotRun, "");
}

void SetProtocolErrorResponse(const httplib::Request& /*request*/,
                              httplib::Response& response) {
  if (handler_ran) {
    return;  // The response is the handler's, or forwarded from a target.
  }
  const int status = response.status;
  Error error = MakeError(
      ErrorKind::kInvalidArgument,
      absl::StrCat("the HTTP server rejected the request with status ", status),
      "see docs/interfaces for the valid paths and limits");
  if (status == 404) {
    error.kind = ErrorKind::kNotFound;
  }
  // No handler ran, so the request was not sent to any target.
  SetErrorResponse(&response, error, RequestExecution::kNotRun, "");
  response.status = status;
}

// Called for each request when its headers have been read.
void NormalizeHeaders(httplib::Request& request) {
  // Without a declared length, cpp-httplib would read until the end of the
  // connection.
  if (!request.has_header("Content-Length") &&
      !request.has_header("Transfer-Encoding")) {
    request.headers.emplace("Content-Length", "0");
  }
  // Responses are forwarded complete and unchanged. With these headers,
  // cpp-httplib would cut out ranges or compress the body.
  request.headers.erase("Range");
  request.ranges.clear();
  request.headers.erase("Accept-Encoding");
}

void SetExceptionResponse(const httplib::Request& /*request*/,
                          httplib::Response& response,
                          const std::exception_ptr& /*exception*/) {
  SetErrorResponse(
      &response,
      MakeError(ErrorKind::kInternal, "the request handler threw an exception",
                "report this as a bug of bramleyrail"),
      RequestExecution::kMayHaveRun, "");
}

}  // namespace

// Replaces cpp-httplib's connection loop, which keeps a pool thread for every
// idle connection and polls with sleeps.
class HttpServer::Listener : public httplib::Server {
 public:
  explicit Listener(const HttpServer::Options& options)
      : options_(options),
        pool_({options.maximum_threads, options.maximum_queue}),
        refusal_pool_({kRefusalThreads, kRefusalQueueSize}) {
    new_task_queue = [this] {
      return new ConnectionQueue(&pool_, &refusal_pool_, &refusals_);
    };
    set_payload_max_length(options.maximum_body);
    set_tcp_nodelay(true);
    set_keep_alive_max_count(kMaximumRequestsPerConnection);
    set_keep_alive_timeout(
        std::chrono::floor<std::chrono::seconds>(options.keep_alive).count());
    set_error_handler(httplib::Server::Handler(SetProtocolErrorResponse));
    set_exception_handler(SetExceptionResponse);
  }

  Result<int> Bind() {
    const int port =
        options_.port == 0
            ? bind_to_any_port(options_.address)
            : (bind_to_port(options_.address, options_.port) ? options_.port
                                                             : -1);
    if (port <= 0) {
      return MakeError(ErrorKind::kUnavailable,
                       absl::StrCat("cannot listen on ", options_.address, ":",
                                    options_.port, " for ", options_.name),
                       "choose an address of this machine and a free port");
    }
    ::listen(svr_sock_, kListenBacklog);
    return port;
  }

  int64_t refusals() const { return refusals_.load(); }
  void BeginStop() { stopping_.store(true); }

 private:
  bool process_and_close_socket(socket_t socket) override {
    SocketStream stream(socket);
    if (connection_mode == ConnectionMode::kCloseImmediately) {
      return false;
    }
    bool served = false;
    for (size_t count = 1; count <= kMaximumRequestsPerConnection; ++count) {
      if (!WaitForRequest(&stream)) {
        break;
      }
      stream.SetTimeouts(kProgressTimeout, MonotonicTime::max());
      const bool close_after = connection_mode == ConnectionMode::kRefuse ||
                               stopping_.load() ||
                               count == kMaximumRequestsPerConnection;
      bool closed = false;
      handler_ran = false;
      served = process_request(stream, close_after, closed, NormalizeHeaders);
      if (!served || closed || close_after) {
        break;
      }
    }
    return served;
  }

  bool WaitForRequest(SocketStream* stream) {
    const MonotonicTime start = std::chrono::steady_clock::now();
    const auto should_stop = [this, start] {
      const bool idle =
          std::chrono::steady_clock::now() - start >= kMinimumIdleTime;
      return stopping_.load() || (idle && pool_.queued_jobs() > 0);
    };
    return stream->WaitForData(options_.keep_alive, should_stop);
  }

  const HttpServer::Options options_;
  BoundedThreadPool pool_;
  BoundedThreadPool refusal_pool_;
  std::atomic<int64_t> refusals_{0};
  std::atomic<bool> stopping_{false};
};

HttpServer::HttpServer(Options options)
    : options_(std::move(options)),
      listener_(std::make_unique<Listener>(options_)) {}

HttpServer::~HttpServer() {
  Stop();
}

HttpServer::Handler HttpServer::WrapHandler(Handler handler) {
  return [handler = std::move(handler), this](const httplib::Request& request,
                                              httplib::Response& response) {
    handler_ran = true;
    if (connection_mode == ConnectionMode::kRefuse) {
      LogEvent(kServerOverloaded,
               {{"server", options_.name}, {"path", request.path}});
      SetOverloadResponse(&response);
      return;
    }
    handler(request, response);
  };
}

void HttpServer::Get(const std::string& pattern, Handler handler) {
  listener_->httplib::Server::Get(pattern, WrapHandler(std::move(handler)));
}

void HttpServer::Post(const std::string& pattern, Handler handler) {
  listener_->httplib::Server::Post(
      pattern, httplib::Server::Handler(WrapHandler(std::move(handler))));
}

Result<void> HttpServer::Start() {
  TRY(port, listener_->Bind());
  port_ = port;
  thread_ = std::thread([this] { listener_->listen_after_bind(); });
  while (!listener_->is_running()) {
    std::this_thread::yield();
  }
  return Success();
}

void HttpServer::Stop() {
  if (!thread_.joinable()) {
    return;
  }
  listener_->BeginStop();
  listener_->stop();
  thread_.join();
}

int64_t HttpServer::refusals() const {
  return listener_->refusals();
}

}  // namespace bramleyrail
