#include "packages/bramleyraild/control_network.h"

#include <utility>

namespace bramleyrail {

namespace {

// One deployment is one cluster, so the name tells nothing apart.
constexpr std::string_view kClusterId = "bramleyrail";

std::string OwnName(const RoleSettings& settings) {
  return settings.role == InstanceRole::kControl
             ? ControlInstanceName(settings.address)
             : GatewayInstanceName(settings.address);
}

}  // namespace

ControlNetwork::ControlNetwork(const RoleSettings& settings)
    : own_name_(OwnName(settings)),
      port_(static_cast<uint16_t>(settings.peer_port)) {}

Result<std::unique_ptr<ControlNetwork>> ControlNetwork::Create(
    const RoleSettings& settings,
    size_t maximum_accepted_connections) {
  std::unique_ptr<ControlNetwork> network(new ControlNetwork(settings));
  ControlNetwork* self = network.get();
  PeerNetwork::Options options;
  options.cluster_id = kClusterId;
  options.self = {self->own_name_, settings.failure_domain, settings.region};
  options.listen_address = {settings.address, self->port_};
  options.maximum_accepted_connections = maximum_accepted_connections;
  for (const std::string& ip : settings.control_instances) {
    const std::string name = ControlInstanceName(ip);
    absl::MutexLock lock(&self->mutex_);
    if (name != self->own_name_ && self->known_.insert(name).second) {
      options.peers.push_back({name, {ip, self->port_}});
    }
  }
  options.admit_unknown =
      [self](std::string_view name) -> std::optional<SocketAddress> {
    if (const auto ip = ControlInstanceIp(name)) {
      absl::MutexLock lock(&self->mutex_);
      self->known_.insert(std::string(name));
      return SocketAddress{*ip, self->port_};
    }
    if (IsGatewayInstanceName(name)) {
      return SocketAddress{};
    }
    return std::nullopt;
  };
  TRY(created, PeerNetwork::Create(std::move(options)));
  network->network_ = std::move(created);
  return network;
}

std::vector<std::string> ControlNetwork::ControlInstances() const {
  absl::MutexLock lock(&mutex_);
  return {known_.begin(), known_.end()};
}

void ControlNetwork::Learn(std::string_view name) {
  const auto ip = ControlInstanceIp(name);
  if (!ip || name == own_name_) {
    return;
  }
  {
    absl::MutexLock lock(&mutex_);
    if (!known_.insert(std::string(name)).second) {
      return;
    }
  }
  network_->AddPeer({std::string(name), {*ip, port_}});
}

LeaderRelay::Options ControlNetwork::RelayOptions(RelayOrigin from) {
  LeaderRelay::Options options;
  options.from = from;
  options.instances = [this] { return ControlInstances(); };
  options.call = [this](std::string_view peer,
                        std::span<const std::byte> payload,
                        Milliseconds timeout, PeerCallCallback callback) {
    // The leader that another instance named may not be known yet.
    Learn(peer);
    network_->Call(peer, PeerChannel::kControl, payload, timeout,
                   std::move(callback));
  };
  return options;
}

bool ControlNetwork::IsConnected() const {
  for (const PeerStatus& status : network_->Statuses()) {
    if (status.connected && ControlInstanceIp(status.info.name)) {
      return true;
    }
  }
  return false;
}

}  // namespace bramleyrail
