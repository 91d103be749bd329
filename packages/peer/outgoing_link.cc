#include "packages/peer/outgoing_link.h"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/random/uniform_int_distribution.h"
#include "absl/strings/str_cat.h"
#include "packages/peer/hello.h"
#include "packages/peer/peer_events.h"
#include "packages/peer/peer_limits.h"
#include "packages/peer/socket.h"

namespace bramleyrail {

namespace {

// A peer that stays away is logged about once a minute.
constexpr int kFailedDialsForOneLine = 30;

void Fail(std::vector<Outbox::FailedCall> calls, const Error& reason) {
  for (Outbox::FailedCall& call : calls) {
    if (call.sent) {
      call.callback(
          MakeError(ErrorKind::kOutcomeUnknown, reason.message,
                    "look up the state of the request before repeating it"));
    } else {
      call.callback(
          MakeError(ErrorKind::kUnavailable, reason.message, "try again"));
    }
  }
}

Error UnexpectedEnvelope() {
  return MakeError(ErrorKind::kDataLoss,
                   "the peer sent an envelope that does not belong on this "
                   "side of a connection",
                   "check that both ends run the same version of bramleyrail");
}

}  // namespace

OutgoingLink::OutgoingLink(EventLoop* event_loop,
                           const PeerNetwork::Options* options,
                           const PeerHandlers* handlers,
                           std::shared_ptr<PeerRecord> peer)
    : event_loop_(event_loop),
      options_(options),
      handlers_(handlers),
      peer_(std::move(peer)),
      outbox_(std::make_shared<Outbox>([event_loop] { event_loop->Wake(); })) {}

bool OutgoingLink::Send(PeerChannel channel,
                        std::span<const std::byte> payload) {
  // Replication messages are frequent even while a peer is away; this spares
  // their encoding.
  if (!outbox_->open()) {
    return false;
  }
  const Outbox::PushOutcome outcome = outbox_->Push(
      EncodePayload(peer_wire::Flag::kOneWay, channel, 0, payload));
  if (outcome == Outbox::PushOutcome::kFull) {
    peer_->CountDroppedMessage();
    ReportFull(channel);
  }
  return outcome == Outbox::PushOutcome::kQueued;
}

Outbox::PushOutcome OutgoingLink::Call(PeerChannel channel,
                                       std::span<const std::byte> payload,
                                       MonotonicTime deadline,
                                       PeerCallCallback* callback) {
  if (!outbox_->open()) {
    return Outbox::PushOutcome::kClosed;
  }
  const uint64_t number = ++last_call_number_;
  const Outbox::PushOutcome outcome = outbox_->PushCall(
      number,
      EncodePayload(peer_wire::Flag::kRequest, channel, number, payload),
      deadline, callback);
  if (outcome == Outbox::PushOutcome::kFull) {
    ReportFull(channel);
  }
  return outcome;
}

void OutgoingLink::Advance(MonotonicTime now) {
  if (state_ == State::kWaiting) {
    if (now >= next_dial_) {
      Dial(now);
    }
    return;
  }
  // Answers that have arrived are read before their calls are judged late.
  const Result<void> outcome = AdvanceConnection(now);
  if (outcome.has_error()) {
    Close(outcome.error(), now);
    return;
  }
  Fail(outbox_->TakeExpired(now),
       MakeError(ErrorKind::kDeadlineExceeded,
                 absl::StrCat("no answer from '", peer_->name(), "' in time"),
                 ""));
}

MonotonicTime OutgoingLink::NextDeadline() const {
  switch (state_) {
    case State::kWaiting:
      return next_dial_;
    case State::kConnecting:
    case State::kGreeting:
      return phase_started_ + kPeerSilenceLimit;
    case State::kReady:
      break;
  }
  const MonotonicTime connection_deadline = connection_->NextDeadline();
  return std::min(connection_deadline,
                  outbox_->NextDeadline().value_or(connection_deadline));
}

void OutgoingLink::Shutdown(const Error& reason, MonotonicTime now) {
  if (state_ == State::kReady) {
    // Best effort: the connection is closed in any case.
    (void)connection_->Flush();
  }
  Close(reason, now);
}

void OutgoingLink::Dial(MonotonicTime now) {
  Result<FileDescriptor> socket =
      StartDial(peer_->address(), options_->listen_address);
  if (socket.has_error()) {
    Close(socket.error(), now);
    return;
  }
  connection_ = std::make_unique<Connection>(
      event_loop_, std::move(socket).value(), outbox_, now);
  state_ = State::kConnecting;
  phase_started_ = now;
}

Result<void> OutgoingLink::AdvanceConnection(MonotonicTime now) {
  if (state_ == State::kConnecting && connection_->is_writable()) {
    TRY(FinishDial(connection_->socket()));
    outbox_->PushControl(EncodeHello(options_->cluster_id, options_->self));
    state_ = State::kGreeting;
  }
  if (state_ != State::kConnecting) {
    TRY(connection_->Advance(now,
                             [this, now](const peer_wire::Envelope& envelope) {
                               return HandleEnvelope(envelope, now);
                             }));
  }
  if (state_ != State::kReady && now - phase_started_ >= kPeerSilenceLimit) {
    return MakeError(ErrorKind::kUnavailable,
                     absl::StrCat("no connection and hello within ",
                                  kPeerSilenceLimit.count(), " ms"),
                     "check the peer and the network path to it");
  }
  return Success();
}

Result<void> OutgoingLink::HandleEnvelope(const peer_wire::Envelope& envelope,
                                          MonotonicTime now) {
  if (state_ == State::kGreeting) {
    return HandleHello(envelope, now);
  }
  switch (envelope.flag()) {
    case peer_wire::Flag::kHeartbeat:
      return Success();
    case peer_wire::Flag::kAnswer:
    case peer_wire::Flag::kError:
      HandleAnswer(envelope);
      return Success();
    case peer_wire::Flag::kHello:
    case peer_wire::Flag::kOneWay:
    case peer_wire::Flag::kRequest:
      break;
  }
  return UnexpectedEnvelope();
}

Result<void> OutgoingLink::HandleHello(const peer_wire::Envelope& envelope,
                                       MonotonicTime now) {
  TRY(CheckHello(envelope, options_->cluster_id));
  const peer_wire::Hello& hello = *envelope.hello();
  if (hello.instance()->str() != peer_->name()) {
    return MakeError(
        ErrorKind::kFailedPrecondition,
        absl::StrCat("the instance at the address of '", peer_->name(),
                     "' calls itself '", hello.instance()->str(), "'"),
        "correct the addresses of the peers in the settings");
  }
  RecordHello(hello, peer_.get());
  connection_->AcceptHello(peer_.get(), now);
  state_ = State::kReady;
  phase_started_ = now;
  reported_full_ = false;
  LogEvent(kPeerConnected, {{"peer", peer_->name()},
                            {"address", ToString(peer_->address())},
                            {"failed_dials", failed_dials_}});
  outbox_->Open();
  peer_->SetConnected(true);
  if (handlers_->connection) {
    handlers_->connection(peer_->name(), true);
  }
  return Success();
}

void OutgoingLink::HandleAnswer(const peer_wire::Envelope& envelope) {
  std::optional<PeerCallCallback> callback =
      outbox_->TakeAnswered(envelope.call_number());
  if (!callback.has_value()) {
    peer_->CountLateAnswer();
    LogEvent(kPeerLateAnswer, {{"peer", peer_->name()},
                               {"call", envelope.call_number()},
                               {"channel", envelope.channel()}});
    return;
  }
  if (envelope.flag() == peer_wire::Flag::kError) {
    (*callback)(ErrorOf(envelope));
    return;
  }
  const std::span<const std::byte> payload = PayloadOf(envelope);
  (*callback)(std::vector<std::byte>(payload.begin(), payload.end()));
}

void OutgoingLink::Close(const Error& error, MonotonicTime now) {
  const bool was_ready = state_ == State::kReady;
  const bool was_in_use =
      was_ready && now - phase_started_ >= kPeerSilenceLimit;
  failed_dials_ = was_in_use ? 0 : failed_dials_ + 1;
  LogClose(error);
  peer_->SetConnected(false);
  state_ = State::kWaiting;
  connection_.reset();
  ScheduleRedial(now);
  Fail(outbox_->Close(), error);
  if (!was_ready) {
    return;
  }
  peer_->CountLostConnection();
  if (handlers_->connection) {
    handlers_->connection(peer_->name(), false);
  }
}

void OutgoingLink::LogClose(const Error& error) const {
  const std::string address = ToString(peer_->address());
  if (error.kind == ErrorKind::kDataLoss) {
    LogEvent(kPeerFrameRefused, {{"peer", peer_->name()},
                                 {"address", address},
                                 {"error", error.ToString()}});
  }
  if (state_ == State::kReady) {
    LogEvent(kPeerConnectionLost, {{"peer", peer_->name()},
                                   {"address", address},
                                   {"error", error.ToString()}});
    return;
  }
  if (failed_dials_ % kFailedDialsForOneLine != 1) {
    return;
  }
  const bool is_refused = error.kind == ErrorKind::kFailedPrecondition;
  LogEvent(is_refused ? kPeerHelloRefused : kPeerDialFailed,
           {{"peer", peer_->name()},
            {"address", address},
            {"failed_dials", failed_dials_},
            {"error", error.ToString()}});
}

void OutgoingLink::ScheduleRedial(MonotonicTime now) {
  // The exponent is capped far beyond the maximum to keep the shift defined.
  const int exponent = std::min(failed_dials_, 16);
  const Milliseconds delay =
      std::min(kMaximumRedialDelay, kMinimumRedialDelay * (1 << exponent));
  // Jitter keeps instances that lost a peer together from redialling together.
  next_dial_ = now + Milliseconds(absl::Uniform<int64_t>(
                         absl::IntervalClosed, random_, delay.count() / 2,
                         delay.count()));
}

void OutgoingLink::ReportFull(PeerChannel channel) {
  // One line for each connection; the counters tell how many were dropped.
  if (reported_full_.exchange(true)) {
    return;
  }
  LogEvent(kPeerQueueFull,
           {{"peer", peer_->name()}, {"channel", PeerChannelName(channel)}});
}

}  // namespace bramleyrail
