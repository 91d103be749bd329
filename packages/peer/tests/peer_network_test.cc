#include <array>
#include <atomic>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "packages/peer/fakes/peer_pair.h"
#include "packages/peer/peer.h"

// Redefines new, so it comes after every other header.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kLongTimeout{30'000};

std::vector<std::byte> Bytes(std::string_view text) {
  const std::span<const std::byte> bytes = AsBytes(text);
  return {bytes.begin(), bytes.end()};
}

// Keeps the outcomes of calls, by the text of the call.
class CallLog {
 public:
  PeerCallCallback Callback(const std::string& call) {
    return [this, call](Result<std::vector<std::byte>> answer) {
      absl::MutexLock lock(&mutex_);
      outcomes_.emplace_back(
          call, answer.has_value()
                    ? std::string(AsText(answer.value()))
                    : std::string(ErrorKindName(answer.error().kind)));
    };
  }
  // Of the calls that have ended, in that order.
  std::vector<std::pair<std::string, std::string>> outcomes() {
    absl::MutexLock lock(&mutex_);
    return outcomes_;
  }
  std::string OutcomeOf(const std::string& call) {
    for (const auto& [name, outcome] : outcomes()) {
      if (name == call) {
        return outcome;
      }
    }
    return "";
  }

 private:
  absl::Mutex mutex_;
  std::vector<std::pair<std::string, std::string>> outcomes_;
};

// Answers calls when the test says so.
class HeldAnswers {
 public:
  PeerCallHandler Handler() {
    return [this](std::string_view, std::span<const std::byte> payload,
                  PeerAnswer answer) {
      absl::MutexLock lock(&mutex_);
      held_.emplace_back(AsText(payload), std::move(answer));
    };
  }
  size_t size() {
    absl::MutexLock lock(&mutex_);
    return held_.size();
  }
  void AnswerLast() {
    absl::MutexLock lock(&mutex_);
    held_.back().second(Bytes("answer to " + held_.back().first));
    held_.pop_back();
  }

 private:
  absl::Mutex mutex_;
  std::vector<std::pair<std::string, PeerAnswer>> held_;
};

TEST_GROUP(PeerNetwork){};

TEST(PeerNetwork, MessageReachesTheHandlerOfItsChannel) {
  PeerPair pair;
  absl::Mutex mutex;
  std::string received;
  pair.beta().SetMessageHandler(
      PeerChannel::kRouting,
      [&](std::string_view peer, std::span<const std::byte> payload) {
        absl::MutexLock lock(&mutex);
        received = std::string(peer) + ": " + std::string(AsText(payload));
      });
  CHECK(pair.StartAndConnect());
  CHECK(pair.alpha().Send("beta", PeerChannel::kStatus, AsBytes("ignored")));
  CHECK(pair.alpha().Send("beta", PeerChannel::kRouting, AsBytes("summary")));
  CHECK(WaitUntil([&] {
    absl::MutexLock lock(&mutex);
    return received == "alpha: summary";
  }));
  CHECK(!pair.alpha().Send("gamma", PeerChannel::kRouting, AsBytes("x")));
  CHECK(StatusOf(pair.alpha()).bytes_sent > 0);
  STRCMP_EQUAL("south-1", StatusOf(pair.alpha()).info.failure_domain.c_str());
}

// Guards against answers that are matched by order instead of by number.
TEST(PeerNetwork, AnswersOutOfOrderReachTheirOwnCallers) {
  constexpr size_t kCalls = 100;
  PeerPair pair;
  HeldAnswers held;
  CallLog log;
  pair.beta().SetCallHandler(PeerChannel::kRouting, held.Handler());
  CHECK(pair.StartAndConnect());
  for (size_t i = 0; i < kCalls; ++i) {
    const std::string call = std::to_string(i);
    pair.alpha().Call("beta", PeerChannel::kRouting, AsBytes(call),
                      kLongTimeout, log.Callback(call));
  }
  CHECK(WaitUntil([&] { return held.size() == kCalls; }));
  for (size_t i = 0; i < kCalls; ++i) {
    held.AnswerLast();
  }
  CHECK(WaitUntil([&] { return log.outcomes().size() == kCalls; }));
  STRCMP_EQUAL("99", log.outcomes().front().first.c_str());
  for (const auto& [call, outcome] : log.outcomes()) {
    STRCMP_EQUAL(("answer to " + call).c_str(), outcome.c_str());
  }
}

}  // namespace
}  // namespace bramleyrail
