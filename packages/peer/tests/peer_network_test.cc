#include "packages/peer/peer_network.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "packages/peer/fakes/call_log.h"
#include "packages/peer/fakes/held_answers.h"
#include "packages/peer/fakes/peer_pair.h"
#include "packages/peer/peer_limits.h"

// Redefines new, so it comes after every other header.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kLongTimeout{30'000};
constexpr Milliseconds kShortTimeout{20};
constexpr PeerChannel kChannel = PeerChannel::kRouting;

void CallBeta(PeerPair& pair,
              const std::string& call,
              Milliseconds timeout,
              CallLog& log) {
  pair.alpha().Call("beta", kChannel, AsBytes(call), timeout,
                    log.Callback(call));
}

TEST_GROUP(PeerNetwork){};

// Guards against messages that reach the handler of another channel.
TEST(PeerNetwork, MessageReachesTheHandlerOfItsChannel) {
  PeerPair pair;
  absl::Mutex mutex;
  std::string received;
  pair.beta().SetMessageHandler(
      kChannel, [&](std::string_view peer, std::span<const std::byte> payload) {
        absl::MutexLock lock(&mutex);
        received += std::string(peer) + ": " + std::string(AsText(payload));
      });
  CHECK(pair.StartAndConnect());
  CHECK(pair.alpha().Send("beta", PeerChannel::kStatus, AsBytes("ignored")));
  CHECK(pair.alpha().Send("beta", kChannel, AsBytes("summary")));
  CHECK(WaitUntil([&] {
    absl::MutexLock lock(&mutex);
    return received == "alpha: summary";
  }));
  CHECK(!pair.alpha().Send("gamma", kChannel, AsBytes("x")));
  CHECK(StatusOf(pair.alpha()).bytes_sent > 0);
  STRCMP_EQUAL("south-1", StatusOf(pair.alpha()).info.failure_domain.c_str());
}

