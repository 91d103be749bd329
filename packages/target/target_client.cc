#include "packages/target/target_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "packages/target/http_response.h"

namespace bramleyrail {

namespace {

constexpr int kConflictStatus = 409;
constexpr int kNoContentStatus = 204;
constexpr int kMinimumErrorStatus = 400;
constexpr size_t kMaximumWatchLineBytes = size_t{64} * 1024;

httplib::Headers CommonHeaders(const TargetSession& session,
                               const std::string& request_id,
                               const std::string& caller) {
  return {{kRequestIdHeader, request_id},
          {kCallerHeader, caller},
          {kSessionHeader, std::to_string(session.session())}};
}

httplib::Request BuildRequest(const TargetSession& session,
                              const ForwardedRequest& request,
                              Milliseconds remaining) {
  httplib::Request http;
  http.method = "POST";
  http.path = absl::StrCat("/v1/services/", request.service, "/requests");
  http.headers = CommonHeaders(session, request.request_id, request.caller);
  http.headers.emplace(kIdempotentHeader,
                       request.idempotent ? "true" : "false");
  http.headers.emplace(kTimeoutHeader, std::to_string(remaining.count()));
  http.headers.emplace("Content-Type", request.content_type.empty()
                                           ? "application/octet-stream"
                                           : request.content_type);
  http.body = request.body;
  return http;
}

// Only a response with a declared length is accepted as complete: without one,
// a response that was cut off cannot be recognised.
bool DeclaresLength(const httplib::Response& response) {
  if (response.status == kNoContentStatus) {
    return true;
  }
  const bool chunked = absl::EqualsIgnoreCase(
      response.get_header_value("Transfer-Encoding"), "chunked");
  const size_t lengths = response.get_header_value_count("Content-Length");
  return chunked ? lengths == 0 : lengths == 1;
}

bool ReportsNotRun(const httplib::Response& response) {
  return response.status >= kMinimumErrorStatus &&
         response.get_header_value(kNotRunHeader) == "true";
}

bool CanReuseConnection(const httplib::Response& response) {
  return response.version == "HTTP/1.1" &&
         !absl::EqualsIgnoreCase(response.get_header_value("Connection"),
                                 "close");
}

ForwardedResponse MakeResponse(RequestOutcome outcome,
                               const TargetSession& session,
                               std::string message) {
  ForwardedResponse result;
  result.outcome = outcome;
  result.target = session.name();
  result.message = std::move(message);
  return result;
}

// Splits received data into lines and passes each of them to `on_line`.
class LineSplitter {
 public:
  explicit LineSplitter(const std::function<bool(std::string_view)>& on_line)
      : on_line_(on_line) {}

  // Returns false when `on_line` does or when a line is too long.
  bool Add(std::string_view data) {
    pending_.append(data);
    const std::string_view pending = pending_;
    size_t begin = 0;
    for (size_t end = pending_.find('\n'); end != std::string::npos;
         end = pending_.find('\n', begin)) {
      if (!on_line_(pending.substr(begin, end - begin))) {
        return false;
      }
      begin = end + 1;
    }
    pending_.erase(0, begin);
    return pending_.size() <= kMaximumWatchLineBytes;
  }

