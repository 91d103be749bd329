#include "packages/control/leader_relay.h"

#include <deque>

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kLimit{600};

// A relay before one control instance that gives prepared answers, the last one
// again and again.
class RelayedExchange {
 public:
  using Answer = Result<std::vector<std::byte>>;

  explicit RelayedExchange(std::deque<Answer> answers)
      : answers_(std::move(answers)), loop_(IoLoop::Create()) {}

  HttpResponse Run(Milliseconds limit) {
    LeaderRelay::Options options;
    options.instances = [] { return std::vector<std::string>{"a"}; };
    options.call = [this](std::string_view, std::span<const std::byte>,
                          Milliseconds, const PeerCallCallback& callback) {
      ++attempts_;
      const Answer answer = answers_.front();
      if (answers_.size() > 1) {
        answers_.pop_front();
      }
      callback(answer);
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

  static Answer Status(int status) {
    return EncodeRelayed(RelayedResponse{.status = status});
  }
  static Answer NoAnswer() {
    return MakeError(ErrorKind::kOutcomeUnknown, "no answer", "ask again");
  }

 private:
  std::deque<Answer> answers_;
  const std::unique_ptr<IoLoop> loop_;
  int attempts_ = 0;
};

TEST_GROUP(LeaderRelay){};

// Guards against "not executed" of a request whose earlier attempt may have
// been executed.
TEST(LeaderRelay, RefusalAfterAnUnansweredAttemptLeavesTheOutcomeUnknown) {
  RelayedExchange exchange(
      {RelayedExchange::NoAnswer(), RelayedExchange::Status(503)});
  LONGS_EQUAL(504, exchange.Run(kLimit).status);
}

// Guards against a caller that has to come back for what the relay can do.
TEST(LeaderRelay, RefusedRequestIsTriedAgain) {
  RelayedExchange exchange({RelayedExchange::Status(503),
                            RelayedExchange::Status(504),
                            RelayedExchange::Status(200)});
  LONGS_EQUAL(200, exchange.Run(kLimit).status);
  LONGS_EQUAL(3, exchange.attempts());
}

// Guards against "outcome unknown" where nothing was ever executed.
TEST(LeaderRelay, OnlyRefusalsMeanNotExecuted) {
  RelayedExchange exchange({RelayedExchange::Status(503)});
  const HttpResponse response = exchange.Run(kLimit);
  LONGS_EQUAL(503, response.status);
  CHECK(!FindHeader(response.headers, "Retry-After").empty());
}

// Guards against an attempt that is too short for an answer and so turns a
// repeatable refusal into an unknown outcome.
TEST(LeaderRelay, TooLittleTimeForAnAttemptMeansNotExecuted) {
  RelayedExchange exchange({RelayedExchange::NoAnswer()});
  LONGS_EQUAL(503, exchange.Run(Milliseconds(20)).status);
  LONGS_EQUAL(0, exchange.attempts());
}

}  // namespace
}  // namespace bramleyrail
