#include "packages/caller/fakes/test_cluster.h"

#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kLimit{30'000};
constexpr int kReadTimeoutSeconds = 60;

TestCluster::Answer ToAnswer(const httplib::Result& result) {
  TestCluster::Answer answer;
  if (!result) {
    return answer;
  }
  answer.status = result->status;
  answer.body = result->body;
  answer.headers = result->headers;
  const Result<Json> json = ParseJson(result->body, JsonComments::kRefuse);
  if (json.has_value()) {
    answer.json = json.value();
  }
  return answer;
}

}  // namespace

bool WaitUntil(const std::function<bool()>& condition) {
  const MonotonicTime limit = std::chrono::steady_clock::now() + kLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= limit) {
      return false;
    }
    std::this_thread::sleep_for(Milliseconds(2));
  }
  return true;
}

TestCluster::TestCluster(size_t instances) : count_(instances) {
  for (size_t i = 0; i < count_; ++i) {
    RequestPlane::Options options;
    options.instance = absl::StrCat("i", i);
    options.boot_id = absl::StrCat("boot-", i);
    options.failure_domain = "fd1";
    options.region = "south";
    options.state = AccessState();
    options.peers = HooksOf(i);
    planes_.push_back(RequestPlane::Create(std::move(options)).value());
  }
  for (const std::unique_ptr<RequestPlane>& plane : planes_) {
    plane->Start().value();
  }
}

TestCluster::~TestCluster() {
  targets_.clear();
  for (const std::unique_ptr<RequestPlane>& plane : planes_) {
    plane->Stop(std::chrono::steady_clock::now());
  }
}

StateAccess TestCluster::AccessState() {
  StateAccess access;
  access.propose = [this](Command command,
                          const StateAccess::ProposeCallback& callback) {
    if (!quorum_.load()) {
      callback(MakeError(ErrorKind::kUnavailable, "no quorum", "wait"));
      return;
    }
    CommandOutcome outcome;
    {
      absl::MutexLock lock(&state_mutex_);
      outcome = state_.Apply(command);
    }
    if (lose_outcomes_.load()) {
      callback(MakeError(ErrorKind::kOutcomeUnknown, "answer lost", "resend"));
      return;
    }
    callback(std::move(outcome));
  };
  access.read =
      [this](const std::function<void(const ClusterState&)>& function) {
        absl::ReaderMutexLock lock(&state_mutex_);
        function(state_);
      };
  return access;
}

PeerHooks TestCluster::HooksOf(size_t index) {
  PeerHooks hooks;
  const std::string own = absl::StrCat("i", index);
  for (size_t i = 0; i < count_; ++i) {
    if (i != index) {
      hooks.peers.push_back(absl::StrCat("i", i));
    }
  }
  const auto find = [this](std::string_view peer) {
    return planes_[static_cast<size_t>(peer.back() - '0')].get();
  };
  hooks.send = [this, own, find](std::string_view peer,
                                 std::span<const std::byte> bytes) {
    if (link_.load() == Link::kDown) {
      return false;
    }
    find(peer)->HandlePeerMessage(own, bytes);
    return true;
  };
  hooks.call = [this, own, find](std::string_view peer,
                                 std::span<const std::byte> bytes, Milliseconds,
                                 const PeerAnswerCallback& callback) {
    if (link_.load() == Link::kDown) {
      callback(MakeError(ErrorKind::kUnavailable, "not connected", "wait"));
      return;
    }
    find(peer)->HandlePeerCall(
        own, bytes, [this, callback](Result<std::vector<std::byte>> answer) {
          Link expected = Link::kLoseOneAnswer;
          if (link_.compare_exchange_strong(expected, Link::kDown) ||
              expected == Link::kLoseAnswers) {
            answer = MakeError(ErrorKind::kOutcomeUnknown, "answer lost", "");
          }
          callback(std::move(answer));
        });
  };
  return hooks;
}

StandInTarget* TestCluster::AddTarget(StandInTarget::Options options,
                                      const std::vector<size_t>& instances) {
  for (const size_t instance : instances) {
    options.instances.push_back(
        {"127.0.0.1", planes_[instance]->target_port()});
  }
  const std::string service = options.service;
  targets_.push_back(std::make_unique<StandInTarget>(std::move(options)));
  StandInTarget* target = targets_.back().get();
  target->Start().value();
  const bool announced = WaitUntil([target] { return target->owner() >= 0; });
  BRAMLEYRAIL_ASSERT(announced, "the target was not accepted");
  for (size_t i = 0; i < count_; ++i) {
    WaitForService(i, service);
  }
  return target;
}

void TestCluster::WaitForService(size_t instance, const std::string& service) {
  const bool known = WaitUntil([this, instance, &service] {
    return planes_[instance]->table().IsServiceKnown(service);
  });
  BRAMLEYRAIL_ASSERT(known, "the instance does not see the service");
}

void TestCluster::Apply(CommandBody body) {
  absl::MutexLock lock(&state_mutex_);
  state_.Apply(Command{UnixMilliseconds(), std::move(body)});
}

std::optional<Claim> TestCluster::FindClaim(const std::string& id) {
  absl::MutexLock lock(&state_mutex_);
  const Claim* claim = state_.FindClaim(id);
  return claim == nullptr ? std::nullopt : std::optional<Claim>(*claim);
}

TestCluster::Answer TestCluster::Send(size_t instance,
                                      const std::string& service,
                                      const std::string& body,
                                      const httplib::Headers& headers) {
  httplib::Client client("127.0.0.1", planes_[instance]->caller_port());
  client.set_read_timeout(kReadTimeoutSeconds);
  return ToAnswer(client.Post("/v1/services/" + service + "/requests", headers,
                              body, kJsonContentType));
}

TestCluster::Answer TestCluster::State(size_t instance,
                                       const std::string& request_id) {
  httplib::Client client("127.0.0.1", planes_[instance]->caller_port());
  client.set_read_timeout(kReadTimeoutSeconds);
  return ToAnswer(client.Get("/v1/requests/" + request_id));
}

}  // namespace bramleyrail
