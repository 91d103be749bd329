#ifndef PACKAGES_PEER_FAKES_PEER_PAIR_H_
#define PACKAGES_PEER_FAKES_PEER_PAIR_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "packages/peer/fakes/tcp_relay.h"
#include "packages/peer/peer_network.h"

namespace bramleyrail {

// Two instances, "alpha" and "beta", that reach each other through relays.
class PeerPair {
 public:
  PeerPair() : PeerPair("cluster", "cluster") {}
  PeerPair(std::string alpha_cluster, std::string beta_cluster);

  PeerNetwork& alpha() { return *alpha_; }
  PeerNetwork& beta() { return *beta_; }
  // Carry the connections that alpha and beta dialled.
  TcpRelay& alpha_relay() { return alpha_relay_; }
  TcpRelay& beta_relay() { return beta_relay_; }

  // Starts both and waits until both are connected.
  bool StartAndConnect();

 private:
  TcpRelay alpha_relay_;
  TcpRelay beta_relay_;
  std::unique_ptr<PeerNetwork> alpha_;
  std::unique_ptr<PeerNetwork> beta_;
};

// Waits until the condition holds; false after a generous limit.
bool WaitUntil(const std::function<bool()>& condition);

// The status of the only peer.
PeerStatus StatusOf(const PeerNetwork& network);

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_FAKES_PEER_PAIR_H_