 private:
  const std::function<bool(std::string_view)>& on_line_;
  std::string pending_;
};

}  // namespace

Result<std::unique_ptr<TargetConnection>> TargetClient::Connect(
    const TargetSession& session,
    bool use_pool,
    MonotonicTime deadline) {
  std::unique_ptr<TargetConnection> connection;
  if (use_pool) {
    connection = pool_.TakeIdleConnection(session);
  }
  if (connection == nullptr) {
    pool_.EvictExcessConnections(session);
    const auto remaining = std::chrono::ceil<Milliseconds>(
        deadline - std::chrono::steady_clock::now());
    TRY(stream, SocketStream::Connect(session.host(), session.port(),
                                      std::clamp(remaining, Milliseconds(1),
                                                 options_.connect_timeout)));
    connection = std::make_unique<TargetConnection>(
        session.host(), session.port(), std::move(stream));
  }
  // The lease may have expired while the connection was established.
  if (!session.MaySend(options_.clock())) {
    return MakeError(ErrorKind::kUnavailable,
                     "the session of the target ended before the request was "
                     "sent",
                     "none needed; another target is chosen");
  }
  return connection;
}

ForwardedResponse TargetClient::Send(CapacityCharge charge,
                                     const ForwardedRequest& request) {
  TargetSession& session = charge.session();
  const MonotonicTime deadline =
      std::chrono::steady_clock::now() + request.remaining;
  Result<std::unique_ptr<TargetConnection>> connected =
      Connect(session, request.idempotent, deadline);
  if (!connected.has_value()) {
    return MakeResponse(RequestOutcome::kNotSent, session,
                        connected.error().message);
  }
  std::unique_ptr<TargetConnection> connection = std::move(connected).value();
  const size_t written_before = connection->stream().bytes_written();
  const auto remaining = std::chrono::floor<Milliseconds>(
      deadline - std::chrono::steady_clock::now());
  if (remaining.count() <= 0) {
    return MakeResponse(RequestOutcome::kNotSent, session,
                        "the deadline passed before the request was sent");
  }
  connection->stream().SetTimeouts(remaining, deadline);
  connection->stream().SetCancellationCallback(
      [this] { return aborted_.load(); });

  httplib::Request http = BuildRequest(session, request, remaining);
  httplib::Response response;
  std::string body;
  bool too_large = false;
  http.content_receiver = [&body, &too_large](const char* data, size_t size,
                                              uint64_t, uint64_t) {
    too_large = body.size() + size > kMaximumResponseBytes;
    if (!too_large) {
      body.append(data, size);
    }
    return !too_large;
  };
  const bool complete =
      connection->Exchange(&http, &response, !request.idempotent) &&
      DeclaresLength(response);

  if (!complete) {
    pool_.CloseConnectionsOf(session);
    if (connection->stream().bytes_written() == written_before) {
      return MakeResponse(RequestOutcome::kNotSent, session,
                          "the connection to the target broke before the first "
                          "byte was sent");
    }
    const bool timed_out = connection->stream().timed_out();
    charge.RetainUntilRenewal();
    if (too_large) {
      return MakeResponse(RequestOutcome::kResponseTooLarge, session,
                          absl::StrCat("the response of the target exceeds ",
                                       kMaximumResponseBytes, " bytes"));
    }
    return MakeResponse(RequestOutcome::kOutcomeUnknown, session,
                        timed_out
                            ? "the target sent no complete response before "
                              "the deadline"
                            : "the connection to the target broke before "
                              "the response was complete");
  }
  if (ReportsNotRun(response)) {
    if (response.status == kConflictStatus) {
      // The target has a newer session with another instance.
      session.Close();
    }
    return MakeResponse(
        RequestOutcome::kNotSent, session,
        absl::StrCat("the target refused the request with status ",
                     response.status, " and did not run it"));
  }
  if (request.idempotent && CanReuseConnection(response)) {
    pool_.ReturnConnection(session, std::move(connection));
  }
  ForwardedResponse result =
      MakeResponse(RequestOutcome::kResponded, session, std::string());
  result.status = response.status;
  result.content_type = response.get_header_value("Content-Type");
  result.body = std::move(body);
  return result;
}

ForwardedResponse TargetClient::Watch(CapacityCharge charge,
                                      const WatchOpen& watch,
                                      const WatchHooks& hooks) {
  const TargetSession& session = charge.session();
  Result<std::unique_ptr<TargetConnection>> connected =
      Connect(session, false,
              std::chrono::steady_clock::now() + options_.connect_timeout);
  if (!connected.has_value()) {
    return MakeResponse(RequestOutcome::kNotSent, session,
                        connected.error().message);
  }
  TargetConnection& connection = *connected.value();
  connection.stream().SetTimeouts(kWatchIdleTimeout, MonotonicTime::max());
  connection.stream().SetCancellationCallback(hooks.cancelled);

  httplib::Request http;
  http.method = "GET";
  http.path = absl::StrCat("/v1/services/", watch.service, "/watch");
  http.headers = CommonHeaders(session, watch.watch_id, watch.caller);
  if (!watch.last_event_id.empty()) {
    http.headers.emplace(kLastEventIdHeader, watch.last_event_id);
  }
  bool opened = false;
  LineSplitter splitter(hooks.on_line);
  http.response_handler = [&](const httplib::Response& response) {
    opened = response.status == 200;
    if (opened) {
      hooks.on_open(session.name());
    }
    return opened;
  };
  http.content_receiver = [&splitter](const char* data, size_t size, uint64_t,
                                      uint64_t) {
    return splitter.Add(std::string_view(data, size));
  };
  httplib::Response response;
  const bool complete = connection.Exchange(&http, &response, true);
  if (!opened) {
    return MakeResponse(
        RequestOutcome::kNotSent, session,
        absl::StrCat("the target refused the watch with status ",
                     response.status));
  }
  if (!complete) {
    // The target may not have noticed yet that the connection is closed, so the
    // capacity stays charged.
    charge.RetainUntilRenewal();
  }
  return MakeResponse(RequestOutcome::kResponded, session,
                      complete ? "the target ended the watch"
                               : "the connection to the target broke or was "
                                 "closed");
}

}  // namespace bramleyrail
