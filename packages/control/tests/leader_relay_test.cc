#include "packages/control/leader_relay.h"

#include <deque>

// CppUTest redefines operator new, so its header follows the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kLimit{600};

// A relay with one control instance that returns prepared responses and repeats
// the last one.
class RelayedExchange {
 public:
  using Response = Result<std::vector<std::byte>>;

  explicit RelayedExchange(std::deque<Response> responses)
      : responses_(std::move(responses)), loop_(IoLoop::Create()) {}

  HttpResponse Run(Milliseconds limit) {
    LeaderRelay::Options options;
    options.instances = [] { return std::vector<std::string>{"a"}; };
    options.call = [this](std::string_view, std::span<const std::byte>,
                          Milliseconds, const PeerCallCallback& callback) {
      ++attempts_;
      const Response response = responses_.front();
      if (responses_.size() > 1) {
        responses_.pop_front();
      }
      callback(response);
    };
    LeaderRelay relay(loop_.get(), std::move(options));
    HttpResponse result;
    relay.Forward({.method = "POST", .target = "/queue/1"}, limit,
                  [&](HttpResponse response) {
                    result = std::move(response);
                    loop_->Stop();
                  });
    loop_->Run();
    return result;
  }

  int attempts() const { return attempts_; }

  static Response Status(int status) {
    return EncodeRelayed(RelayedResponse{.status = status});
  }
  static Response NoResponse() {
    return MakeError(ErrorKind::kOutcomeUnknown, "no response",
                     "repeat the request");
  }

 private:
  std::deque<Response> responses_;
  const std::unique_ptr<IoLoop> loop_;
  int attempts_ = 0;
};

TEST_GROUP(LeaderRelay){};

// Fails when a request is reported as not executed although an earlier attempt
// may have been executed.
TEST(LeaderRelay, RefusalAfterAnUnansweredAttemptLeavesTheOutcomeUnknown) {
  RelayedExchange exchange(
      {RelayedExchange::NoResponse(), RelayedExchange::Status(503)});
  LONGS_EQUAL(504, exchange.Run(kLimit).status);
}

// Fails when a caller is told that its job was refused although an earlier
// leader may have accepted it, before its key was revoked.
TEST(LeaderRelay, RefusedKeyAfterAnUnansweredAttemptLeavesTheOutcomeUnknown) {
  for (const int status : {401, 403, 404}) {
    RelayedExchange exchange(
        {RelayedExchange::NoResponse(), RelayedExchange::Status(status)});
    LONGS_EQUAL(504, exchange.Run(kLimit).status);
    LONGS_EQUAL(2, exchange.attempts());
    RelayedExchange refused({RelayedExchange::Status(status)});
    LONGS_EQUAL(status, refused.Run(kLimit).status);
  }
}

// Fails when a refused request is returned to the caller instead of being
// retried by the relay.
TEST(LeaderRelay, RefusedRequestIsRetried) {
  RelayedExchange exchange({RelayedExchange::Status(503),
                            RelayedExchange::Status(504),
                            RelayedExchange::Status(200)});
  LONGS_EQUAL(200, exchange.Run(kLimit).status);
  LONGS_EQUAL(3, exchange.attempts());
}

// Fails when the outcome is reported as unknown although every attempt was
// refused.
TEST(LeaderRelay, OnlyRefusalsMeanNotExecuted) {
  RelayedExchange exchange({RelayedExchange::Status(503)});
  const HttpResponse response = exchange.Run(kLimit);
  LONGS_EQUAL(503, response.status);
  CHECK(!FindHeader(response.headers, "Retry-After").empty());
}

// REFUSED: fails when a request is reported as rejected although an earlier
// attempt may still arrive and be accepted.
TEST(LeaderRelay, RejectionAfterAnUnansweredAttemptLeavesTheOutcomeUnknown) {
  RelayedExchange exchange(
      {RelayedExchange::NoResponse(), RelayedExchange::Status(429)});
  LONGS_EQUAL(504, exchange.Run(kLimit).status);
}

// Fails when the relay retries a rejected request, or drops the time after
// which its caller may come back.
TEST(LeaderRelay, RejectionReachesTheCaller) {
  RelayedExchange exchange(
      {EncodeRelayed(RelayedResponse{.status = 429, .retry_after_s = 7})});
  const HttpResponse response = exchange.Run(kLimit);
  LONGS_EQUAL(429, response.status);
  STRCMP_EQUAL(
      "7", std::string(FindHeader(response.headers, "Retry-After")).c_str());
  LONGS_EQUAL(1, exchange.attempts());
}

// Fails when an attempt with too little time for a response makes the outcome
// of a refused request unknown.
TEST(LeaderRelay, TooLittleTimeForAnAttemptMeansNotExecuted) {
  RelayedExchange exchange({RelayedExchange::NoResponse()});
  LONGS_EQUAL(503, exchange.Run(Milliseconds(20)).status);
  LONGS_EQUAL(0, exchange.attempts());
}

}  // namespace
}  // namespace bramleyrail
