#ifndef PACKAGES_PEER_PEER_NETWORK_H_
#define PACKAGES_PEER_PEER_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "packages/base/base.h"
#include "packages/peer/peer_types.h"

namespace bramleyrail {

class PeerLoop;

// Messages and calls between the instances of a cluster. Each instance sends
// its own messages and calls on the connection that it dialled, and answers on
// the connection that the call came in on. All handlers and callbacks run on
// one thread and must not block.
class PeerNetwork {
 public:
  struct Options {
    std::string cluster_id;
    PeerInfo self;
    // Port 0 takes any free port. Unless the address is a wildcard, it is also
    // the source address of the connections that are dialled.
    SocketAddress listen_address;
    std::vector<PeerAddress> peers;  // Without the instance itself.
    // Accepted connections, including those that have not sent a hello yet.
    size_t maximum_accepted_connections = 256;
    // What all accepted connections keep: unfinished frames, and answers that
    // wait to be written. Beyond it, those that sent no whole frame for longest
    // are closed.
    size_t maximum_kept_bytes = std::numeric_limits<size_t>::max();
    // Decides on an instance that says hello and is not among the peers:
    // nullopt refuses it; an address without a port accepts its calls only; any
    // other address is dialled as that of a peer from then on. Runs on the
    // thread of the network. Not set: all are refused.
    std::function<std::optional<SocketAddress>(std::string_view name)>
        admit_unknown;
  };

  // Checks the options and binds the listening socket. kInvalidArgument for
  // faulty options, kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<PeerNetwork>> Create(Options options);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  // Set all handlers before Start(). One handler for each channel.
  void SetMessageHandler(PeerChannel channel, PeerMessageHandler handler);
  void SetCallHandler(PeerChannel channel, PeerCallHandler handler);
  // Called when the own connection to a peer becomes usable and when it is
  // lost.
  void SetConnectionHandler(PeerConnectionHandler handler);

  Result<void> Start();
  // Fails every call in progress and ends the thread. Not from a handler.
  void Stop();

  // Sends a one-way message. False when the peer is unknown or not connected,
  // when its queue is full, or when the payload exceeds kMaximumPayloadBytes.
  bool Send(std::string_view peer,
            PeerChannel channel,
            std::span<const std::byte> payload);

  // Calls a peer. The callback runs exactly once, and never inside Call():
  // with the answer or the error that the peer answered, with kUnavailable when
  // no byte of the call was sent, or with kOutcomeUnknown. After Stop() it runs
  // on the calling thread, with kUnavailable.
  void Call(std::string_view peer,
            PeerChannel channel,
            std::span<const std::byte> payload,
            Milliseconds timeout,
            PeerCallCallback callback);

  // Dials an instance that is not among the peers yet.
  void AddPeer(PeerAddress peer);
  // Forgets a peer: closes its connections, fails its calls and dials it no
  // more. An instance of that name is treated as unknown afterwards.
  void RemovePeer(std::string_view name);

  std::vector<PeerStatus> Statuses() const;
  uint16_t ListenPort() const;
  // Connections that were closed because of `maximum_kept_bytes`.
  uint64_t ReclaimedConnections() const;

 private:
  explicit PeerNetwork(std::unique_ptr<PeerLoop> loop);

  std::unique_ptr<PeerLoop> loop_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_PEER_NETWORK_H_
