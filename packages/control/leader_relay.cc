#include "packages/control/leader_relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/control/control_events.h"

namespace bramleyrail {

namespace {

// One attempt. It covers a commit of a leader in another region, and leaves
// time for another attempt within the time that callers wait.
constexpr Milliseconds kAttemptTimeout{900};
// An attempt with less time than a round trip between regions and a commit
// would only make the outcome unknown.
constexpr Milliseconds kLeastAttempt{100};
// Pause before the leader is asked again that did not carry out a request.
constexpr Milliseconds kRefusedPause{50};
// Pause after every known instance was asked in vain.
constexpr Milliseconds kRoundPause{50};
// Seconds after which a caller may come back, about the time of an election.
constexpr int64_t kRetryAfterSeconds = 1;

// HTTP status codes.
constexpr int kNotExecuted = 503;
constexpr int kOutcomeUnknown = 504;

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

struct LeaderRelay::Exchange {
  RelayedRequest request;
  std::vector<std::byte> payload;
  HttpResponder respond;
  MonotonicTime started;
  MonotonicTime deadline;
  std::vector<std::string> asked;  // In this round.
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
  const auto asked = [exchange](const std::string& name) {
    return std::find(exchange->asked.begin(), exchange->asked.end(), name) !=
           exchange->asked.end();
  };
  if (!leader_.empty() && !asked(leader_)) {
    return leader_;
  }
  for (const std::string& name : options_.instances()) {
    if (!asked(name)) {
      return name;
    }
  }
  return "";
}

void LeaderRelay::Try(std::shared_ptr<Exchange> exchange) {
  const MonotonicTime now = Now();
  if (now + kLeastAttempt > exchange->deadline) {
    GiveUp(exchange);
    return;
  }
  const std::string peer = NextInstance(exchange.get());
  if (peer.empty()) {
    exchange->asked.clear();
    TryAgain(exchange, kRoundPause);
    return;
  }
  exchange->asked.push_back(peer);
  ++exchange->attempts;
  ++counters_.attempts;
  const Milliseconds timeout =
      std::min(kAttemptTimeout,
               std::chrono::ceil<Milliseconds>(exchange->deadline - now));
  options_.call(
      peer, exchange->payload, timeout,
      [this, alive = alive_, loop = loop_, exchange,
       peer](Result<std::vector<std::byte>> answer) {
        loop->Post([this, alive, exchange, peer, answer = std::move(answer)] {
          if (*alive) {
            HandleAnswer(exchange, peer, answer);
          }
        });
      });
}

void LeaderRelay::TryAgain(const std::shared_ptr<Exchange>& exchange,
                           Milliseconds delay) {
  loop_->RunAfter(delay, [this, alive = alive_, exchange] {
    if (*alive) {
      Try(exchange);
    }
  });
}

void LeaderRelay::HandleAnswer(const std::shared_ptr<Exchange>& exchange,
                               const std::string& peer,
                               const Result<std::vector<std::byte>>& answer) {
  if (!answer) {
    exchange->last_error = answer.error().ToString();
    exchange->maybe_executed = exchange->maybe_executed ||
                               answer.error().kind != ErrorKind::kUnavailable;
    if (leader_ == peer) {
      leader_.clear();
    }
    Try(exchange);
    return;
  }
  last_answer_ = Now();
  Result<RelayedResponse> response = DecodeRelayedResponse(answer.value());
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
      TryAgain(exchange, kRoundPause);
    } else {
      Try(exchange);
    }
    return;
  }
  if (relayed.status == kNotExecuted || relayed.status == kOutcomeUnknown) {
    // An earlier attempt may have been executed, whatever this one says of
    // itself, and the next leader may carry it out.
    exchange->last_error = absl::StrCat(peer, ": ", relayed.body);
    exchange->maybe_executed =
        exchange->maybe_executed || relayed.status == kOutcomeUnknown;
    exchange->asked.clear();
    TryAgain(exchange, kRefusedPause);
    return;
  }
  leader_ = peer;
  ++counters_.answered;
  exchange->respond(FromRelayed(std::move(relayed)));
}

void LeaderRelay::GiveUp(const std::shared_ptr<Exchange>& exchange) {
  const bool unknown = exchange->maybe_executed;
  ++(unknown ? counters_.outcome_unknown : counters_.not_executed);
  LogEvent(
      kRelayGivenUp,
      {{"method", exchange->request.method},
       {"target", exchange->request.target},
       {"attempts", exchange->attempts},
       {"waited_ms",
        std::chrono::floor<Milliseconds>(Now() - exchange->started).count()},
       {"outcome", unknown ? std::string_view("unknown")
                           : std::string_view("not_executed")},
       {"last_error", exchange->last_error}});
  HttpResponse response;
  if (unknown) {
    response.status = kOutcomeUnknown;
    response.body = R"({"error":"the outcome is not known; ask again"})";
  } else {
    response.status = kNotExecuted;
    response.body = R"({"error":"no leader; the request was not executed"})";
    response.headers.emplace_back("Retry-After",
                                  absl::StrCat(kRetryAfterSeconds));
  }
  exchange->respond(std::move(response));
}

}  // namespace bramleyrail
