#include "packages/control/leader_relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/control/control_events.h"

namespace bramleyrail {

namespace {

// Timeout of one attempt. It covers a commit of a leader in another region, and
// leaves time for another attempt within the time that callers wait.
constexpr Milliseconds kAttemptTimeout{900};
// An attempt with less time than a round trip between regions and a commit
// would only make the outcome unknown.
constexpr Milliseconds kMinimumAttemptTime{100};
// Delay before a retry after the leader did not execute a request.
constexpr Milliseconds kRefusalRetryDelay{50};
// Delay after all known instances were tried without success.
constexpr Milliseconds kRoundRetryDelay{50};
// Value of the Retry-After header in seconds, about the duration of an
// election.
constexpr int64_t kRetryAfterSeconds = 1;

// HTTP status codes.
constexpr int kStatusRejected = 429;
constexpr int kStatusNotExecuted = 503;
constexpr int kStatusOutcomeUnknown = 504;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusForbidden = 403;
constexpr int kStatusNotFound = 404;

// Whether an earlier attempt may have been executed although this one got the
// status: an attempt that arrives late may be accepted, and another
// configuration may have allowed it. The caller must not be told then that the
// request never takes effect.
bool MayFollowExecution(std::string_view method, int64_t status) {
  const bool refused_by_configuration = status == kStatusUnauthorized ||
                                        status == kStatusForbidden ||
                                        status == kStatusNotFound;
  return status == kStatusRejected ||
         (method != "GET" && refused_by_configuration);
}

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

HttpResponse OutcomeUnknown() {
  return {
      .status = kStatusOutcomeUnknown,
      .body = R"({"error":"the outcome is not known; repeat the request"})"};
}

}  // namespace

struct LeaderRelay::Exchange {
  RelayedRequest request;
  std::vector<std::byte> payload;
  HttpResponder respond;
  MonotonicTime started;
  MonotonicTime deadline;
  std::vector<std::string> tried;  // Instances called in the current round.
  int attempts = 0;
  bool maybe_executed = false;
  std::string last_error = "no control instance is known";
};

LeaderRelay::LeaderRelay(IoLoop* loop, Options options)
    : loop_(loop),
      options_(std::move(options)),
      alive_(std::make_shared<bool>(true)) {}

LeaderRelay::~LeaderRelay() {
  *alive_ = false;
}

void LeaderRelay::Forward(HttpRequest request,
                          Milliseconds limit,
                          HttpResponder respond) {
  auto exchange = std::make_shared<Exchange>();
  exchange->request = ToRelayed(std::move(request), options_.from);
  exchange->payload = EncodeRelayed(exchange->request);
  exchange->respond = std::move(respond);
  exchange->started = Now();
  exchange->deadline = exchange->started + limit;
  Try(std::move(exchange));
}

std::string LeaderRelay::NextInstance(Exchange* exchange) {
  const auto tried = [exchange](const std::string& name) {
    return std::find(exchange->tried.begin(), exchange->tried.end(), name) !=
           exchange->tried.end();
  };
  if (!leader_.empty() && !tried(leader_)) {
    return leader_;
  }
  for (const std::string& name : options_.instances()) {
    if (!tried(name)) {
      return name;
    }
  }
  return "";
}

void LeaderRelay::Try(std::shared_ptr<Exchange> exchange) {
  const MonotonicTime now = Now();
  if (now + kMinimumAttemptTime > exchange->deadline) {
    HandleTimeout(exchange);
    return;
  }
  const std::string peer = NextInstance(exchange.get());
  if (peer.empty()) {
    exchange->tried.clear();
    Retry(exchange, kRoundRetryDelay);
    return;
  }
  exchange->tried.push_back(peer);
  ++exchange->attempts;
  ++counters_.attempts;
  const Milliseconds timeout =
      std::min(kAttemptTimeout,
               std::chrono::ceil<Milliseconds>(exchange->deadline - now));
  options_.call(
      peer, exchange->payload, timeout,
      [this, alive = alive_, loop = loop_, exchange,
       peer](Result<std::vector<std::byte>> result) {
        loop->Post([this, alive, exchange, peer, result = std::move(result)] {
          if (*alive) {
            HandleResponse(exchange, peer, result);
          }
        });
      });
}

void LeaderRelay::Retry(const std::shared_ptr<Exchange>& exchange,
                        Milliseconds delay) {
  loop_->RunAfter(delay, [this, alive = alive_, exchange] {
    if (*alive) {
      Try(exchange);
    }
  });
}

void LeaderRelay::HandleResponse(const std::shared_ptr<Exchange>& exchange,
                                 const std::string& peer,
                                 const Result<std::vector<std::byte>>& result) {
  if (!result) {
    exchange->last_error = result.error().ToString();
    exchange->maybe_executed = exchange->maybe_executed ||
                               result.error().kind != ErrorKind::kUnavailable;
    if (leader_ == peer) {
      leader_.clear();
    }
    Try(exchange);
    return;
  }
  last_response_time_ = Now();
  Result<RelayedResponse> response = DecodeRelayedResponse(result.value());
  if (!response) {
    exchange->last_error = response.error().ToString();
    exchange->maybe_executed = true;
    Try(exchange);
    return;
  }
  RelayedResponse& relayed = response.value();
  if (relayed.not_leader) {
    exchange->last_error = absl::StrCat(peer, " does not lead");
    leader_ = relayed.leader;
    if (leader_.empty()) {
      Retry(exchange, kRoundRetryDelay);
    } else {
      Try(exchange);
    }
    return;
  }
  if (relayed.status == kStatusNotExecuted ||
      relayed.status == kStatusOutcomeUnknown) {
    // An earlier attempt may have been executed, whatever the status of this
    // one, and the next leader may execute the request.
    exchange->last_error = absl::StrCat(peer, ": ", relayed.body);
    exchange->maybe_executed =
        exchange->maybe_executed || relayed.status == kStatusOutcomeUnknown;
    exchange->tried.clear();
    Retry(exchange, kRefusalRetryDelay);
    return;
  }
  leader_ = peer;
  if (exchange->maybe_executed &&
      MayFollowExecution(exchange->request.method, relayed.status)) {
    exchange->last_error = absl::StrCat(peer, ": status ", relayed.status);
    HandleTimeout(exchange);
    return;
  }
  ++counters_.responses;
  exchange->respond(FromRelayed(std::move(relayed)));
}

void LeaderRelay::HandleTimeout(const std::shared_ptr<Exchange>& exchange) {
  const bool unknown = exchange->maybe_executed;
  ++(unknown ? counters_.outcome_unknown : counters_.not_executed);
  LogEvent(
      kRelayTimedOut,
      {{"method", exchange->request.method},
       {"target", exchange->request.target},
       {"attempts", exchange->attempts},
       {"waited_ms",
        std::chrono::floor<Milliseconds>(Now() - exchange->started).count()},
       {"outcome", unknown ? std::string_view("unknown")
                           : std::string_view("not_executed")},
       {"last_error", exchange->last_error}});
  if (unknown) {
    exchange->respond(OutcomeUnknown());
    return;
  }
  HttpResponse response;
  response.status = kStatusNotExecuted;
  response.body =
      R"({"error":"no leader is available; the request was not executed"})";
  response.headers.emplace_back("Retry-After",
                                absl::StrCat(kRetryAfterSeconds));
  exchange->respond(std::move(response));
}

}  // namespace bramleyrail
