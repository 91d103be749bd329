#include "packages/target/target_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "packages/target/http_answer.h"

namespace bramleyrail {

namespace {

constexpr int kConflictStatus = 409;
constexpr int kNoContentStatus = 204;
constexpr int kFirstErrorStatus = 400;
constexpr size_t kMaximumWatchLine = size_t{64} * 1024;

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

// An answer is complete only if its length was declared and read.
bool DeclaresLength(const httplib::Response& response) {
  if (response.status == kNoContentStatus) {
    return true;
  }
  const bool chunked = absl::EqualsIgnoreCase(
      response.get_header_value("Transfer-Encoding"), "chunked");
  const size_t lengths = response.get_header_value_count("Content-Length");
  return chunked ? lengths == 0 : lengths == 1;
}

bool StatesNotRun(const httplib::Response& response) {
  return response.status >= kFirstErrorStatus &&
         response.get_header_value(kNotRunHeader) == "true";
}

bool MayReuse(const httplib::Response& response) {
  return response.version == "HTTP/1.1" &&
         !absl::EqualsIgnoreCase(response.get_header_value("Connection"),
                                 "close");
}

ForwardedAnswer MakeAnswer(RequestOutcome outcome,
                           const TargetSession& session,
                           std::string message) {
  ForwardedAnswer answer;
  answer.outcome = outcome;
  answer.target = session.name();
  answer.message = std::move(message);
  return answer;
}

// Splits what arrives into lines and hands them on.
class LineSplitter {
 public:
  explicit LineSplitter(const std::function<bool(std::string_view)>& on_line)
      : on_line_(on_line) {}

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
    return pending_.size() <= kMaximumWatchLine;
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
    connection = pool_.Take(session);
  }
  if (connection == nullptr) {
    pool_.MakeRoom(session);
    const auto remaining = std::chrono::ceil<Milliseconds>(
        deadline - std::chrono::steady_clock::now());
    TRY(stream, SocketStream::Connect(session.host(), session.port(),
                                      std::clamp(remaining, Milliseconds(1),
                                                 options_.connect_timeout)));
    connection = std::make_unique<TargetConnection>(
        session.host(), session.port(), std::move(stream));
  }
  // Connecting may have taken longer than the lease lasts.
  if (!session.MaySend(options_.clock())) {
    return MakeError(ErrorKind::kUnavailable,
                     "the target's session ended before sending",
                     "another target is chosen");
  }
  return connection;
}

ForwardedAnswer TargetClient::Send(CapacityCharge charge,
                                   const ForwardedRequest& request) {
  TargetSession& session = charge.session();
  const MonotonicTime deadline =
      std::chrono::steady_clock::now() + request.remaining;
  Result<std::unique_ptr<TargetConnection>> connected =
      Connect(session, request.idempotent, deadline);
  if (!connected.has_value()) {
    return MakeAnswer(RequestOutcome::kNotSent, session,
                      connected.error().message);
  }
  std::unique_ptr<TargetConnection> connection = std::move(connected).value();
  const size_t written_before = connection->stream().bytes_written();
  const auto remaining = std::chrono::floor<Milliseconds>(
      deadline - std::chrono::steady_clock::now());
  if (remaining.count() <= 0) {
    return MakeAnswer(RequestOutcome::kNotSent, session,
                      "the deadline passed before sending");
  }
  connection->stream().SetLimits(remaining, deadline);
  connection->stream().SetCancelled([this] { return aborted_.load(); });

  httplib::Request http = BuildRequest(session, request, remaining);
  httplib::Response response;
  std::string body;
  bool too_large = false;
  http.content_receiver = [&body, &too_large](const char* data, size_t size,
                                              uint64_t, uint64_t) {
    too_large = body.size() + size > kMaximumAnswerBytes;
    if (!too_large) {
      body.append(data, size);
    }
    return !too_large;
  };
  const bool complete =
      connection->Exchange(&http, &response, !request.idempotent) &&
      DeclaresLength(response);

  if (!complete) {
    pool_.Drop(session);
    if (connection->stream().bytes_written() == written_before) {
      return MakeAnswer(RequestOutcome::kNotSent, session,
                        "the connection broke before the first byte");
    }
    const bool timed_out = connection->stream().timed_out();
    charge.KeepUntilReported();
    if (too_large) {
      return MakeAnswer(RequestOutcome::kAnswerTooLarge, session,
                        absl::StrCat("the target's answer exceeds ",
                                     kMaximumAnswerBytes, " bytes"));
    }
    return MakeAnswer(RequestOutcome::kOutcomeUnknown, session,
                      timed_out ? "no complete answer before the deadline"
                                : "the connection broke before the answer was "
                                  "complete");
  }
  if (StatesNotRun(response)) {
    if (response.status == kConflictStatus) {
      // The target has a newer session elsewhere.
      session.Close();
    }
    return MakeAnswer(RequestOutcome::kNotSent, session,
                      absl::StrCat("the target refused with status ",
                                   response.status, ", not run"));
  }
  if (request.idempotent && MayReuse(response)) {
    pool_.Put(session, std::move(connection));
  }
  ForwardedAnswer answer =
      MakeAnswer(RequestOutcome::kAnswered, session, std::string());
  answer.status = response.status;
  answer.content_type = response.get_header_value("Content-Type");
  answer.body = std::move(body);
  return answer;
}

ForwardedAnswer TargetClient::Watch(CapacityCharge charge,
                                    const WatchOpen& watch,
                                    const WatchHooks& hooks) {
  const TargetSession& session = charge.session();
  Result<std::unique_ptr<TargetConnection>> connected =
      Connect(session, false,
              std::chrono::steady_clock::now() + options_.connect_timeout);
  if (!connected.has_value()) {
    return MakeAnswer(RequestOutcome::kNotSent, session,
                      connected.error().message);
  }
  TargetConnection& connection = *connected.value();
  connection.stream().SetLimits(kWatchSilenceLimit, MonotonicTime::max());
  connection.stream().SetCancelled(hooks.cancelled);

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
    return MakeAnswer(RequestOutcome::kNotSent, session,
                      absl::StrCat("the target refused the watch with status ",
                                   response.status));
  }
  if (!complete) {
    // The target may not have noticed yet that the connection is gone.
    charge.KeepUntilReported();
  }
  return MakeAnswer(RequestOutcome::kAnswered, session,
                    complete ? "the target ended the watch"
                             : "the connection to the target broke or was "
                               "ended");
}

}  // namespace bramleyrail
