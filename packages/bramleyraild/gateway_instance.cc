#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

#include "packages/bramleyraild/bramleyraild_events.h"
#include "packages/bramleyraild/control_network.h"
#include "packages/bramleyraild/descriptor_budget.h"
#include "packages/bramleyraild/member_poll.h"
#include "packages/bramleyraild/memory_budget.h"
#include "packages/bramleyraild/role_instance.h"
#include "packages/bramleyraild/role_metrics.h"

namespace bramleyrail {

namespace {

// A request without a leader is given up after this; an election takes up to
// 2 s.
constexpr Milliseconds kForwardLimit{2'000};
// Kept back from the caller's patience for the way of the answer.
constexpr Milliseconds kAnswerReserve{300};
// After a stop the platform needs two missed probes, one second apart, to send
// new connections elsewhere.
constexpr Milliseconds kLeaveRotation{2'500};
constexpr Milliseconds kStopPoll{20};
// Without an answer of a leader for this long, all known control instances may
// have been replaced, and the settings file may list the new ones. An election
// takes up to 2 s.
constexpr Milliseconds kLeaderSilence{3'000};
// Left of the stop deadline for ending the process.
constexpr Milliseconds kStopReserve{700};

class GatewayInstance final : public RoleInstance {
 public:
  GatewayInstance(RoleSettings settings,
                  DescriptorBudget descriptors,
                  MemoryBudget memory,
                  PlatformHooks hooks)
      : settings_(std::move(settings)),
        descriptors_(descriptors),
        memory_(memory),
        hooks_(std::move(hooks)),
        connection_memory_(
            std::make_shared<ConnectionMemory>(memory.connections)),
        loop_(IoLoop::Create()) {}

  ~GatewayInstance() override {
    if (network_ != nullptr) {
      network_->network().Stop();
    }
    loop_->Stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  Result<void> Start() {
    TRY(network,
        ControlNetwork::Create(settings_, descriptors_.peers, memory_.peers));
    network_ = std::move(network);
    relay_ = std::make_unique<LeaderRelay>(
        loop_.get(), network_->RelayOptions(RelayOrigin::kCaller));
    poll_ = std::make_unique<MemberPoll>(loop_.get(), PollOptions());
    TRY(callers, AsyncHttpServer::Create(
                     loop_.get(),
                     {.address = settings_.caller_address,
                      .maximum_connections = descriptors_.server,
                      .memory = connection_memory_},
                     [this](HttpRequest request, HttpResponder respond) {
                       Forward(std::move(request), std::move(respond));
                     }));
    callers_ = std::move(callers);
    TRY(ready, AsyncHttpServer::Create(
                   loop_.get(),
                   {.address = settings_.ready_address,
                    .maximum_connections = kReadyConnections,
                    .memory = connection_memory_},
                   hooks_.ready_handler([this] { return IsReady(); })));
    ready_ = std::move(ready);
    if (settings_.metrics_port != 0) {
      TRY(metrics,
          StartMetricsServer(loop_.get(), settings_, connection_memory_,
                             [this] { return Metrics(); }));
      metrics_ = std::move(metrics);
    }
    TRY(network_->network().Start());
    settings_needed_at_ = std::chrono::steady_clock::now() + kLeaderSilence;
    loop_->Post([this] { poll_->Start(); });
    thread_ = std::thread([this] { loop_->Run(); });
    LogEvent(kInstanceReady, {{"instance", settings_.instance}});
    return Success();
  }

  void Reload(const RoleSettings& settings) override {
    network_->SetSeeds(settings.control_instances);
    settings_needed_at_ = std::chrono::steady_clock::now() + kLeaderSilence;
  }

  bool NeedsSettings() const override {
    return std::chrono::steady_clock::now() >= settings_needed_at_.load();
  }

  bool Stop() override {
    stopping_ = true;
    loop_->Post([this] { callers_->BeginDrain(); });
    const MonotonicTime start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(
        std::min(kLeaveRotation, settings_.stop_deadline / 2));
    while (OpenRequests() > 0) {
      if (std::chrono::steady_clock::now() - start >
          settings_.stop_deadline - kStopReserve) {
        return false;
      }
      std::this_thread::sleep_for(kStopPoll);
    }
    return true;
  }

 private:
  MemberPoll::Options PollOptions() {
    LeaderRelay::Options relay =
        network_->RelayOptions(RelayOrigin::kOperatorOrWorker);
    MemberPoll::Options options;
    options.instances = std::move(relay.instances);
    options.call = std::move(relay.call);
    options.on_leader_answer = [this](const std::vector<std::string>& members) {
      settings_needed_at_ = std::chrono::steady_clock::now() + kLeaderSilence;
      if (!members.empty()) {
        network_->SetListed(members);
      }
    };
    options.on_leader_named = [this](const std::string& leader) {
      network_->SetNamedLeader(leader);
    };
    return options;
  }

  bool IsReady() const { return !stopping_ && network_->IsConnected(); }

  size_t OpenRequests() const { return open_; }

  void Forward(HttpRequest request, HttpResponder respond) {
    const Milliseconds patience = hooks_.caller_patience(request);
    const MonotonicTime start = std::chrono::steady_clock::now();
    ++open_;
    relay_->Forward(
        std::move(request),
        std::clamp(patience - kAnswerReserve, Milliseconds(1), kForwardLimit),
        [this, start, respond = std::move(respond)](HttpResponse response) {
          --open_;
          latency_.Record(std::chrono::duration<double, std::milli>(
                              std::chrono::steady_clock::now() - start)
                              .count());
          respond(std::move(response));
        });
  }

  std::vector<MetricSample> Metrics() const {
    const LeaderRelay::Counters& counters = relay_->counters();
    std::vector<MetricSample> samples = {
        {"gateway_requests_answered_total",
         {},
         static_cast<double>(counters.responses)},
        {"gateway_attempts_total", {}, static_cast<double>(counters.attempts)},
        {"gateway_requests_not_executed_total",
         {},
         static_cast<double>(counters.not_executed)},
        {"gateway_requests_outcome_unknown_total",
         {},
         static_cast<double>(counters.outcome_unknown)},
        {"gateway_open_requests", {}, static_cast<double>(open_.load())},
        {"ready", {}, IsReady() ? 1.0 : 0.0}};
    latency_.AppendSamples("gateway_latency_ms", &samples);
    AppendMemory(*connection_memory_, memory_, network_->network(), &samples);
    return samples;
  }

  const RoleSettings settings_;
  const DescriptorBudget descriptors_;
  const MemoryBudget memory_;
  const PlatformHooks hooks_;
  const std::shared_ptr<ConnectionMemory> connection_memory_;
  const std::unique_ptr<IoLoop> loop_;
  std::unique_ptr<ControlNetwork> network_;
  std::unique_ptr<LeaderRelay> relay_;
  std::unique_ptr<MemberPoll> poll_;
  std::unique_ptr<AsyncHttpServer> callers_;
  std::unique_ptr<AsyncHttpServer> ready_;
  std::unique_ptr<AsyncHttpServer> metrics_;
  LatencyHistogram latency_;
  std::atomic<size_t> open_ = 0;
  std::atomic<bool> stopping_ = false;
  std::atomic<MonotonicTime> settings_needed_at_;
  std::thread thread_;
};

}  // namespace

Result<std::unique_ptr<RoleInstance>> StartGatewayInstance(
    RoleSettings settings,
    PlatformHooks hooks) {
  TRY(descriptors, DescriptorBudget::CreateForGateway(
                       UsableDescriptors(settings.maximum_descriptors)));
  TRY(memory, MemoryBudget::Create(settings.role,
                                   UsableMemoryMb(settings.maximum_memory_mb)));
  auto instance = std::make_unique<GatewayInstance>(
      std::move(settings), descriptors, memory, std::move(hooks));
  TRY(instance->Start());
  return std::unique_ptr<RoleInstance>(std::move(instance));
}

}  // namespace bramleyrail
