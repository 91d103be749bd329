#include "packages/peer/incoming_link.h"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/peer/answer_slot.h"
#include "packages/peer/hello.h"
#include "packages/peer/peer_events.h"
#include "packages/peer/peer_limits.h"

namespace bramleyrail {

IncomingLink::IncomingLink(EventLoop* event_loop,
                           FileDescriptor socket,
                           const PeerNetwork::Options* options,
                           const PeerHandlers* handlers,
                           PeerLookup find_peer,
                           MonotonicTime now)
    : options_(options),
      handlers_(handlers),
      find_peer_(std::move(find_peer)),
      outbox_(std::make_shared<Outbox>([event_loop] { event_loop->Wake(); })),
      accepted_at_(now),
      connection_(std::make_unique<Connection>(event_loop,
                                               std::move(socket),
                                               outbox_,
                                               now)) {}

void IncomingLink::Advance(MonotonicTime now) {
  Result<void> outcome =
      connection_->Advance(now, [this, now](const peer_wire::Envelope& e) {
        return HandleEnvelope(e, now);
      });
  if (outcome.has_error()) {
    Close(outcome.error());
    return;
  }
  if (peer_ == nullptr && now - accepted_at_ >= kPeerSilenceLimit) {
    Close(MakeError(
        ErrorKind::kUnavailable,
        absl::StrCat("no hello within ", kPeerSilenceLimit.count(), " ms"),
        "check what connects to the port for peers"));
  }
}

MonotonicTime IncomingLink::NextDeadline() const {
  const MonotonicTime deadline = connection_->NextDeadline();
  return peer_ == nullptr ? std::min(deadline, accepted_at_ + kPeerSilenceLimit)
                          : deadline;
}

void IncomingLink::Shutdown(const Error& reason) {
  // Best effort: the connection is closed in any case.
  (void)connection_->Flush();
  Close(reason);
}

void IncomingLink::Replace() {
  Close(MakeError(ErrorKind::kUnavailable,
                  "the peer has dialled a newer connection", ""));
}

void IncomingLink::Reclaim() {
  Close(MakeError(ErrorKind::kResourceExhausted,
                  "the accepted connections keep too much",
                  "check which peer neither ends its frames nor reads its "
                  "answers"));
}

Result<void> IncomingLink::HandleEnvelope(const peer_wire::Envelope& envelope,
                                          MonotonicTime now) {
  if (peer_ == nullptr) {
    return HandleHello(envelope, now);
  }
  switch (envelope.flag()) {
    case peer_wire::Flag::kHeartbeat:
      return Success();
    case peer_wire::Flag::kOneWay:
      HandleMessage(envelope);
      return Success();
    case peer_wire::Flag::kRequest:
      HandleCall(envelope);
      return Success();
    case peer_wire::Flag::kHello:
    case peer_wire::Flag::kAnswer:
    case peer_wire::Flag::kError:
      break;
  }
  return MakeError(ErrorKind::kDataLoss,
                   "the peer sent an envelope that does not belong on this "
                   "side of a connection",
                   "check that both ends run the same version of bramleyrail");
}

Result<void> IncomingLink::HandleHello(const peer_wire::Envelope& envelope,
                                       MonotonicTime now) {
  const Result<void> check = CheckHello(envelope, options_->cluster_id);
  // The hello is answered even when it is refused, so that the other end can
  // log the reason as well.
  outbox_->PushControl(EncodeHello(options_->cluster_id, options_->self));
  if (check.has_error()) {
    TRY(connection_->Flush());
    return check;
  }
  const std::string name = envelope.hello()->instance()->str();
  PeerRecord* peer = find_peer_(name);
  if (peer == nullptr) {
    return MakeError(
        ErrorKind::kFailedPrecondition,
        absl::StrCat("the instance '", name, "' is not among the peers"),
        "add it to the peers in the settings of this instance");
  }
  RecordHello(*envelope.hello(), peer);
  connection_->AcceptHello(peer, now);
  peer_ = peer;
  outbox_->Open();
  LogEvent(kPeerAccepted, {{"peer", peer_->name()}});
  return Success();
}

void IncomingLink::HandleMessage(const peer_wire::Envelope& envelope) {
  const PeerMessageHandler& handler = handlers_->message[envelope.channel()];
  if (handler) {
    handler(peer_->name(), PayloadOf(envelope));
  }
}

void IncomingLink::HandleCall(const peer_wire::Envelope& envelope) {
  const auto channel = static_cast<PeerChannel>(envelope.channel());
  const auto slot =
      std::make_shared<AnswerSlot>(outbox_, channel, envelope.call_number());
  const PeerCallHandler& handler = handlers_->call[envelope.channel()];
  if (!handler) {
    slot->Answer(
        MakeError(ErrorKind::kUnavailable,
                  "the instance answers no calls on this channel",
                  "check that both ends run the same version of bramleyrail"));
    return;
  }
  handler(peer_->name(), PayloadOf(envelope),
          [slot](const Result<std::vector<std::byte>>& answer) {
            slot->Answer(answer);
          });
}

void IncomingLink::Close(const Error& error) {
  const std::string_view name =
      peer_ == nullptr ? std::string_view() : peer_->name();
  if (error.kind == ErrorKind::kFailedPrecondition) {
    LogEvent(kPeerHelloRefused, {{"peer", name}, {"error", error.ToString()}});
  } else if (error.kind == ErrorKind::kDataLoss) {
    LogEvent(kPeerFrameRefused, {{"peer", name}, {"error", error.ToString()}});
  } else {
    LogEvent(kPeerAcceptedLost, {{"peer", name}, {"error", error.ToString()}});
  }
  if (peer_ != nullptr) {
    peer_->CountLostConnection();
  }
  connection_.reset();
  outbox_->Close();
}

}  // namespace bramleyrail
