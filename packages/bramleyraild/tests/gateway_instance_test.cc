// A gateway and the control instances that it calls, over loopback.

#include <unistd.h>

#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "packages/bramleyraild/role_instance.h"
#include "packages/peer/peer.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kWaitLimit{15'000};
constexpr Milliseconds kWaitStep{10};

bool WaitUntil(const std::function<bool()>& condition) {
  const MonotonicTime end = std::chrono::steady_clock::now() + kWaitLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kWaitStep);
  }
  return true;
}

// Addresses of this process, so that test programs may run at the same time.
std::string Ip(int number) {
  return absl::StrCat("127.", 64 + getpid() % 128, ".", getpid() / 128 % 250,
                      ".", number);
}

// A control instance that answers each request with a prepared response.
class FakeControl {
 public:
  // Port 0 takes any free port. Dials the peers.
  explicit FakeControl(int number,
                       uint16_t port,
                       std::vector<PeerAddress> peers = {}) {
    PeerNetwork::Options options;
    options.cluster_id = "bramleyrail";
    options.self = {ControlInstanceName(Ip(number)), "zone-a", "region-a"};
    options.listen_address = {Ip(number), port};
    options.peers = std::move(peers);
    options.admit_unknown = [](std::string_view) { return SocketAddress{}; };
    network_ = PeerNetwork::Create(std::move(options)).value();
    network_->SetCallHandler(
        PeerChannel::kControl,
        [this](std::string_view, std::span<const std::byte>,
               const PeerAnswer& answer) {
          absl::MutexLock lock(&mutex_);
          ++calls_;
          answer(EncodeRelayed(response_));
        });
    CHECK(network_->Start().has_value());
  }
  ~FakeControl() { network_->Stop(); }

  PeerNetwork& network() { return *network_; }

  void Lead(const std::vector<int>& members) {
    absl::MutexLock lock(&mutex_);
    response_ = {};
    for (int number : members) {
      response_.members.push_back(ControlInstanceName(Ip(number)));
    }
  }
  void NameLeader(int number) {
    absl::MutexLock lock(&mutex_);
    response_ = {.not_leader = true, .leader = ControlInstanceName(Ip(number))};
  }
  int calls() const {
    absl::MutexLock lock(&mutex_);
    return calls_;
  }

 private:
  std::unique_ptr<PeerNetwork> network_;
  mutable absl::Mutex mutex_;
  RelayedResponse response_ ABSL_GUARDED_BY(mutex_);
  int calls_ ABSL_GUARDED_BY(mutex_) = 0;
};

constexpr int kGateway = 1;
constexpr int kFirst = 2;
constexpr int kSecond = 3;

TEST_GROUP(GatewayInstance) {
  RoleSettings Settings(const std::vector<int>& seeds) const {
    RoleSettings settings;
    settings.role = InstanceRole::kGateway;
    settings.instance = "gateway";
    settings.address = Ip(kGateway);
    settings.failure_domain = "zone-a";
    settings.region = "region-a";
    settings.caller_address = Ip(kGateway) + ":0";
    settings.ready_address = Ip(kGateway) + ":0";
    settings.peer_port = port_;
    settings.stop_deadline = Milliseconds(1);
    for (int number : seeds) {
      settings.control_instances.push_back(Ip(number));
    }
    return settings;
  }

  void StartGateway(const std::vector<int>& seeds) {
    PlatformHooks hooks;
    hooks.caller_patience = [](const HttpRequest&) {
      return Milliseconds(1'000);
    };
    hooks.ready_handler = [this](std::function<bool()> is_ready) {
      is_ready_ = std::move(is_ready);
      return HttpHandler();
    };
    auto created = StartGatewayInstance(Settings(seeds), std::move(hooks));
    CHECK(created.has_value());
    gateway_ = std::move(created).value();
  }

  void StartSecond(std::vector<PeerAddress> peers = {}) {
    second_ = std::make_unique<FakeControl>(kSecond, port_, std::move(peers));
  }

  // Waits for some more queries of the gateway to the first control instance.
  bool WaitForQueriesOfFirst() {
    constexpr int kQueries = 3;
    const int calls = first_->calls();
    return WaitUntil([&] { return first_->calls() >= calls + kQueries; });
  }

  std::unique_ptr<FakeControl> first_ =
      std::make_unique<FakeControl>(kFirst, 0);
  std::unique_ptr<FakeControl> second_;
  const uint16_t port_ = first_->network().ListenPort();
  std::function<bool()> is_ready_;
  std::unique_ptr<RoleInstance> gateway_;
};

// Guards against a gateway that is cut off once all machines of its settings
// were replaced: it answered 503 until it was restarted or got SIGHUP.
TEST(GatewayInstance, FollowsTheMembersThatTheLeaderLists) {
  StartSecond();
  second_->NameLeader(kFirst);
  first_->Lead({kFirst, kSecond});
  StartGateway({kFirst});
  CHECK(WaitUntil([&] { return second_->calls() > 0; }));
  second_->Lead({kSecond});
  first_.reset();
  const int calls = second_->calls();
  CHECK(WaitUntil([&] { return second_->calls() > calls + 1; }));
  CHECK(is_ready_());
}

// Guards against a gateway that knows a follower only and hears nothing of the
// members, since only the leader lists them.
TEST(GatewayInstance, AsksTheLeaderThatAFollowerNames) {
  StartSecond();
  second_->Lead({kFirst, kSecond});
  first_->NameLeader(kSecond);
  StartGateway({kFirst});
  CHECK(WaitUntil([&] { return second_->calls() > 0; }));
}

// Guards against a gateway that calls and dials a machine for ever that was
// removed from the core.
TEST(GatewayInstance, ForgetsAMemberThatIsNoLongerListed) {
  StartSecond();
  second_->NameLeader(kFirst);
  first_->Lead({kFirst, kSecond});
  StartGateway({kFirst});
  CHECK(WaitUntil([&] { return second_->calls() > 0; }));
  first_->Lead({kFirst});
  CHECK(WaitUntil([&] {
    return second_->network().Statuses().at(0).connections_lost == 1;
  }));
  const int calls = second_->calls();
  CHECK(WaitForQueriesOfFirst());
  LONGS_EQUAL(calls, second_->calls());
  CHECK(is_ready_());
}

// Guards against a gateway that takes a machine for a member of the core
// because the machine says so.
TEST(GatewayInstance, DoesNotAdoptAnInstanceThatDialsIt) {
  first_->Lead({kFirst});
  StartGateway({kFirst});
  StartSecond({{GatewayInstanceName(Ip(kGateway)), {Ip(kGateway), port_}}});
  CHECK(WaitForQueriesOfFirst());
  CHECK(!second_->network().Statuses().at(0).connected);
  LONGS_EQUAL(0, second_->calls());
}

// Guards against a gateway that was suspended while all machines that it knew
// were replaced: only the settings file names the new ones then.
TEST(GatewayInstance, NeedsTheSettingsAgainWhileNoLeaderAnswers) {
  StartSecond();
  second_->Lead({kSecond});
  first_.reset();
  StartGateway({kFirst});
  CHECK(!gateway_->NeedsSettings());
  CHECK(WaitUntil([&] { return gateway_->NeedsSettings(); }));
  gateway_->Reload(Settings({kSecond}));
  CHECK(!gateway_->NeedsSettings());
  CHECK(WaitUntil([&] { return second_->calls() > 3; }));
  CHECK(is_ready_());
  CHECK(!gateway_->NeedsSettings());
}

}  // namespace
}  // namespace bramleyrail