// Guards against answers that are matched by order instead of by number.
TEST(PeerNetwork, AnswersOutOfOrderReachTheirOwnCallers) {
  constexpr size_t kCalls = 100;
  PeerPair pair;
  HeldAnswers held;
  CallLog log;
  pair.beta().SetCallHandler(kChannel, held.Handler());
  CHECK(pair.StartAndConnect());
  for (size_t i = 0; i < kCalls; ++i) {
    CallBeta(pair, std::to_string(i), kLongTimeout, log);
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

// Guards against a late answer that ends another call or the connection.
TEST(PeerNetwork, LateAnswerIsDroppedAndCounted) {
  PeerPair pair;
  HeldAnswers held;
  CallLog log;
  pair.beta().SetCallHandler(kChannel, held.Handler());
  CHECK(pair.StartAndConnect());
  CallBeta(pair, "late", kShortTimeout, log);
  STRCMP_EQUAL("outcome_unknown", log.WaitFor("late").c_str());
  held.AnswerLast();
  CHECK(WaitUntil([&] { return StatusOf(pair.alpha()).late_answers == 1; }));
  CallBeta(pair, "next", kLongTimeout, log);
  held.AnswerLast();
  STRCMP_EQUAL("answer to next", log.WaitFor("next").c_str());
  LONGS_EQUAL(0, StatusOf(pair.alpha()).connections_lost);
}

// Guards against callers that wait for an answer that cannot come any more.
TEST(PeerNetwork, DroppedAnswerFailsTheCallWithOutcomeUnknown) {
  PeerPair pair;
  HeldAnswers held;
  CallLog log;
  pair.beta().SetCallHandler(kChannel, held.Handler());
  CHECK(pair.StartAndConnect());
  CallBeta(pair, "dropped", kLongTimeout, log);
  held.DropLast();
  STRCMP_EQUAL("outcome_unknown", log.WaitFor("dropped").c_str());
}

// Guards against errors that lose their kind or remedy on the way.
TEST(PeerNetwork, ErrorAnswerKeepsKindMessageAndRemedy) {
  PeerPair pair;
  pair.beta().SetCallHandler(
      kChannel, [](std::string_view, std::span<const std::byte>,
                   const PeerAnswer& answer) {
        answer(MakeError(ErrorKind::kConflict, "taken", "take another"));
      });
  CHECK(pair.StartAndConnect());
  absl::Mutex mutex;
  std::string text;
  pair.alpha().Call("beta", kChannel, {}, kLongTimeout,
                    [&](const Result<std::vector<std::byte>>& answer) {
                      absl::MutexLock lock(&mutex);
                      text = answer.error().ToString();
                    });
  CHECK(WaitUntil([&] {
    absl::MutexLock lock(&mutex);
    return text == "conflict: taken (take another)";
  }));
}

// Guards against the loss of whole frames at the limit of their size.
TEST(PeerNetwork, PayloadOfTheLargestSizeTravelsBothWays) {
  PeerPair pair;
  pair.beta().SetCallHandler(
      kChannel, [](std::string_view, std::span<const std::byte> payload,
                   const PeerAnswer& answer) {
        answer(std::vector<std::byte>(payload.begin(), payload.end()));
      });
  CHECK(pair.StartAndConnect());
  CallLog log;
  const std::string largest(kMaximumPayloadBytes, 'x');
  CallBeta(pair, largest, kLongTimeout, log);
  CHECK(log.WaitFor(largest) == largest);
  CallBeta(pair, largest + "x", kLongTimeout, log);
  STRCMP_EQUAL("unavailable", log.WaitFor(largest + "x").c_str());
}

// Guards against errors that claim less or more than is known about the call.
TEST(PeerNetwork, CallsThatWereNotSentAreUnavailable) {
  PeerPair pair;
  CallLog log;
  CHECK(pair.alpha().Start().has_value());
  CallBeta(pair, "not connected", kLongTimeout, log);
  STRCMP_EQUAL("unavailable", log.WaitFor("not connected").c_str());
  CHECK(!pair.alpha().Send("beta", kChannel, AsBytes("x")));
  CHECK(pair.beta().Start().has_value());
  CHECK(WaitUntil([&] { return StatusOf(pair.alpha()).connected; }));
  CallBeta(pair, "no handler", kLongTimeout, log);
  STRCMP_EQUAL("unavailable", log.WaitFor("no handler").c_str());
  pair.alpha().Stop();
  CallBeta(pair, "stopped", kLongTimeout, log);
  STRCMP_EQUAL("unavailable", log.WaitFor("stopped").c_str());
}

// Guards against callers that wait for ever when the instance stops.
TEST(PeerNetwork, StopFailsCallsInProgress) {
  PeerPair pair;
  HeldAnswers held;
  CallLog log;
  pair.beta().SetCallHandler(kChannel, held.Handler());
  CHECK(pair.StartAndConnect());
  CallBeta(pair, "in progress", kLongTimeout, log);
  CHECK(WaitUntil([&] { return held.size() == 1; }));
  pair.alpha().Stop();
  STRCMP_EQUAL("outcome_unknown", log.WaitFor("in progress").c_str());
}

// Guards against peers that are dialled for ever, calls to them that never end,
// and links that are used after they were freed.
TEST(PeerNetwork, RemovedPeerIsForgottenInBothDirections) {
  PeerPair pair;
  HeldAnswers held;
  CallLog log;
  pair.beta().SetCallHandler(kChannel, held.Handler());
  CHECK(pair.StartAndConnect());
  CallBeta(pair, "in progress", kLongTimeout, log);
  CHECK(WaitUntil([&] { return held.size() == 1; }));
  pair.alpha().RemovePeer("beta");
  pair.alpha().RemovePeer("never known");
  STRCMP_EQUAL("outcome_unknown", log.WaitFor("in progress").c_str());
  CHECK(pair.alpha().Statuses().empty());
  CallBeta(pair, "removed", kLongTimeout, log);
  STRCMP_EQUAL("unavailable", log.WaitFor("removed").c_str());
  CHECK(!pair.alpha().Send("beta", kChannel, AsBytes("x")));
  // Alpha refuses the hello of an instance that it does not know any more.
  CHECK(WaitUntil([&] { return !StatusOf(pair.beta()).connected; }));
  pair.alpha().AddPeer({"beta", {"127.0.0.1", pair.alpha_relay().port()}});
  CHECK(WaitUntil([&] {
    return pair.alpha().Statuses().size() == 1 &&
           StatusOf(pair.alpha()).connected && StatusOf(pair.beta()).connected;
  }));
}

// Guards against a race between a thread that sends and one that removes.
TEST(PeerNetwork, PeerMayBeRemovedWhileAnotherThreadCallsIt) {
  constexpr int kRounds = 50;
  PeerPair pair;
  CHECK(pair.StartAndConnect());
  std::atomic<bool> done = false;
  std::atomic<int> open_calls = 0;
  std::thread caller([&] {
    while (!done) {
      ++open_calls;
      pair.alpha().Call(
          "beta", kChannel, {}, kLongTimeout,
          [&](const Result<std::vector<std::byte>>&) { --open_calls; });
      (void)pair.alpha().Send("beta", kChannel, AsBytes("x"));
      std::this_thread::sleep_for(Milliseconds(1));
    }
  });
  for (int i = 0; i < kRounds; ++i) {
    pair.alpha().RemovePeer("beta");
    pair.alpha().AddPeer({"beta", {"127.0.0.1", pair.alpha_relay().port()}});
    std::this_thread::sleep_for(Milliseconds(5));
  }
  done = true;
  caller.join();
  CHECK(WaitUntil([&] { return open_calls == 0; }));
}

// Guards against settings that only fail when the first peer is dialled.
TEST(PeerNetwork, FaultyOptionsAreRefusedWithEveryFault) {
  PeerNetwork::Options options;
  options.self = {"alpha", "south-1", "south"};
  options.listen_address = {"localhost", 0};
  options.peers = {{"alpha", {"127.0.0.1", 0}}};
  const auto network = PeerNetwork::Create(options);
  CHECK(network.has_error());
  std::string paths;
  for (const FieldFault& fault : network.error().faults) {
    paths += fault.path + " ";
  }
  STRCMP_EQUAL("cluster_id listen_address peers[0].address peers[0].name ",
               paths.c_str());
}

}  // namespace
}  // namespace bramleyrail
