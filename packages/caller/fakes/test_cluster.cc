#include "packages/caller/fakes/test_cluster.h"

#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kWaitTimeout{30'000};
constexpr int kReadTimeoutSeconds = 60;

TestCluster::Response ToResponse(const httplib::Result& result) {
  TestCluster::Response response;
  if (!result) {
    return response;
  }
  response.status = result->status;
  response.body = result->body;
  response.headers = result->headers;
  const Result<Json> json = ParseJson(result->body, JsonComments::kRefuse);
  if (json.has_value()) {
    response.json = json.value();
  }
  return response;
}

}  // namespace

bool WaitUntil(const std::function<bool()>& condition) {
  const MonotonicTime limit = std::chrono::steady_clock::now() + kWaitTimeout;
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
    RequestService::Options options;
    options.instance = absl::StrCat("i", i);
    options.boot_id = absl::StrCat("boot-", i);
    options.failure_domain = "fd1";
    options.region = "south";
    options.state = MakeStateAccess();
    options.peers = MakePeerHooks(i);
    request_services_.push_back(
        RequestService::Create(std::move(options)).value());
  }
  for (const std::unique_ptr<RequestService>& service : request_services_) {
    service->Start().value();
  }
}

TestCluster::~TestCluster() {
  targets_.clear();
  for (const std::unique_ptr<RequestService>& service : request_services_) {
    service->Stop(std::chrono::steady_clock::now());
  }
}

StateAccess TestCluster::MakeStateAccess() {
  StateAccess access;
  access.propose = [this](Command command,
                          const StateAccess::ProposeCallback& callback) {
    if (!quorum_.load()) {
      callback(MakeError(ErrorKind::kUnavailable,
                         "the test cluster has no quorum",
                         "call SetQuorum(true)"));
      return;
    }
    CommandOutcome outcome;
    {
      absl::MutexLock lock(&state_mutex_);
      outcome = state_.Apply(command);
    }
    if (lose_outcomes_.load()) {
      callback(MakeError(ErrorKind::kOutcomeUnknown, "the outcome was lost",
                         "propose the command again"));
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

PeerHooks TestCluster::MakePeerHooks(size_t index) {
  PeerHooks hooks;
  const std::string local = absl::StrCat("i", index);
  for (size_t i = 0; i < count_; ++i) {
    if (i != index) {
      hooks.names.push_back(absl::StrCat("i", i));
    }
  }
  const auto find = [this](std::string_view peer) {
    return request_services_[static_cast<size_t>(peer.back() - '0')].get();
  };
  hooks.send = [this, local, find](std::string_view peer,
                                   std::span<const std::byte> bytes) {
    if (link_.load() == Link::kDown) {
      return false;
    }
    find(peer)->HandlePeerMessage(local, bytes);
    return true;
  };
  hooks.call = [this, local, find](
                   std::string_view peer, std::span<const std::byte> bytes,
                   Milliseconds, const PeerResponseCallback& callback) {
    if (link_.load() == Link::kDown) {
      callback(MakeError(ErrorKind::kUnavailable, "the link is down",
                         "call SetLink(Link::kUp)"));
      return;
    }
    find(peer)->HandlePeerCall(
        local, bytes,
        [this, callback](Result<std::vector<std::byte>> response) {
          Link expected = Link::kLoseNextResponse;
          if (link_.compare_exchange_strong(expected, Link::kDown) ||
              expected == Link::kLoseResponses) {
            response = MakeError(ErrorKind::kOutcomeUnknown,
                                 "the response was lost", "");
          }
          callback(std::move(response));
        });
  };
  return hooks;
}

StandInTarget* TestCluster::AddTarget(StandInTarget::Options options,
                                      const std::vector<size_t>& instances) {
  for (const size_t instance : instances) {
    options.instances.push_back(
        {"127.0.0.1", request_services_[instance]->target_port()});
  }
  const std::string service = options.service;
  targets_.push_back(std::make_unique<StandInTarget>(std::move(options)));
  StandInTarget* target = targets_.back().get();
  target->Start().value();
  const bool announced = WaitUntil([target] { return target->owner() >= 0; });
  BRAMLEYRAIL_ASSERT(announced, "no instance accepted the target in time");
  for (size_t i = 0; i < count_; ++i) {
    WaitForService(i, service);
  }
  return target;
}

void TestCluster::WaitForService(size_t instance, const std::string& service) {
  const bool known = WaitUntil([this, instance, &service] {
    return request_services_[instance]->table().IsServiceKnown(service);
  });
  BRAMLEYRAIL_ASSERT(
      known, "the service did not appear in the instance's routing table");
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

TestCluster::Response TestCluster::Send(size_t instance,
                                        const std::string& service,
                                        const std::string& body,
                                        const httplib::Headers& headers) {
  httplib::Client client("127.0.0.1",
                         request_services_[instance]->caller_port());
  client.set_read_timeout(kReadTimeoutSeconds);
  return ToResponse(client.Post("/v1/services/" + service + "/requests",
                                headers, body, kJsonContentType));
}

TestCluster::Response TestCluster::State(size_t instance,
                                         const std::string& request_id) {
  httplib::Client client("127.0.0.1",
                         request_services_[instance]->caller_port());
  client.set_read_timeout(kReadTimeoutSeconds);
  return ToResponse(client.Get("/v1/requests/" + request_id));
}

}  // namespace bramleyrail
