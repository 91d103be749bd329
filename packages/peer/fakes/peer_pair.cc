#include "packages/peer/fakes/peer_pair.h"

#include <thread>
#include <utility>

namespace bramleyrail {

namespace {

constexpr int kWaitSteps = 6000;
constexpr Milliseconds kWaitStep{5};

std::unique_ptr<PeerNetwork> CreateNetwork(std::string cluster,
                                           std::string name,
                                           std::string peer,
                                           uint16_t relay_port) {
  PeerNetwork::Options options;
  options.cluster_id = std::move(cluster);
  options.self = {std::move(name), "south-1", "south"};
  options.listen_address = {"127.0.0.1", 0};
  options.peers = {{std::move(peer), {"127.0.0.1", relay_port}}};
  return PeerNetwork::Create(std::move(options)).value();
}

}  // namespace

PeerPair::PeerPair(std::string alpha_cluster, std::string beta_cluster)
    : alpha_(CreateNetwork(std::move(alpha_cluster),
                           "alpha",
                           "beta",
                           alpha_relay_.port())),
      beta_(CreateNetwork(std::move(beta_cluster),
                          "beta",
                          "alpha",
                          beta_relay_.port())) {
  alpha_relay_.SetTarget(beta_->ListenPort());
  beta_relay_.SetTarget(alpha_->ListenPort());
}

bool PeerPair::StartAndConnect() {
  return alpha_->Start().has_value() && beta_->Start().has_value() &&
         WaitUntil([this] {
           return StatusOf(*alpha_).connected && StatusOf(*beta_).connected;
         });
}

bool WaitUntil(const std::function<bool()>& condition) {
  for (int i = 0; i < kWaitSteps; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kWaitStep);
  }
  return false;
}

PeerStatus StatusOf(const PeerNetwork& network) {
  return network.Statuses().at(0);
}

}  // namespace bramleyrail
