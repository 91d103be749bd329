#include "packages/bramleyraild/instance.h"

#include <optional>
#include <utility>

#include "packages/bramleyraild/bramleyraild_events.h"
#include "packages/bramleyraild/peer_survey.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kStartupPollInterval{50};
constexpr Milliseconds kProposeTimeout{6'000};
// A watch holds a thread while it is open; press watches stay open for days.
constexpr size_t kCallerWatchThreads = 1'100;
constexpr size_t kOperatorWatchThreads = 128;

RequestService::ListenAddress ToListenAddress(const Endpoint& endpoint) {
  return {endpoint.address, endpoint.port};
}

std::vector<std::string> PeerNames(const Settings& settings) {
  std::vector<std::string> names;
  for (const PeerSettings& peer : settings.peers) {
    names.push_back(peer.name);
  }
  return names;
}

std::optional<MonotonicTime> LastContact(const PeerNetwork& network,
                                         std::string_view peer) {
  for (const PeerStatus& status : network.Statuses()) {
    if (status.info.name == peer) {
      return status.last_contact;
    }
  }
  return std::nullopt;
}

}  // namespace

Instance::Instance(Settings settings)
    : settings_(std::move(settings)), boot_id_(NewUniqueId()) {}

Instance::~Instance() {
  stopping_ = true;
  if (startup_thread_.joinable()) {
    startup_thread_.join();
  }
  // The network calls handlers of the parts below until it has stopped.
  if (network_ != nullptr) {
    network_->Stop();
  }
}

Result<std::unique_ptr<Instance>> Instance::Create(Settings settings) {
  std::unique_ptr<Instance> instance(new Instance(std::move(settings)));
  LogEvent(kInstanceStarting,
           {{"instance", instance->settings_.instance},
            {"failure_domain", instance->settings_.failure_domain},
            {"region", instance->settings_.region},
            {"boot_id", instance->boot_id_},
            {"data_folder", instance->settings_.data_folder}});
  TRY(instance->CreateParts());
  return instance;
}

Result<void> Instance::CreateParts() {
  PeerNetwork::Options options;
  options.cluster_id = settings_.cluster_id;
  options.self = {settings_.instance, settings_.failure_domain,
                  settings_.region};
  options.listen_address = {settings_.listen.peers.address,
                            static_cast<uint16_t>(settings_.listen.peers.port)};
  for (const PeerSettings& peer : settings_.peers) {
    options.peers.push_back(
        {peer.name,
         {peer.endpoint.address, static_cast<uint16_t>(peer.endpoint.port)}});
  }
  TRY(network, PeerNetwork::Create(std::move(options)));
  network_ = std::move(network);
  TRY(CreateReplicatedState());
  TRY(CreateRequestService());
  TRY(CreateEdges());
  BindPeerChannels();
  return Success();
}

Result<void> Instance::CreateReplicatedState() {
  Replica::Options options;
  options.instance_name = settings_.instance;
  if (!settings_.data_folder.empty()) {
    options.data_folder = settings_.data_folder;
  }
  options.initial_voters = settings_.initial_voters;
  options.peers = PeerNames(settings_);
  options.seed = Hash64(boot_id_, 0);
  options.send = [this](std::string_view peer,
                        std::span<const std::byte> bytes) {
    return network_->Send(peer, PeerChannel::kReplication, bytes);
  };
  TRY(state, ReplicatedState::Create(std::move(options)));
  state_ = std::move(state);

  LeaderLoop::Options loop_options;
  loop_options.state = state_->Access();
  loop_options.is_leader = [this] { return state_->replica().IsLeader(); };
  leader_loop_ = LeaderLoop::Create(std::move(loop_options));
  return Success();
}

Result<void> Instance::CreateRequestService() {
  RequestService::Options options;
  options.instance = settings_.instance;
  options.boot_id = boot_id_;
  options.failure_domain = settings_.failure_domain;
  options.region = settings_.region;
  options.callers = ToListenAddress(settings_.listen.callers);
  options.watches = ToListenAddress(settings_.listen.watches);
  options.targets = ToListenAddress(settings_.listen.targets);
  options.watch_threads = kCallerWatchThreads;
  options.state = state_->Access();
  options.seed = Hash64(boot_id_, 1);
  options.peers.names = PeerNames(settings_);
  options.peers.send = [this](std::string_view peer,
                              std::span<const std::byte> payload) {
    return network_->Send(peer, PeerChannel::kRouting, payload);
  };
  options.peers.call =
      [this](std::string_view peer, std::span<const std::byte> payload,
             Milliseconds timeout, PeerResponseCallback callback) {
        network_->Call(peer, PeerChannel::kRouting, payload, timeout,
                       std::move(callback));
      };
  options.peers.last_contact = [this](std::string_view peer) {
    return LastContact(*network_, peer);
  };
  TRY(service, RequestService::Create(std::move(options)));
  request_service_ = std::move(service);
  return Success();
}

