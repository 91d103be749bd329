#ifndef PACKAGES_PEER_CONNECTION_H_
#define PACKAGES_PEER_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "packages/base/base.h"
#include "packages/peer/envelope.h"
#include "packages/peer/event_loop.h"
#include "packages/peer/frame_reader.h"
#include "packages/peer/outbox.h"
#include "packages/peer/peer_record.h"

namespace bramleyrail {

// One TCP connection: reads envelopes, writes its outbox, sends heartbeats and
// notices silence. Belongs to the epoll thread. Every error means that the
// connection has to be closed, which is done by destroying it.
class Connection {
 public:
  using EnvelopeHandler =
      std::function<Result<void>(const peer_wire::Envelope&)>;

  Connection(EventLoop* event_loop,
             FileDescriptor socket,
             std::shared_ptr<Outbox> outbox,
             MonotonicTime now);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // The hello of the peer was accepted: frames of full size are allowed, and
  // traffic counts for the peer from now on, including what came before.
  void AcceptHello(PeerRecord* peer, MonotonicTime now);

  // Handles the events of the socket and what is due: reads, writes, sends a
  // heartbeat, fails with kUnavailable after kPeerSilenceLimit without input.
  Result<void> Advance(MonotonicTime now, const EnvelopeHandler& handler);
  // Writes what the socket takes at once.
  Result<void> Flush();

  MonotonicTime NextDeadline() const;
  // True once when the socket has reported that it can be written.
  bool is_writable() const;

  // The frame that is being read, and the frames that wait to be written.
  size_t kept_bytes() const;
  // When the peer last sent a whole frame, or was accepted.
  MonotonicTime last_frame() const { return last_frame_; }

  const FileDescriptor& socket() const { return socket_; }

 private:
  Result<void> Receive(MonotonicTime now, const EnvelopeHandler& handler);
  void WatchWritable(bool wanted);
  void CountSent(uint64_t bytes);
  void CountReceived(uint64_t bytes, MonotonicTime now);

  EventLoop* const event_loop_;
  const FileDescriptor socket_;
  const std::shared_ptr<Outbox> outbox_;
  FrameReader reader_;
  uint32_t ready_events_ = 0;
  bool watches_writable_ = true;
  MonotonicTime last_received_;
  MonotonicTime last_frame_;
  MonotonicTime next_heartbeat_;
  PeerRecord* peer_ = nullptr;  // Set once the hello was accepted.
  uint64_t sent_before_hello_ = 0;
  uint64_t received_before_hello_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_CONNECTION_H_
