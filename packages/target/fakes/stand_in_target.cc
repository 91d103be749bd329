#include "packages/target/fakes/stand_in_target.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kAnnounceRetryDelay{100};
constexpr Milliseconds kHeartbeatInterval{2'000};
constexpr Milliseconds kStreamPollInterval{20};
constexpr time_t kMessageTimeoutMicroseconds = 500'000;

std::optional<Json> PostJson(const StandInTarget::InstanceAddress& instance,
                             const std::string& path,
                             const Json& body,
                             int* status) {
  httplib::Client client(instance.host, instance.port);
  client.set_connection_timeout(0, kMessageTimeoutMicroseconds);
  client.set_read_timeout(0, kMessageTimeoutMicroseconds);
  const httplib::Result result =
      client.Post(path, body.dump(), kJsonContentType);
  *status = result ? result->status : 0;
  if (!result) {
    return std::nullopt;
  }
  const Result<Json> json = ParseJson(result->body, JsonComments::kRefuse);
  return json.has_value() ? std::optional<Json>(json.value()) : std::nullopt;
}

HttpServer::Options ServerOptions(const StandInTarget::Options& options) {
  HttpServer::Options server;
  server.name = "stand_in_target";
  server.address = options.address;
  server.port = options.port;
  // More threads than announced connections, so that an owner that exceeds the
  // limit shows up in peak_connections() instead of being slowed down.
  server.maximum_threads = static_cast<size_t>(options.connections) + 64;
  server.maximum_queue = 64;
  return server;
}

void RefuseNotRun(httplib::Response* response,
                  ErrorKind kind,
                  std::string reason) {
  SetErrorResponse(response,
                   MakeError(kind, std::move(reason), "choose another target"),
                   RequestExecution::kNotRun, "");
}

}  // namespace

class StandInTarget::WorkRegistration {
 public:
  // Refuses the request as not run, and registers nothing, when the target is
  // stopping (503) or the session number is not the current one (409).
  WorkRegistration(StandInTarget* target,
                   std::multiset<std::string> StandInTarget::*list,
                   const httplib::Request& request,
                   httplib::Response* response)
      : target_(target), list_(list) {
    id_ = request.get_header_value(kRequestIdHeader);
    int64_t session = 0;
    (void)absl::SimpleAtoi(request.get_header_value(kSessionHeader), &session);
    absl::MutexLock lock(&target_->mutex_);
    if (target_->stopping_) {
      RefuseNotRun(response, ErrorKind::kUnavailable, "the target is stopping");
      return;
    }
    if (session != target_->session_) {
      RefuseNotRun(response, ErrorKind::kConflict,
                   "the session number is not the current one");
      return;
    }
    accepted_ = true;
    (target_->*list_).insert(id_);
    const auto requests = static_cast<int64_t>(target_->requests_.size());
    const auto watches = static_cast<int64_t>(target_->watches_.size());
    target_->peak_requests_ = std::max(target_->peak_requests_, requests);
    target_->peak_connections_ =
        std::max(target_->peak_connections_, requests + watches);
  }
  ~WorkRegistration() {
    if (accepted_) {
      absl::MutexLock lock(&target_->mutex_);
      (target_->*list_).erase((target_->*list_).find(id_));
    }
  }
  WorkRegistration(const WorkRegistration&) = delete;
  WorkRegistration& operator=(const WorkRegistration&) = delete;

  bool accepted() const { return accepted_; }
  const std::string& id() const { return id_; }

 private:
  StandInTarget* target_;
  std::multiset<std::string> StandInTarget::*list_;
  std::string id_;
  bool accepted_ = false;
};