Result<void> Instance::CreateEdges() {
  WorkerServer::Options platform;
  platform.listen_address = settings_.listen.platform.address;
  platform.port = settings_.listen.platform.port;
  platform.state = state_->Access();
  platform.deliver_reports = [this](std::vector<WorkerReport> reports) {
    DeliverWorkerReports(std::move(reports));
  };
  TRY(platform_server, WorkerServer::Create(std::move(platform)));
  worker_server_ = std::move(platform_server);

  StatusReporter::Options status;
  status.settings = settings_;
  status.state = state_->Access();
  status.replica_status = [this] { return state_->replica().Status(); };
  status.network = network_.get();
  status_reporter_ = StatusReporter::Create(std::move(status));

  LiveTargetReporter::Options targets;
  targets.settings = settings_;
  targets.sessions = [this] { return request_service_->table().Sessions(); };
  targets.network = network_.get();
  live_target_reporter_ = LiveTargetReporter::Create(std::move(targets));

  OperatorServerOptions operators;
  operators.listen_address = settings_.listen.operators.address;
  operators.port = settings_.listen.operators.port;
  operators.watch_listen_address = settings_.listen.operator_watches.address;
  operators.watch_port = settings_.listen.operator_watches.port;
  operators.maximum_watches = kOperatorWatchThreads;
  operators.state = state_->Access();
  operators.hooks.instance_statuses = [this] {
    return status_reporter_->CollectStatuses();
  };
  operators.hooks.request_state = [this](std::string_view id) {
    return request_service_->RequestStateJson(std::string(id));
  };
  operators.hooks.explain_request = [this](std::string_view id) {
    return request_service_->ExplainJson(std::string(id));
  };
  operators.hooks.live_targets = [this] {
    return live_target_reporter_->CollectTargets();
  };
  TRY(operator_server, OperatorServer::Create(std::move(operators)));
  operator_server_ = std::move(operator_server);

  HealthServer::Hooks health;
  health.reason_not_ready = [this] { return ReasonNotReady(); };
  health.metrics = [this] { return CollectMetrics(); };
  TRY(health_server,
      HealthServer::Create(settings_.listen.health, std::move(health)));
  health_server_ = std::move(health_server);
  return Success();
}

void Instance::BindPeerChannels() {
  network_->SetMessageHandler(
      PeerChannel::kReplication,
      [this](std::string_view peer, std::span<const std::byte> payload) {
        state_->replica().ReceiveMessage(peer, payload);
      });
  network_->SetMessageHandler(
      PeerChannel::kRouting,
      [this](std::string_view peer, std::span<const std::byte> payload) {
        request_service_->HandlePeerMessage(peer, payload);
      });
  network_->SetCallHandler(
      PeerChannel::kRouting,
      [this](std::string_view peer, std::span<const std::byte> payload,
             PeerAnswer answer) {
        request_service_->HandlePeerCall(peer, payload, std::move(answer));
      });
  network_->SetMessageHandler(
      PeerChannel::kPlatform,
      [this](std::string_view, std::span<const std::byte> payload) {
        auto reports = DecodeWorkerReports(payload);
        if (reports) {
          leader_loop_->DeliverReports(std::move(reports).value());
        }
      });
  network_->SetCallHandler(
      PeerChannel::kStatus,
      [this](std::string_view, std::span<const std::byte> payload,
             const PeerAnswer& answer) { AnswerSurvey(payload, answer); });
}

void Instance::AnswerSurvey(std::span<const std::byte> payload,
                            const PeerAnswer& answer) const {
  const bool asks_for_targets =
      payload.size() == 1 &&
      payload[0] ==
          std::byte{static_cast<unsigned char>(SurveyQuestion::kLiveTargets)};
  answer(asks_for_targets ? live_target_reporter_->EncodeLocalTargets()
                          : status_reporter_->EncodeLocalStatus());
}

