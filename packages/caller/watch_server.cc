#include "packages/caller/watch_server.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/caller/caller_headers.h"
#include "packages/caller/pending_result.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kHeartbeatInterval{2'000};
// Interval at which a waiting watch checks whether the instance is stopping.
constexpr Milliseconds kDrainPollInterval{100};
constexpr Milliseconds kOpenTimeout{3'000};
constexpr int kOpenAttempts = 3;

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

HttpServer::Options ServerOptions(const WatchServer::Options& options) {
  HttpServer::Options server;
  server.name = "watches";
  server.address = options.address;
  server.port = options.port;
  server.maximum_threads = options.maximum_threads;
  // A watch occupies its thread until it ends, so a queued connection could
  // wait for very long.
  server.maximum_queue = 0;
  return server;
}

int64_t SequenceOf(const std::string& line) {
  const Result<Json> json = ParseJson(line, JsonComments::kRefuse);
  return json.has_value() && json.value().is_object()
             ? json.value().value("sequence", int64_t{0})
             : 0;
}

}  // namespace

class WatchServer::Session {
 public:
  Session(WatchServer* server, WatchOpen watch)
      : server_(server),
        watch_(std::move(watch)),
        stream_(std::make_shared<WatchStream>()) {
    absl::MutexLock lock(&server_->mutex_);
    server_->streams_[watch_.watch_id] = stream_;
  }
  ~Session() {
    {
      absl::MutexLock lock(&server_->mutex_);
      server_->streams_.erase(watch_.watch_id);
    }
    if (owner_.empty()) {
      return;
    }
    if (owner_ == server_->options_.instance) {
      server_->options_.relay->Cancel(watch_.watch_id);
    } else {
      server_->options_.peers.send(
          owner_, EncodeRoutingMessage(WatchEnd{watch_.watch_id, 0, reason_}));
    }
    LogEvent(kWatchEnded, {{"watch", watch_.watch_id},
                           {"service", watch_.service},
                           {"caller", watch_.caller},
                           {"reason", reason_}});
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  const std::shared_ptr<WatchStream>& stream() const { return stream_; }

  void SetOwner(std::string owner, std::string target) {
    owner_ = std::move(owner);
    target_ = std::move(target);
  }
  const std::string& target() const { return target_; }

  // Writes the next line. Returns false when the caller has disconnected.
  bool WriteNext(httplib::DataSink* sink) {
    while (true) {
      // Checked before the events, so that a steady flow of events does not
      // delay heartbeats.
      if (Now() >= heartbeat_due_) {
        return WriteHeartbeat(sink);
      }
      if (server_->draining_.load()) {
        stream_->End("the instance is about to stop");
      }
      if (stream_->TimeSinceLastMessage() >= kWatchIdleTimeout) {
        stream_->End(
            "no message of the owner arrived within the silence limit");
      }
      const std::optional<WatchStream::Item> item =
          stream_->Take(kDrainPollInterval);
      if (item.has_value() && item->is_end) {
        return WriteEnd(item->text, sink);
      }
      if (item.has_value()) {
        last_sequence_ = std::max(last_sequence_, SequenceOf(item->text));
        return Write(item->text, sink);
      }
    }
  }

 private:
  bool Write(const std::string& line, httplib::DataSink* sink) {
    const std::string text = line + "\n";
    return sink->write(text.data(), text.size());
  }

  bool WriteHeartbeat(httplib::DataSink* sink) {
    heartbeat_due_ = Now() + kHeartbeatInterval;
    if (owner_ == server_->options_.instance) {
      server_->options_.relay->KeepAlive(watch_.watch_id);
    } else {
      server_->options_.peers.send(
          owner_, EncodeRoutingMessage(WatchKeepAlive{watch_.watch_id}));
    }
    return Write(
        Json({{"heartbeat", true}, {"sequence", last_sequence_}}).dump(), sink);
  }

  bool WriteEnd(const std::string& reason, httplib::DataSink* sink) {
    reason_ = reason;
    const Json line = {
        {"end", reason},
        {"sequence", last_sequence_},
        {"remedy", "open the watch again with Last-Event-ID set to sequence"}};
    const bool written = Write(line.dump(), sink);
    sink->done();
    return written;
  }

  WatchServer* server_;
  const WatchOpen watch_;
  std::shared_ptr<WatchStream> stream_;
  std::string owner_;
  std::string target_;
  std::string reason_ = "the caller closed the connection";
  int64_t last_sequence_ = 0;
  MonotonicTime heartbeat_due_ = Now() + kHeartbeatInterval;
};

WatchServer::WatchServer(Options options)
    : options_(std::move(options)), server_(ServerOptions(options_)) {
  server_.Get(
      "/v1/services/([^/]+)/watch",
      [this](const httplib::Request& request, httplib::Response& response) {
        HandleWatch(request, &response);
      });
}

void WatchServer::HandleWatch(const httplib::Request& request,
                              httplib::Response* response) {
  response->set_header(kInstanceHeader, options_.instance);
  const Result<CallerRequest> caller_request = ReadCallerRequest(request);
  if (!caller_request.has_value()) {
    SetErrorResponse(response, caller_request.error(),
                     RequestExecution::kNotRun, "");
    return;
  }
  // An older connection of the same watch may still use the request id that the
  // caller sent, so each connection gets a new watch id.
  const WatchOpen watch{NewUniqueId(), caller_request.value().service,
                        caller_request.value().caller,
                        request.get_header_value(kLastEventIdHeader)};
  auto session = std::make_shared<Session>(this, watch);
  const Result<void> opened = Open(watch, session.get());
  if (!opened.has_value()) {
    SetErrorResponse(response, opened.error(), RequestExecution::kNotRun,
                     caller_request.value().request_id);
    return;
  }
  response->status = 200;
  response->set_header(kRequestIdHeader, watch.watch_id);
  response->set_header(kTargetHeader, session->target());
  response->set_chunked_content_provider(
      "application/x-ndjson", [session](size_t, httplib::DataSink& sink) {
        return session->WriteNext(&sink);
      });
}

Result<void> WatchServer::Open(const WatchOpen& watch, Session* session) {
  std::vector<std::string> excluded;
  std::string reason = "no target has a free connection";
  for (int attempt = 1; attempt <= kOpenAttempts && !draining_.load();
       ++attempt) {
    const std::optional<OwnerCandidate> owner = options_.table->ChooseOwner(
        watch.service, WorkKind::kWatch, kOpenTimeout, excluded);
    if (!owner.has_value()) {
      break;
    }
    LogEvent(kRoutingDecision,
             {{"request", watch.watch_id},
              {"service", watch.service},
              {"entry", options_.instance},
              {"owner", owner->instance},
              {"distance", OwnerDistanceName(owner->distance)},
              {"free", owner->free_capacity},
              {"latency_ms", owner->latency_ms},
              {"attempt", attempt},
              {"remaining_ms", kOpenTimeout.count()}});
    const WatchOpened opened = OpenAt(*owner, watch, session->stream());
    if (opened.outcome == RequestOutcome::kResponded) {
      session->SetOwner(owner->instance, opened.target);
      LogEvent(kWatchOpened, {{"watch", watch.watch_id},
                              {"service", watch.service},
                              {"caller", watch.caller},
                              {"owner", owner->instance},
                              {"target", opened.target}});
      return Success();
    }
    reason = opened.message;
    if (owner->distance != OwnerDistance::kLocalInstance) {
      excluded.push_back(owner->instance);
    }
  }
  if (draining_.load()) {
    reason = "the instance is about to stop";
  }
  return MakeError(ErrorKind::kUnavailable, reason,
                   "open the watch again after a delay");
}

WatchOpened WatchServer::OpenAt(const OwnerCandidate& owner,
                                const WatchOpen& watch,
                                const std::shared_ptr<WatchStream>& stream) {
  if (owner.distance == OwnerDistance::kLocalInstance) {
    auto pending = std::make_shared<PendingResult<WatchOpened>>();
    options_.relay->Open(
        watch, {[pending](const WatchOpened& opened) { pending->Set(opened); },
                [stream](int64_t position, std::string line) {
                  stream->Add(position, std::move(line));
                  return true;
                },
                [stream](int64_t, std::string reason) {
                  stream->End(std::move(reason));
                }});
    const std::optional<Result<WatchOpened>> opened =
        pending->Wait(kOpenTimeout);
    if (!opened.has_value()) {
      options_.relay->Cancel(watch.watch_id);
      return {RequestOutcome::kNotSent, "",
              "the target did not respond in time"};
    }
    return opened->value();
  }
  auto pending = std::make_shared<PendingResult<std::vector<std::byte>>>();
  options_.peers.call(owner.instance, EncodeRoutingMessage(watch), kOpenTimeout,
                      [pending](Result<std::vector<std::byte>> response) {
                        pending->Set(std::move(response));
                      });
  const std::optional<Result<std::vector<std::byte>>> response =
      pending->Wait(kOpenTimeout);
  if (response.has_value() && response->has_value()) {
    Result<RoutingMessage> message = DecodeRoutingMessage(response->value());
    if (message.has_value() &&
        std::holds_alternative<WatchOpened>(message.value())) {
      return std::get<WatchOpened>(std::move(message).value());
    }
  }
  // The owner may have opened the watch although its response did not arrive.
  options_.peers.send(owner.instance,
                      EncodeRoutingMessage(WatchEnd{watch.watch_id, 0, ""}));
  return {RequestOutcome::kNotSent, "",
          "the owner sent no valid response in time"};
}

std::shared_ptr<WatchStream> WatchServer::Find(
    std::string_view watch_id) const {
  absl::MutexLock lock(&mutex_);
  const auto found =
      streams_.find(absl::string_view(watch_id.data(), watch_id.size()));
  return found == streams_.end() ? nullptr : found->second;
}

void WatchServer::HandleEvent(const WatchEvent& event) {
  const std::shared_ptr<WatchStream> stream = Find(event.watch_id);
  if (stream != nullptr) {
    stream->Add(event.position, event.line);
  }
}

void WatchServer::HandleEnd(const WatchEnd& end) {
  const std::shared_ptr<WatchStream> stream = Find(end.watch_id);
  if (stream != nullptr) {
    stream->End(end.reason);
  }
}

size_t WatchServer::Active() const {
  absl::MutexLock lock(&mutex_);
  return streams_.size();
}

}  // namespace bramleyrail