StandInTarget::StandInTarget(Options options)
    : options_(std::move(options)),
      server_(ServerOptions(options_)),
      // Higher than any session number of an earlier process of this target.
      session_(UnixMilliseconds()) {
  server_.Post(
      "/v1/services/([^/]+)/requests",
      [this](const httplib::Request& request, httplib::Response& response) {
        HandleRequest(request, &response);
      });
  server_.Get(
      "/v1/services/([^/]+)/watch",
      [this](const httplib::Request& request, httplib::Response& response) {
        HandleWatch(request, &response);
      });
  server_.Get("/v1/stats",
              [this](const httplib::Request&, httplib::Response& response) {
                HandleStats(&response);
              });
}

StandInTarget::~StandInTarget() {
  Stop();
}

Result<void> StandInTarget::Start() {
  TRY(server_.Start());
  session_thread_ = std::thread([this] { RunSessions(); });
  return Success();
}

void StandInTarget::Stop() {
  if (!session_thread_.joinable()) {
    return;
  }
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  session_thread_.join();
  server_.Stop();
}

void StandInTarget::CountExecution(const std::string& request_id) {
  absl::MutexLock lock(&mutex_);
  ++executions_[request_id];
  if (!options_.execution_file.empty()) {
    std::ofstream file(options_.execution_file, std::ios::app);
    file << request_id << '\n';
  }
}

void StandInTarget::HandleRequest(const httplib::Request& request,
                                  httplib::Response* response) {
  const WorkRegistration work(this, &StandInTarget::requests_, request,
                              response);
  if (!work.accepted()) {
    return;
  }
  CountExecution(work.id());
  response->status = 200;
  std::string body = request.body;
  Result<Json> json = ParseJson(request.body, JsonComments::kRefuse);
  if (json.has_value() && json.value().is_object()) {
    Json& object = json.value();
    const Json sleep = object.value("sleep_ms", Json(0));
    if (sleep.is_number_integer()) {
      std::this_thread::sleep_for(Milliseconds(sleep.get<int64_t>()));
    }
    object.erase("sleep_ms");
    body = object.dump();
  }
  response->set_content(body, request.get_header_value("Content-Type"));
}

bool StandInTarget::StreamEvents(int64_t* next_sequence,
                                 httplib::DataSink* sink) {
  const int64_t interval = options_.event_interval.count();
  int64_t last_line_ms = UnixMilliseconds();
  while (true) {
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_) {
        sink->done();
        return true;
      }
    }
    const int64_t now = UnixMilliseconds();
    std::string line;
    if (*next_sequence <= now / interval) {
      line = Json({{"sequence", *next_sequence},
                   {"data", {{"target", options_.name}}}})
                 .dump();
      ++*next_sequence;
    } else if (now - last_line_ms >= kHeartbeatInterval.count()) {
      line = Json({{"heartbeat", true}}).dump();
    }
    if (!line.empty()) {
      line += '\n';
      return sink->write(line.data(), line.size());
    }
    std::this_thread::sleep_for(kStreamPollInterval);
  }
}

void StandInTarget::HandleWatch(const httplib::Request& request,
                                httplib::Response* response) {
  auto work = std::make_shared<WorkRegistration>(this, &StandInTarget::watches_,
                                                 request, response);
  if (!work->accepted()) {
    return;
  }
  // All stand-in targets derive the event number from the time, so a watch can
  // be resumed on any of them.
  const int64_t current = UnixMilliseconds() / options_.event_interval.count();
  int64_t last = 0;
  auto next = std::make_shared<int64_t>(current);
  if (absl::SimpleAtoi(request.get_header_value(kLastEventIdHeader), &last)) {
    *next = last + 1;
  }
  response->status = 200;
  response->set_chunked_content_provider(
      "application/x-ndjson",
      [this, next, work](size_t, httplib::DataSink& sink) {
        return StreamEvents(next.get(), &sink);
      });
}

void StandInTarget::HandleStats(httplib::Response* response) const {
  Json executions = Json::object();
  absl::MutexLock lock(&mutex_);
  for (const auto& [id, count] : executions_) {
    executions[id] = count;
  }
  SetJsonResponse(response, 200,
                  {{"session", session_},
                   {"owner", owner_},
                   {"running", requests_.size()},
                   {"watches", watches_.size()},
                   {"peak_requests", peak_requests_},
                   {"peak_connections", peak_connections_},
                   {"executions", executions}});
}

