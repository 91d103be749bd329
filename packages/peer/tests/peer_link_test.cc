// Failures of the connections between two instances.

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "packages/peer/envelope.h"
#include "packages/peer/fakes/call_log.h"
#include "packages/peer/fakes/held_answers.h"
#include "packages/peer/fakes/peer_pair.h"
#include "packages/peer/frame_reader.h"
#include "packages/peer/peer_limits.h"
#include "packages/peer/socket.h"

// Redefines new, so it comes after every other header.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kLongTimeout{30'000};
constexpr PeerChannel kChannel = PeerChannel::kRouting;

// Sends bytes to the port of an instance, waits until it closes the connection,
// and returns how many bytes it sent until then; nullopt when it never closes.
std::optional<size_t> AnswerUntilClosed(uint16_t port,
                                        std::span<const std::byte> bytes) {
  const FileDescriptor socket =
      StartDial({"127.0.0.1", port}, {"127.0.0.1", 0}).value();
  bool sent = false;
  size_t received = 0;
  const bool closed = WaitUntil([&] {
    pollfd ready = {socket.number(), POLLOUT, 0};
    if (!sent && poll(&ready, 1, 0) == 1) {
      sent = send(socket.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
             static_cast<ssize_t>(bytes.size());
    }
    std::array<std::byte, 4096> buffer;
    const ssize_t count =
        recv(socket.number(), buffer.data(), buffer.size(), 0);
    received += count > 0 ? static_cast<size_t>(count) : 0;
    return sent && (count == 0 || (count < 0 && errno == ECONNRESET));
  });
  return closed ? std::optional(received) : std::nullopt;
}

TEST_GROUP(PeerLink){};

// Guards against connections that went silent and stay in use at either end:
// while the relay accepts nothing new, both ends have to notice by themselves.
TEST(PeerLink, SilentConnectionIsFoundAtBothEndsAndReplaced) {
  PeerPair pair;
  HeldAnswers held;
  CallLog log;
  pair.beta().SetCallHandler(kChannel, held.Handler());
  CHECK(pair.StartAndConnect());
  pair.alpha().Call("beta", kChannel, AsBytes("sent"), kLongTimeout,
                    log.Callback("sent"));
  CHECK(WaitUntil([&] { return held.size() == 1; }));
  pair.alpha_relay().SetTarget(0);
  pair.alpha_relay().FreezeOpenConnections();
  CHECK(WaitUntil([&] {
    return StatusOf(pair.alpha()).connections_lost == 1 &&
           StatusOf(pair.beta()).connections_lost == 1;
  }));
  STRCMP_EQUAL("outcome_unknown", log.WaitFor("sent").c_str());
  CHECK(!StatusOf(pair.alpha()).connected);
  CHECK(StatusOf(pair.beta()).connected);
  pair.alpha_relay().SetTarget(pair.beta().ListenPort());
  CHECK(WaitUntil([&] { return StatusOf(pair.alpha()).connected; }));
  pair.alpha().Call("beta", kChannel, AsBytes("next"), kLongTimeout,
                    log.Callback("next"));
  CHECK(WaitUntil([&] { return held.size() == 2; }));
  held.AnswerLast();
  STRCMP_EQUAL("answer to next", log.WaitFor("next").c_str());
}

// Guards against damaged bytes that reach a handler, and against a connection
// that is read on after them.
TEST(PeerLink, DamagedFrameClosesTheConnectionAndItIsReplaced) {
  PeerPair pair;
  CHECK(pair.StartAndConnect());
  pair.alpha_relay().DamageNextBytes();
  CHECK(WaitUntil([&] {
    return StatusOf(pair.alpha()).connections_lost == 1 &&
           StatusOf(pair.beta()).connections_lost == 1 &&
           StatusOf(pair.alpha()).connected;
  }));
}

// Guards against instances of two clusters that exchange messages.
TEST(PeerLink, WrongClusterIdIsRefusedAtEachDial) {
  PeerPair pair("cluster", "other");
  CHECK(pair.alpha().Start().has_value());
  CHECK(pair.beta().Start().has_value());
  CHECK(WaitUntil([&] {
    return pair.alpha_relay().accepted_connections() >= 3 &&
           pair.beta_relay().accepted_connections() >= 3;
  }));
  CHECK(!StatusOf(pair.alpha()).connected);
  CHECK(!StatusOf(pair.beta()).connected);
  CHECK(!StatusOf(pair.beta()).last_contact.has_value());
}

// Guards against strangers that hold a connection or make the instance
// allocate.
TEST(PeerLink, StrangersAreCutOff) {
  PeerPair pair;
  CHECK(pair.alpha().Start().has_value());
  const uint16_t port = pair.alpha().ListenPort();
  const auto is_cut_off = [port](std::span<const std::byte> bytes) {
    return AnswerUntilClosed(port, bytes).has_value();
  };
  CHECK(is_cut_off(AsBytes("GET / HTTP/1.1\r\n\r\n")));
  CHECK(is_cut_off(EncodeHeartbeat()));
  CHECK(is_cut_off(EncodeHello("cluster", {"gamma", "s", "s"})));
  const std::string too_long(kMaximumHelloBytes, 'x');
  CHECK(is_cut_off(EncodeHello(too_long, {"beta", "s", "s"})));
}

// Guards against a connection that is held without a hello, and against
// heartbeats before the hello, which a slow peer would take for a fault.
TEST(PeerLink, WithoutHelloTheConnectionIsClosedInSilence) {
  PeerPair pair;
  CHECK(pair.alpha().Start().has_value());
  CHECK(AnswerUntilClosed(pair.alpha().ListenPort(), AsBytes("x")) ==
        std::optional<size_t>(0));
}

// Guards against strangers whose frames never end: the process kept them all,
// and it crashed when it had closed a connection that it advanced afterwards.
TEST(PeerLink, UnfinishedFramesAreBoundedTogether) {
  constexpr size_t kStrangers = 12;
  constexpr size_t kFrameBytes = 100'000;
  PeerNetwork::Options options;
  options.cluster_id = "cluster";
  options.self = {"alpha", "s", "s"};
  options.listen_address = {"127.0.0.1", 0};
  options.maximum_kept_bytes = 2 * kFrameBytes;
  options.admit_unknown = [](std::string_view) { return SocketAddress{}; };
  const auto network = PeerNetwork::Create(std::move(options)).value();
  CHECK(network->Start().has_value());
  std::vector<FileDescriptor> strangers;
  for (size_t stranger = 0; stranger < kStrangers; ++stranger) {
    strangers.push_back(
        StartDial({"127.0.0.1", network->ListenPort()}, {"127.0.0.1", 0})
            .value());
    std::vector<std::byte> bytes =
        EncodeHello("cluster", {absl::StrCat("stranger-", stranger), "s", "s"});
    std::vector<std::byte> frame =
        EncodeFrame(std::vector<std::byte>(kFrameBytes));
    frame.pop_back();
    bytes.insert(bytes.end(), frame.begin(), frame.end());
    size_t sent = 0;
    CHECK(WaitUntil([&] {
      const ssize_t count = send(strangers.back().number(), bytes.data() + sent,
                                 bytes.size() - sent, MSG_NOSIGNAL);
      sent += count > 0 ? static_cast<size_t>(count) : 0;
      return sent == bytes.size();
    }));
  }
  CHECK(WaitUntil(
      [&] { return network->ReclaimedConnections() >= kStrangers - 2; }));
  network->Stop();
}

// Guards against a queue that grows without limit behind a peer that does not
// read, and against calls that wait in it in vain.
TEST(PeerLink, FullQueueDropsMessagesAndRefusesCalls) {
  PeerPair pair;
  CallLog log;
  CHECK(pair.StartAndConnect());
  const std::vector<std::byte> message(1'000'000);
  bool refused = false;
  // Filling may outlast the connection on a busy machine, so it is repeated.
  CHECK(WaitUntil([&] {
    pair.alpha_relay().FreezeOpenConnections();
    for (int i = 0; i < 100 && !refused; ++i) {
      const bool sent = pair.alpha().Send("beta", kChannel, message);
      refused = !sent && StatusOf(pair.alpha()).dropped_messages > 0;
    }
    return refused;
  }));
  pair.alpha().Call("beta", kChannel, message, kLongTimeout,
                    log.Callback("refused"));
  STRCMP_EQUAL("unavailable", log.WaitFor("refused").c_str());
  CHECK(WaitUntil([&] {
    return StatusOf(pair.alpha()).connections_lost >= 1 &&
           StatusOf(pair.alpha()).connected;
  }));
}

}  // namespace
}  // namespace bramleyrail
