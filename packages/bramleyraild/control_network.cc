#include "packages/bramleyraild/control_network.h"

#include <utility>

#include "absl/strings/str_join.h"
#include "packages/bramleyraild/bramleyraild_events.h"

namespace bramleyrail {

namespace {

// One deployment is one cluster, so the name tells nothing apart.
constexpr std::string_view kClusterId = "bramleyrail";

std::string OwnName(const RoleSettings& settings) {
  return settings.role == InstanceRole::kControl
             ? ControlInstanceName(settings.address)
             : GatewayInstanceName(settings.address);
}

std::vector<std::string> ControlNames(std::span<const std::string> ips) {
  std::vector<std::string> names;
  names.reserve(ips.size());
  for (const std::string& ip : ips) {
    names.push_back(ControlInstanceName(ip));
  }
  return names;
}

}  // namespace

ControlNetwork::ControlNetwork(const RoleSettings& settings)
    : own_name_(OwnName(settings)),
      port_(static_cast<uint16_t>(settings.peer_port)),
      members_(own_name_) {}

Result<std::unique_ptr<ControlNetwork>> ControlNetwork::Create(
    const RoleSettings& settings,
    size_t maximum_accepted_connections,
    size_t maximum_kept_bytes) {
  std::unique_ptr<ControlNetwork> network(new ControlNetwork(settings));
  ControlNetwork* self = network.get();
  PeerNetwork::Options options;
  options.cluster_id = kClusterId;
  options.self = {self->own_name_, settings.failure_domain, settings.region};
  options.listen_address = {settings.address, self->port_};
  options.maximum_accepted_connections = maximum_accepted_connections;
  options.maximum_kept_bytes = maximum_kept_bytes;
  {
    absl::MutexLock lock(&self->mutex_);
    const ControlMembers::Change change =
        self->members_.SetSeeds(ControlNames(settings.control_instances));
    for (const std::string& name : change.added) {
      options.peers.push_back({name, {*ControlInstanceIp(name), self->port_}});
    }
  }
  if (settings.role == InstanceRole::kControl) {
    options.admit_unknown =
        [self](std::string_view name) -> std::optional<SocketAddress> {
      if (IsGatewayInstanceName(name)) {
        return SocketAddress{};
      }
      absl::MutexLock lock(&self->mutex_);
      self->Apply(self->members_.Add(name), "hello");
      if (!self->members_.names().contains(name)) {
        return std::nullopt;
      }
      return SocketAddress{*ControlInstanceIp(name), self->port_};
    };
  }
  TRY(created, PeerNetwork::Create(std::move(options)));
  network->network_ = std::move(created);
  return network;
}

std::vector<std::string> ControlNetwork::ControlInstances() const {
  absl::MutexLock lock(&mutex_);
  return {members_.names().begin(), members_.names().end()};
}

void ControlNetwork::Learn(std::string_view name) {
  absl::MutexLock lock(&mutex_);
  Apply(members_.Add(name), "replication");
}

void ControlNetwork::SetSeeds(std::span<const std::string> ips) {
  absl::MutexLock lock(&mutex_);
  Apply(members_.SetSeeds(ControlNames(ips)), "settings");
}

void ControlNetwork::SetListed(std::span<const std::string> names) {
  absl::MutexLock lock(&mutex_);
  Apply(members_.SetListed(names), "leader");
}

void ControlNetwork::SetNamedLeader(std::string_view name) {
  absl::MutexLock lock(&mutex_);
  if (!members_.names().contains(name)) {
    Apply(members_.SetNamedLeader(name), "named_leader");
  }
}

void ControlNetwork::Apply(const ControlMembers::Change& change,
                           std::string_view source) {
  if (change.empty()) {
    return;
  }
  LogEvent(kControlInstancesChanged,
           {{"added", absl::StrJoin(change.added, ",")},
            {"removed", absl::StrJoin(change.removed, ",")},
            {"known", members_.names().size()},
            {"source", source}});
  for (const std::string& name : change.added) {
    network_->AddPeer({name, {*ControlInstanceIp(name), port_}});
  }
  for (const std::string& name : change.removed) {
    network_->RemovePeer(name);
  }
}

LeaderRelay::Options ControlNetwork::RelayOptions(RelayOrigin from) {
  LeaderRelay::Options options;
  options.from = from;
  options.instances = [this] { return ControlInstances(); };
  options.call = [this](std::string_view peer,
                        std::span<const std::byte> payload,
                        Milliseconds timeout, PeerCallCallback callback) {
    // The leader that another instance named may not be known yet.
    SetNamedLeader(peer);
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
