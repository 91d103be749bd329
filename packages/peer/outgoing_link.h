#ifndef PACKAGES_PEER_OUTGOING_LINK_H_
#define PACKAGES_PEER_OUTGOING_LINK_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "absl/random/random.h"
#include "packages/base/base.h"
#include "packages/peer/connection.h"
#include "packages/peer/event_loop.h"
#include "packages/peer/outbox.h"
#include "packages/peer/peer_handlers.h"
#include "packages/peer/peer_network.h"
#include "packages/peer/peer_record.h"

namespace bramleyrail {

// The own connection to one peer: dials, redials, and carries the messages and
// calls of this instance. Send() and Call() may be called by all threads, the
// rest belongs to the epoll thread.
class OutgoingLink {
 public:
  OutgoingLink(EventLoop* event_loop,
               const PeerNetwork::Options* options,
               const PeerHandlers* handlers,
               std::shared_ptr<PeerRecord> peer);

  bool Send(PeerChannel channel, std::span<const std::byte> payload);
  // Takes the callback only when the call is queued.
  Outbox::PushOutcome Call(PeerChannel channel,
                           std::span<const std::byte> payload,
                           MonotonicTime deadline,
                           PeerCallCallback* callback);

  // Handles the events of the socket and everything that is due.
  void Advance(MonotonicTime now);
  MonotonicTime NextDeadline() const;
  // Writes what the socket takes at once, closes, and fails the calls.
  void Shutdown(const Error& reason, MonotonicTime now);

  const PeerRecord& peer() const { return *peer_; }

 private:
  enum class State { kWaiting, kConnecting, kGreeting, kReady };

  void Dial(MonotonicTime now);
  Result<void> AdvanceConnection(MonotonicTime now);
  Result<void> HandleEnvelope(const peer_wire::Envelope& envelope,
                              MonotonicTime now);
  Result<void> HandleHello(const peer_wire::Envelope& envelope,
                           MonotonicTime now);
  void HandleAnswer(const peer_wire::Envelope& envelope);
  void Close(const Error& error, MonotonicTime now);
  void LogClose(const Error& error) const;
  void ScheduleRedial(MonotonicTime now);
  void ReportFull(PeerChannel channel);

  EventLoop* const event_loop_;
  const PeerNetwork::Options* const options_;
  const PeerHandlers* const handlers_;
  const std::shared_ptr<PeerRecord> peer_;
  const std::shared_ptr<Outbox> outbox_;
  std::atomic<uint64_t> last_call_number_ = 0;
  std::atomic<bool> reported_full_ = false;

  State state_ = State::kWaiting;
  std::unique_ptr<Connection> connection_;
  MonotonicTime next_dial_;  // The epoch at first: dial at once.
  MonotonicTime phase_started_;
  int failed_dials_ = 0;
  absl::BitGen random_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_OUTGOING_LINK_H_