Result<void> Instance::Start() {
  TRY(network_->Start());
  state_->replica().Start();
  leader_loop_->Start();
  TRY(request_service_->Start());
  worker_server_->Start();
  TRY(operator_server_->Start());
  health_server_->Start();
  startup_thread_ = std::thread([this] { RunStartup(); });
  return Success();
}

void Instance::RunStartup() {
  const StateAccess access = state_->Access();
  while (!stopping_ && !access.IsFresh()) {
    std::this_thread::sleep_for(kStartupPollInterval);
  }
  ResolveLostClaimsOfEarlierRuns();
  if (stopping_) {
    return;
  }
  ready_ = true;
  int64_t revision = 0;
  access.read([&](const ClusterState& state) { revision = state.revision(); });
  LogEvent(kInstanceReady,
           {{"instance", settings_.instance}, {"revision", revision}});
}

void Instance::ResolveLostClaimsOfEarlierRuns() {
  while (!stopping_) {
    Command command;
    command.body = ResolveLostClaims{settings_.instance, boot_id_};
    if (state_->Access().ProposeAndWait(std::move(command), kProposeTimeout)) {
      return;
    }
    std::this_thread::sleep_for(kStartupPollInterval);
  }
}

std::string Instance::ReasonNotReady() const {
  if (stopping_) {
    return "stopping";
  }
  return ready_ ? "" : "waiting for the current replicated state";
}

void Instance::DeliverWorkerReports(std::vector<WorkerReport> reports) {
  const auto leader = state_->replica().Status().leader;
  if (leader && leader->name == settings_.instance) {
    leader_loop_->DeliverReports(std::move(reports));
    return;
  }
  const std::string leader_name = leader ? leader->name : "";
  const bool sent =
      leader && network_->Send(leader_name, PeerChannel::kPlatform,
                               EncodeWorkerReports(reports));
  if (!sent) {
    LogEvent(kWorkerReportDropped,
             {{"leader", leader_name},
              {"reports", static_cast<int64_t>(reports.size())}});
  }
}

bool Instance::Stop() {
  LogEvent(kInstanceStopping,
           {{"instance", settings_.instance},
            {"deadline_ms", settings_.stop_deadline.count()}});
  stopping_ = true;
  startup_thread_.join();
  std::this_thread::sleep_for(settings_.balancer_delay);
  state_->replica().TransferLeadership();
  request_service_->BeginDrain();
  worker_server_->BeginDrain();
  operator_server_->BeginDrain();
  const MonotonicTime deadline =
      std::chrono::steady_clock::now() + settings_.stop_deadline;
  const bool clean = request_service_->WaitForIdle(deadline);
  if (!clean) {
    LogEvent(kStopDeadlinePassed, {{"instance", settings_.instance}});
  }
  request_service_->Stop(deadline);
  operator_server_->Stop();
  worker_server_->Stop();
  health_server_->Stop();
  leader_loop_->Stop();
  network_->Stop();
  state_->replica().Stop();
  LogEvent(kInstanceStopped,
           {{"instance", settings_.instance}, {"clean", clean}});
  return clean;
}

std::vector<MetricSample> Instance::CollectMetrics() const {
  std::vector<MetricSample> samples;
  for (const auto& [name, value] : request_service_->Counters()) {
    samples.push_back({name, {}, static_cast<double>(value)});
  }
  for (const PeerStatus& peer : network_->Statuses()) {
    const std::pair<std::string, std::string> label = {"peer", peer.info.name};
    samples.push_back({"peer_connected", {label}, peer.connected ? 1.0 : 0.0});
    samples.push_back(
        {"peer_sent_bytes", {label}, static_cast<double>(peer.bytes_sent)});
    samples.push_back({"peer_received_bytes",
                       {label},
                       static_cast<double>(peer.bytes_received)});
  }
  const ReplicaStatus status = state_->replica().Status();
  samples.push_back(
      {"replica_commit_index", {}, static_cast<double>(status.commit_index)});
  samples.push_back(
      {"replica_applied_index", {}, static_cast<double>(status.applied_index)});
  samples.push_back(
      {"replica_leads", {}, state_->replica().IsLeader() ? 1.0 : 0.0});
  if (const auto age = state_->replica().StateAge()) {
    samples.push_back({"state_age_ms", {}, static_cast<double>(age->count())});
  }
  return samples;
}

}  // namespace bramleyrail
