#include "packages/operator/operator_server.h"

#include <httplib.h>
#include <set>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "packages/http/http.h"
#include "packages/operator/change_handlers.h"
#include "packages/operator/http_answer.h"
#include "packages/operator/operator_events.h"
#include "packages/operator/operator_watch_stream.h"
#include "packages/operator/read_handlers.h"

namespace bramleyrail {

namespace {

// An idle connection holds a thread for this long; clients connect again.
constexpr time_t kKeepAliveSeconds = 1;
constexpr time_t kReadTimeoutSeconds = 3;
// A reader of a watch that takes nothing for this long is cut off.
constexpr time_t kWriteTimeoutSeconds = 6;
constexpr size_t kMaximumBodyBytes = size_t{4} * 1024 * 1024;

constexpr char kId[] = "([^/]+)";

Error Overloaded() {
  return MakeError(ErrorKind::kUnavailable,
                   "all threads of this server are busy",
                   "send the request again in a second, or to another "
                   "instance");
}

Error MissingHook(std::string_view name) {
  return MakeError(ErrorKind::kInternal,
                   "the operator server has no hook " + std::string(name),
                   "set it in OperatorServerOptions");
}

void AnswerException(const httplib::Request& request,
                     httplib::Response& response,
                     const std::exception_ptr& exception) {
  std::string what = "unknown exception";
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    what = error.what();
  } catch (...) {
    // Keeps the text above.
  }
  LogEvent(operator_events::kHandlerFailed,
           {{"path", request.path}, {"error", what}});
  AnswerError(MakeError(ErrorKind::kInternal, "the request failed: " + what,
                        "report this with the log of the instance"),
              response);
}

// Answers of httplib itself have no body: no route, or a body that is too
// large.
void AnswerWithoutBody(const httplib::Request& request,
                       httplib::Response& response) {
  if (!response.body.empty() || BoundedTaskQueue::IsRefusing()) {
    return;
  }
  const int status = response.status;
  const bool no_route = status == 404;
  AnswerError(no_route
                  ? MakeError(ErrorKind::kNotFound,
                              request.method + " " + request.path +
                                  " is not served here",
                              "see docs/interfaces/operators.md")
                  : MakeError(ErrorKind::kInvalidArgument,
                              "the HTTP request is not valid",
                              "send a well-formed request of at most 4 MB"),
              response);
  response.status = status;
}

void Reject(const httplib::Request& request, httplib::Response& response) {
  LogEvent(operator_events::kOverloaded, {{"path", request.path}});
  AnswerError(Overloaded(), response);
  response.set_header("Retry-After", "1");
  response.set_header("Connection", "close");
  // httplib keeps a connection open unless writing fails, and would hold the
  // thread that rejects for the keep-alive time. A provider that reports a
  // failure after the whole body ends the connection at once.
  auto body = std::make_shared<const std::string>(std::move(response.body));
  response.body.clear();
  response.set_content_provider(
      body->size(), "application/json",
      [body](size_t /*offset*/, size_t /*length*/, httplib::DataSink& sink) {
        sink.write(body->data(), body->size());
        return false;
      });
}

void Configure(httplib::Server& server, size_t threads, size_t queue) {
  server.new_task_queue = [threads, queue] {
    return new BoundedTaskQueue(threads, queue);
  };
  // The default of httplib also sets SO_REUSEPORT, with which a second process
  // could take the port over unnoticed.
  RequireExclusivePort(&server);
  server.set_tcp_nodelay(true);
  server.set_keep_alive_timeout(kKeepAliveSeconds);
  server.set_read_timeout(kReadTimeoutSeconds);
  server.set_write_timeout(kWriteTimeoutSeconds);
  server.set_payload_max_length(kMaximumBodyBytes);
  server.set_pre_routing_handler(
      [](const httplib::Request& request, httplib::Response& response) {
        if (!BoundedTaskQueue::IsRefusing()) {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        Reject(request, response);
        return httplib::Server::HandlerResponse::Handled;
      });
  server.set_exception_handler(AnswerException);
  server.set_error_handler(httplib::Server::Handler(AnswerWithoutBody));
}

Result<int> BindPort(httplib::Server& server,
                     const std::string& address,
                     int port) {
  const int bound = port == 0 ? server.bind_to_any_port(address)
                    : server.bind_to_port(address, port) ? port
                                                         : -1;
  if (bound <= 0) {
    return MakeError(ErrorKind::kUnavailable,
                     "cannot listen on " + address + ":" + std::to_string(port),
                     "choose an address of this machine and a free port");
  }
  return bound;
}

struct WatchRequest {
  int64_t after_revision = 0;
  std::set<ResourceKind> kinds;
};

Result<WatchRequest> ReadWatchRequest(const httplib::Request& request,
                                      int64_t current_revision) {
  WatchRequest watch;
  watch.after_revision = current_revision;
  std::vector<FieldFault> faults;
  if (request.has_param("after_revision") &&
      (!absl::SimpleAtoi(request.get_param_value("after_revision"),
                         &watch.after_revision) ||
       watch.after_revision < 0)) {
    faults.push_back({"after_revision", "must be a whole number from 0"});
  }
  const std::string kinds = request.get_param_value("kind");
  for (const absl::string_view name :
       absl::StrSplit(kinds, ',', absl::SkipEmpty())) {
    const Result<ResourceKind> kind =
        ParseResourceKind({name.data(), name.size()});
    if (kind) {
      watch.kinds.insert(kind.value());
    } else {
      faults.push_back(
          {"kind", kind.error().message + "; " + kind.error().remedy});
    }
  }
  if (!faults.empty()) {
    return MakeInvalidArgument("the query is not valid", std::move(faults));
  }
  return watch;
}

}  // namespace

Result<std::unique_ptr<OperatorServer>> OperatorServer::Create(
    OperatorServerOptions options) {
  const std::pair<const char*, bool> hooks[] = {
      {"propose", options.state.propose != nullptr},
      {"read", options.state.read != nullptr},
      {"state_age", options.state.state_age != nullptr},
      {"wait_for_revision", options.state.wait_for_revision != nullptr},
      {"request_state", options.hooks.request_state != nullptr},
      {"explain_request", options.hooks.explain_request != nullptr},
      {"instance_statuses", options.hooks.instance_statuses != nullptr},
      {"live_targets", options.hooks.live_targets != nullptr}};
  for (const auto& [name, present] : hooks) {
    if (!present) {
      return MissingHook(name);
    }
  }
  std::unique_ptr<OperatorServer> server(
      new OperatorServer(std::move(options)));
  TRY(server->Bind());
  return server;
}

OperatorServer::OperatorServer(OperatorServerOptions options)
    : options_(
          std::make_shared<const OperatorServerOptions>(std::move(options))),
      request_server_(std::make_unique<httplib::Server>()),
      watch_server_(std::make_unique<httplib::Server>()) {
  Configure(*request_server_, options_->request_threads,
            options_->request_queue);
  Configure(*watch_server_, options_->maximum_watches, 0);
  AddRequestRoutes();
  AddWatchRoutes();
}

OperatorServer::~OperatorServer() {
  Stop();
}

Result<void> OperatorServer::Bind() {
  TRY(port,
      BindPort(*request_server_, options_->listen_address, options_->port));
  TRY(watch_port, BindPort(*watch_server_, options_->watch_listen_address,
                           options_->watch_port));
  port_ = port;
  watch_port_ = watch_port;
  return Success();
}

void OperatorServer::AddRequestRoutes() {
  auto reads = std::make_shared<ReadHandlers>(options_);
  auto changes = std::make_shared<ChangeHandlers>(options_);
  const auto read = [reads](auto method) {
    return [reads, method](const httplib::Request& request,
                           httplib::Response& response) {
      ((*reads).*method)(request, response);
    };
  };
  const auto change = [changes](auto method) {
    return [changes, method](const httplib::Request& request,
                             httplib::Response& response) {
      ((*changes).*method)(request, response);
    };
  };
  const std::string id = kId;
  httplib::Server& server = *request_server_;
  server.Get("/v1/resources/" + id, read(&ReadHandlers::List));
  server.Get("/v1/resources/" + id + "/" + id, read(&ReadHandlers::Show));
  server.Get("/v1/jobs/" + id, read(&ReadHandlers::ShowJob));
  server.Get("/v1/services/" + id, read(&ReadHandlers::ShowService));
  server.Get("/v1/tasks/" + id + "/" + id, read(&ReadHandlers::ShowTask));
  server.Get("/v1/explain/tasks/" + id + "/" + id,
             read(&ReadHandlers::ExplainTask));
  server.Get("/v1/requests/" + id, read(&ReadHandlers::ShowRequest));
  server.Get("/v1/explain/requests/" + id, read(&ReadHandlers::ExplainRequest));
  server.Get("/v1/instances", read(&ReadHandlers::ShowInstances));
  server.Delete("/v1/resources/" + id + "/" + id,
                change(&ChangeHandlers::Delete));
  server.Post("/v1/apply", change(&ChangeHandlers::Apply));
  server.Post("/v1/drain", change(&ChangeHandlers::Drain));
  server.Post("/v1/undrain", change(&ChangeHandlers::Undrain));
  server.Post("/v1/jobs/" + id + "/cancel", change(&ChangeHandlers::CancelJob));
}

void OperatorServer::AddWatchRoutes() {
  watch_server_->Get("/v1/watch", [this](const httplib::Request& request,
                                         httplib::Response& response) {
    OpenWatch(request, response);
  });
}

void OperatorServer::OpenWatch(const httplib::Request& request,
                               httplib::Response& response) {
  AddStateAge(options_->state, response);
  if (draining_.load()) {
    return AnswerError(MakeError(ErrorKind::kUnavailable, "this instance stops",
                                 "watch at another instance"),
                       response);
  }
  int64_t current = 0;
  int64_t oldest = 0;
  options_->state.read([&](const ClusterState& state) {
    current = state.revision();
    oldest = state.oldest_watch_revision();
  });
  const Result<WatchRequest> watch = ReadWatchRequest(request, current);
  if (!watch) {
    return AnswerError(watch.error(), response);
  }
  if (watch.value().after_revision < oldest) {
    const Error error = MakeError(
        ErrorKind::kCompacted,
        "changes after revision " +
            std::to_string(watch.value().after_revision) +
            " are no longer kept",
        "list the resources again and watch from the revision of the list");
    return AnswerError(error, response, {{"oldest_revision", oldest}});
  }

  auto stream = std::make_shared<OperatorWatchStream>(
      options_, &draining_, watch.value().after_revision, watch.value().kinds);
  LogEvent(operator_events::kOperatorWatchOpened,
           {{"client", request.remote_addr},
            {"after_revision", watch.value().after_revision}});
  response.set_chunked_content_provider(
      "application/x-ndjson",
      [stream](size_t /*offset*/, httplib::DataSink& sink) {
        const auto write = [&sink](const std::string& line) {
          return sink.is_writable() && sink.write(line.data(), line.size());
        };
        if (stream->Step(write) == OperatorWatchStream::Next::kEnd) {
          sink.done();
        }
        return sink.is_writable();
      },
      [stream, client = request.remote_addr](bool /*success*/) {
        LogEvent(operator_events::kWatchClosed,
                 {{"client", client}, {"revision", stream->revision()}});
      });
}

Result<void> OperatorServer::Start() {
  for (httplib::Server* server : {request_server_.get(), watch_server_.get()}) {
    threads_.emplace_back([server] { server->listen_after_bind(); });
    // stop() has no effect on a server that does not run yet.
    while (!server->is_running()) {
      std::this_thread::sleep_for(Milliseconds(1));
    }
  }
  LogEvent(operator_events::kServerStarted,
           {{"address", options_->listen_address},
            {"port", port_},
            {"watch_address", options_->watch_listen_address},
            {"watch_port", watch_port_}});
  return Success();
}

void OperatorServer::BeginDrain() {
  if (!draining_.exchange(true)) {
    LogEvent(operator_events::kServerDraining, {{"port", port_}});
  }
}

void OperatorServer::Stop() {
  draining_.store(true);
  if (threads_.empty()) {
    return;
  }
  watch_server_->stop();
  request_server_->stop();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  LogEvent(operator_events::kServerStopped, {{"port", port_}});
}

}  // namespace bramleyrail
