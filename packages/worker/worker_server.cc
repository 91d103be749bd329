#include "packages/worker/worker_server.h"

#include <httplib.h>

#include <atomic>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/http/http.h"
#include "packages/worker/change_notifier.h"
#include "packages/worker/poll_answer.h"
#include "packages/worker/poll_request.h"
#include "packages/worker/report_batcher.h"
#include "packages/worker/worker_edge_events.h"
#include "packages/worker/worker_view.h"

namespace bramleyrail {

namespace {

// Thousands of attempts with checkpoints and messages fit.
constexpr size_t kMaximumBodyBytes = size_t{4} * 1024 * 1024;

// A worker polls again at once, so an idle connection belongs to none and must
// not hold a thread of the pool.
constexpr time_t kKeepAliveSeconds = 2;
constexpr size_t kKeepAliveRequests = 1000;
constexpr time_t kReadTimeoutSeconds = 3;
constexpr time_t kWriteTimeoutSeconds = 3;

constexpr char kJsonType[] = "application/json";

void Answer(httplib::Response* response, int status, const Error& error) {
  response->status = status;
  response->set_content(WriteErrorBody(error), kJsonType);
}

// The version that the worker was told last; a text that is not one of ours
// matches nothing.
bool IsVersion(const std::string& text, uint64_t version) {
  return text == VersionText(version);
}

}  // namespace

class WorkerServer::Implementation {
 public:
  explicit Implementation(Options options)
      : options_(std::move(options)),
        notifier_(&options_.state),
        batcher_(options_.deliver_reports, options_.clock) {
    Configure();
  }

  ~Implementation() { Stop(); }

  Result<void> Bind() {
    if (options_.port == 0) {
      port_ = server_.bind_to_any_port(options_.listen_address);
    } else if (server_.bind_to_port(options_.listen_address, options_.port)) {
      port_ = options_.port;
    }
    if (port_ <= 0) {
      return MakeError(
          ErrorKind::kUnavailable,
          absl::StrCat("cannot listen for workers on ", options_.listen_address,
                       ":", options_.port),
          "name an address of this machine and a port that is not in use");
    }
    return Success();
  }

  void Start() {
    notifier_.Start();
    batcher_.Start();
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    // Stop would have no effect on a server that does not listen yet.
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
    LogEvent(kPlatformListening,
             {{"address", options_.listen_address}, {"port", port_}});
  }

  void BeginDrain() {
    draining_ = true;
    notifier_.StopWaiting();
    LogEvent(kPlatformDraining, {{"port", port_}});
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    draining_ = true;
    notifier_.StopWaiting();
    server_.stop();
    thread_.join();
    notifier_.Stop();
    batcher_.Stop();
  }

  int port() const { return port_; }

 private:
  void Configure() {
    server_.new_task_queue = [this] {
      return new BoundedTaskQueue(options_.threads,
                                  options_.queued_connections);
    };
    RequireExclusivePort(&server_);
    server_.set_payload_max_length(kMaximumBodyBytes);
    server_.set_keep_alive_timeout(kKeepAliveSeconds);
    server_.set_keep_alive_max_count(kKeepAliveRequests);
    server_.set_read_timeout(kReadTimeoutSeconds);
    server_.set_write_timeout(kWriteTimeoutSeconds);
    server_.set_tcp_nodelay(true);
    server_.set_pre_routing_handler(
        [](const httplib::Request& /*request*/, httplib::Response& response) {
          return Admit(&response);
        });
    server_.set_error_handler(
        [](const httplib::Request& request, httplib::Response& response) {
          DescribeError(request, &response);
        });
    server_.Post(
        R"(/v1/workers/([^/]+)/poll)",
        [this](const httplib::Request& request, httplib::Response& response) {
          Poll(request, &response);
        });
  }

