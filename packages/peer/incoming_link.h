#ifndef PACKAGES_PEER_INCOMING_LINK_H_
#define PACKAGES_PEER_INCOMING_LINK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "packages/base/base.h"
#include "packages/peer/connection.h"
#include "packages/peer/event_loop.h"
#include "packages/peer/outbox.h"
#include "packages/peer/peer_handlers.h"
#include "packages/peer/peer_network.h"
#include "packages/peer/peer_record.h"

namespace bramleyrail {

// A connection that a peer dialled: hands its messages and calls to the
// handlers and carries the answers. Belongs to the epoll thread.
class IncomingLink {
 public:
  // Returns the record of the peer of that name, or nullptr.
  using PeerLookup = std::function<PeerRecord*(std::string_view name)>;

  IncomingLink(EventLoop* event_loop,
               FileDescriptor socket,
               const PeerNetwork::Options* options,
               const PeerHandlers* handlers,
               PeerLookup find_peer,
               MonotonicTime now);

  // Handles the events of the socket and everything that is due.
  void Advance(MonotonicTime now);
  MonotonicTime NextDeadline() const;
  // Writes what the socket takes at once and closes.
  void Shutdown(const Error& reason);
  // Closes because the peer has dialled a newer connection.
  void Replace();
  // Closes to make room for other connections.
  void Reclaim();

  bool is_closed() const { return connection_ == nullptr; }
  // What the connection makes the process keep.
  size_t kept_bytes() const {
    return is_closed() ? 0 : connection_->kept_bytes();
  }
  // When the peer last sent a whole frame. Not for a closed link.
  MonotonicTime last_frame() const { return connection_->last_frame(); }
  // Null until the hello was accepted.
  const PeerRecord* peer() const { return peer_; }

 private:
  Result<void> HandleEnvelope(const peer_wire::Envelope& envelope,
                              MonotonicTime now);
  Result<void> HandleHello(const peer_wire::Envelope& envelope,
                           MonotonicTime now);
  void HandleMessage(const peer_wire::Envelope& envelope);
  void HandleCall(const peer_wire::Envelope& envelope);
  void Close(const Error& error);

  const PeerNetwork::Options* const options_;
  const PeerHandlers* const handlers_;
  const PeerLookup find_peer_;
  const std::shared_ptr<Outbox> outbox_;
  const MonotonicTime accepted_at_;
  std::unique_ptr<Connection> connection_;
  PeerRecord* peer_ = nullptr;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_INCOMING_LINK_H_
