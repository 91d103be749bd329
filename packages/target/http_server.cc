#include "packages/target/http_server.h"

#include <sys/socket.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/routing/routing.h"
#include "packages/target/http_answer.h"
#include "packages/target/socket_stream.h"

namespace bramleyrail {

namespace {

constexpr size_t kRefusalThreads = 4;
constexpr size_t kRefusalQueue = 256;
// cpp-httplib listens with a backlog of 5, which drops connections in bursts.
constexpr int kListenBacklog = 1024;
constexpr Milliseconds kSilenceLimit{5'000};
constexpr Milliseconds kRequestReadLimit{30'000};
constexpr size_t kRequestsPerConnection = 10'000;
constexpr Milliseconds kIdleGrace{100};

enum class ConnectionMode { kServe, kRefuse, kCloseAtOnce };

thread_local ConnectionMode connection_mode = ConnectionMode::kServe;
// Set when a handler took over the request that the thread serves.
thread_local bool handler_ran = false;

// Hands connections to the pool, or to the refusal threads when it is full.
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
    // The connection's job also closes its socket, so it has to run.
    connection_mode = ConnectionMode::kCloseAtOnce;
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

void AnswerOverload(httplib::Response* response) {
  AnswerError(response,
              MakeError(ErrorKind::kUnavailable,
                        "the instance has no free thread for this request",
                        "send the request again after a random delay, or to "
                        "another instance"),
              RunClaim::kNotRun, "");
}

void AnswerProtocolError(const httplib::Request& /*request*/,
                         httplib::Response& response) {
  if (handler_ran) {
    return;  // The handler's own error, or that of a target.
  }
  const int status = response.status;
  Error error =
      MakeError(ErrorKind::kInvalidArgument,
                absl::StrCat("the request was rejected with status ", status),
                "see docs/interfaces for the paths and limits");
  if (status == 404) {
    error.kind = ErrorKind::kNotFound;
  }
  // No handler ran, so nothing was sent anywhere.
  AnswerError(&response, error, RunClaim::kNotRun, "");
  response.status = status;
}

// Called with the headers of each request.
void NormaliseRequest(httplib::Request& request) {
  // Without a declared length, cpp-httplib would read until the end of the
  // connection.
  if (!request.has_header("Content-Length") &&
      !request.has_header("Transfer-Encoding")) {
    request.headers.emplace("Content-Length", "0");
  }
  // Answers are passed on whole and as they are: cpp-httplib would cut out
  // ranges and compress on its own.
  request.headers.erase("Range");
  request.ranges.clear();
  request.headers.erase("Accept-Encoding");
}

void AnswerException(const httplib::Request& /*request*/,
                     httplib::Response& response,
                     const std::exception_ptr& /*exception*/) {
  AnswerError(&response,
              MakeError(ErrorKind::kInternal, "the handler failed",
                        "report this as a fault of bramleyrail"),
              RunClaim::kMayHaveRun, "");
}

}  // namespace

// Replaces cpp-httplib's connection loop, which keeps a pool thread for every
// idle connection and polls with sleeps.
class HttpServer::Listener : public httplib::Server {
 public:
  explicit Listener(const HttpServer::Options& options)
      : options_(options),
        pool_({options.maximum_threads, options.maximum_queue}),
        refusal_pool_({kRefusalThreads, kRefusalQueue}) {
    new_task_queue = [this] {
      return new ConnectionQueue(&pool_, &refusal_pool_, &refusals_);
    };
    set_payload_max_length(options.maximum_body);
    set_tcp_nodelay(true);
    set_keep_alive_max_count(kRequestsPerConnection);
    set_keep_alive_timeout(
        std::chrono::floor<std::chrono::seconds>(options.keep_alive).count());
    set_error_handler(httplib::Server::Handler(AnswerProtocolError));
    set_exception_handler(AnswerException);
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
    if (connection_mode == ConnectionMode::kCloseAtOnce) {
      return false;
    }
    bool served = false;
    for (size_t count = 1; count <= kRequestsPerConnection; ++count) {
      if (!WaitForRequest(&stream)) {
        break;
      }
      stream.SetLimits(kSilenceLimit, MonotonicTime::max());
      const bool close_after = connection_mode == ConnectionMode::kRefuse ||
                               stopping_.load() ||
                               count == kRequestsPerConnection;
      bool closed = false;
      handler_ran = false;
      served = process_request(stream, close_after, closed, NormaliseRequest);
      if (!served || closed || close_after) {
        break;
      }
    }
    return served;
  }

  bool WaitForRequest(SocketStream* stream) {
    const MonotonicTime start = std::chrono::steady_clock::now();
    const auto give_up = [this, start] {
      const bool idle = std::chrono::steady_clock::now() - start >= kIdleGrace;
      return stopping_.load() || (idle && pool_.queued() > 0);
    };
    return stream->WaitForData(options_.keep_alive, give_up);
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

HttpServer::Handler HttpServer::Guard(Handler handler) {
  return [handler = std::move(handler), this](const httplib::Request& request,
                                              httplib::Response& response) {
    handler_ran = true;
    if (connection_mode == ConnectionMode::kRefuse) {
      LogEvent(kServerOverloaded,
               {{"server", options_.name}, {"path", request.path}});
      AnswerOverload(&response);
      return;
    }
    handler(request, response);
  };
}

void HttpServer::Get(const std::string& pattern, Handler handler) {
  listener_->httplib::Server::Get(pattern, Guard(std::move(handler)));
}

void HttpServer::Post(const std::string& pattern, Handler handler) {
  listener_->httplib::Server::Post(
      pattern, httplib::Server::Handler(Guard(std::move(handler))));
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