  static httplib::Server::HandlerResponse Admit(httplib::Response* response) {
    if (!BoundedTaskQueue::IsRefusing()) {
      return httplib::Server::HandlerResponse::Unhandled;
    }
    LogEvent(kPlatformPoolFull, {});
    Answer(response, 503,
           MakeError(ErrorKind::kUnavailable,
                     "this instance serves as many workers as it can",
                     "poll another instance"));
    response->set_header("Connection", "close");
    return httplib::Server::HandlerResponse::Handled;
  }

  static void DescribeError(const httplib::Request& request,
                            httplib::Response* response) {
    if (!response->body.empty()) {
      return;
    }
    if (response->status == 413) {
      Answer(response, 413,
             MakeError(ErrorKind::kInvalidArgument,
                       "the body is larger than 4 MiB",
                       "report fewer attempts and shorter messages"));
      return;
    }
    const ErrorKind kind = response->status == 404
                               ? ErrorKind::kNotFound
                               : ErrorKind::kInvalidArgument;
    Answer(response, response->status,
           MakeError(
               kind,
               absl::StrCat("cannot serve ", request.method, " ", request.path),
               "see docs/interfaces/workers.md"));
  }

  void Poll(const httplib::Request& http_request, httplib::Response* response) {
    auto parsed =
        ParsePollRequest(http_request.matches[1].str(), http_request.body);
    if (!parsed.has_value()) {
      LogEvent(kPlatformPollRefused, {{"worker", http_request.matches[1].str()},
                                      {"error", parsed.error().ToString()}});
      Answer(response, 400, parsed.error());
      return;
    }
    const PollRequest& request = parsed.value();
    PassOn(request.report);
    Sight sight = Look(request.report);
    if (IsVersion(request.known_version, sight.view.version) && !draining_ &&
        request.wait > Milliseconds::zero()) {
      notifier_.WaitForChange(request.report.worker, request.report.boot_id,
                              sight.view.version, request.wait);
      sight = Look(request.report);
    }
    response->set_content(
        WritePollAnswer(sight.view, {sight.fresh, draining_}, request),
        kJsonType);
    if (draining_) {
      response->set_header("Connection", "close");
    }
  }

  struct Sight {
    bool fresh = false;
    WorkerView view;
  };

  Sight Look(const WorkerReport& report) const {
    Sight sight;
    // Freshness comes first: the state that is read afterwards is at least as
    // recent, and the worker counts the grant from a moment before both.
    sight.fresh = options_.state.IsFresh();
    options_.state.read([&](const ClusterState& state) {
      sight.view = MakeWorkerView(state, report.worker, report.boot_id);
    });
    return sight;
  }

  // Sends on what the leader does not know yet. The worker repeats everything
  // in each poll; the local state shows which reports have taken effect.
  void PassOn(const WorkerReport& report) {
    WorkerReport news = report;
    news.attempts.clear();
    options_.state.read([&](const ClusterState& state) {
      for (const HeldAttempt& held : report.attempts) {
        if (FilterAttemptReport(state, report.worker, report.boot_id,
                                held.report)) {
          news.attempts.push_back(held);
        }
      }
    });
    batcher_.Add(std::move(news));
  }

  Options options_;
  httplib::Server server_;
  ChangeNotifier notifier_;
  ReportBatcher batcher_;
  std::thread thread_;
  std::atomic<bool> draining_ = false;
  int port_ = 0;
};

WorkerServer::WorkerServer(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

WorkerServer::~WorkerServer() = default;

Result<std::unique_ptr<WorkerServer>> WorkerServer::Create(Options options) {
  auto implementation = std::make_unique<Implementation>(std::move(options));
  TRY(implementation->Bind());
  return std::unique_ptr<WorkerServer>(
      new WorkerServer(std::move(implementation)));
}

void WorkerServer::Start() {
  implementation_->Start();
}

void WorkerServer::BeginDrain() {
  implementation_->BeginDrain();
}

void WorkerServer::Stop() {
  implementation_->Stop();
}

int WorkerServer::port() const {
  return implementation_->port();
}

}  // namespace bramleyrail