Json StandInTarget::WorkInProgressJson() const {
  return {
      {"requests",
       std::vector<std::string>(requests_.begin(), requests_.end())},
      {"watches", std::vector<std::string>(watches_.begin(), watches_.end())}};
}

void StandInTarget::Wait(Milliseconds time) {
  absl::MutexLock lock(&mutex_);
  mutex_.AwaitWithTimeout(absl::Condition(&stopping_),
                          absl::Milliseconds(time.count()));
}

bool StandInTarget::Announce(const InstanceAddress& instance) {
  Json body;
  {
    // From here on, requests with older session numbers are refused, so the
    // list of work in progress is complete.
    absl::MutexLock lock(&mutex_);
    ++session_;
    body = {{"service", options_.service},
            {"host", options_.address},
            {"port", server_.port()},
            {"session", session_},
            {"sequence", ++sequence_},
            {"slots", options_.slots},
            {"connections", options_.connections},
            {"in_progress", WorkInProgressJson()}};
  }
  if (!options_.failure_domain.empty()) {
    body["failure_domain"] = options_.failure_domain;
  }
  int status = 0;
  PostJson(instance, absl::StrCat("/v1/targets/", options_.name, "/announce"),
           body, &status);
  return status == 200;
}

size_t StandInTarget::RenewUntilLost(const InstanceAddress& instance) {
  const std::string path = absl::StrCat("/v1/targets/", options_.name);
  MonotonicTime last_acknowledged = std::chrono::steady_clock::now();
  while (true) {
    Wait(kTargetRenewalInterval);
    Json body;
    bool stopping = false;
    {
      absl::MutexLock lock(&mutex_);
      stopping = stopping_;
      body = {{"session", session_}};
      if (!stopping) {
        body["sequence"] = ++sequence_;
        body["in_progress"] = WorkInProgressJson();
      }
    }
    int status = 0;
    if (stopping) {
      PostJson(instance, path + "/leave", body, &status);
      return 0;
    }
    const std::optional<Json> response =
        PostJson(instance, path + "/renew", body, &status);
    if (status == 200) {
      last_acknowledged = std::chrono::steady_clock::now();
      if (response.has_value() && response->value("move", false)) {
        return 1;
      }
    } else if (status == 404 || status == 409) {
      return 0;  // The instance sends no requests under the old session.
    } else if (std::chrono::steady_clock::now() - last_acknowledged >=
               kTargetLeaseDuration) {
      return 1;
    }
  }
}

void StandInTarget::RunSessions() {
  size_t index = 0;
  while (!options_.instances.empty()) {
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_) {
        return;
      }
    }
    const InstanceAddress& instance =
        options_.instances[index % options_.instances.size()];
    if (!Announce(instance)) {
      ++index;
      Wait(kAnnounceRetryDelay);
      continue;
    }
    {
      absl::MutexLock lock(&mutex_);
      owner_ = static_cast<int>(index % options_.instances.size());
    }
    index += RenewUntilLost(instance);
    absl::MutexLock lock(&mutex_);
    owner_ = -1;
  }
}

int64_t StandInTarget::session() const {
  absl::MutexLock lock(&mutex_);
  return session_;
}

int StandInTarget::owner() const {
  absl::MutexLock lock(&mutex_);
  return owner_;
}

std::map<std::string, int> StandInTarget::executions() const {
  absl::MutexLock lock(&mutex_);
  return executions_;
}

int64_t StandInTarget::peak_requests() const {
  absl::MutexLock lock(&mutex_);
  return peak_requests_;
}

int64_t StandInTarget::peak_connections() const {
  absl::MutexLock lock(&mutex_);
  return peak_connections_;
}

}  // namespace bramleyrail
