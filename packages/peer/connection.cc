#include "packages/peer/connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "packages/peer/peer_limits.h"
#include "packages/peer/socket.h"

namespace bramleyrail {

namespace {

constexpr size_t kReadBytes = 65'536;
constexpr size_t kBuffersAtOnce = 64;
// Limits of one turn, so that one busy connection does not delay the others.
constexpr int kReadsInOneTurn = 16;
constexpr int kWritesInOneTurn = 16;

std::span<std::byte> ReadBuffer() {
  thread_local std::vector<std::byte> buffer(kReadBytes);
  return buffer;
}

}  // namespace

Connection::Connection(EventLoop* event_loop,
                       FileDescriptor socket,
                       std::shared_ptr<Outbox> outbox,
                       MonotonicTime now)
    : event_loop_(event_loop),
      socket_(std::move(socket)),
      outbox_(std::move(outbox)),
      reader_(kMaximumHelloBytes),
      last_received_(now),
      last_frame_(now),
      next_heartbeat_(now + kPeerHeartbeatInterval) {
  event_loop_->Watch(socket_.number(), EPOLLIN | EPOLLOUT, &ready_events_);
}

Connection::~Connection() {
  event_loop_->Unwatch(socket_.number());
}

void Connection::AcceptHello(PeerRecord* peer, MonotonicTime now) {
  reader_.set_maximum_body_bytes(kMaximumFrameBytes);
  peer_ = peer;
  peer_->AddSent(sent_before_hello_);
  peer_->AddReceived(received_before_hello_, now);
}

Result<void> Connection::Advance(MonotonicTime now,
                                 const EnvelopeHandler& handler) {
  const uint32_t events = std::exchange(ready_events_, 0);
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
    TRY(Receive(now, handler));
  }
  if (now - last_received_ >= kPeerSilenceLimit) {
    return MakeError(ErrorKind::kUnavailable,
                     absl::StrCat("nothing was received for ",
                                  kPeerSilenceLimit.count(), " ms"),
                     "check the peer and the network path to it");
  }
  if (outbox_->overflowed()) {
    return MakeError(ErrorKind::kResourceExhausted,
                     "the queue of answers is full",
                     "check whether the peer reads too slowly");
  }
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + kPeerHeartbeatInterval;
    // Nothing may come before the hello, and the wait for it is limited anyway.
    // Queued frames keep the connection alive by themselves.
    if (peer_ != nullptr && outbox_->empty()) {
      outbox_->PushControl(EncodeHeartbeat());
    }
  }
  return Flush();
}

Result<void> Connection::Receive(MonotonicTime now,
                                 const EnvelopeHandler& handler) {
  const std::span<std::byte> buffer = ReadBuffer();
  for (int i = 0; i < kReadsInOneTurn; ++i) {
    const ssize_t count =
        recv(socket_.number(), buffer.data(), buffer.size(), 0);
    if (count == 0) {
      return MakeError(ErrorKind::kUnavailable,
                       "the peer closed the connection",
                       "look for the reason in the log of the peer");
    }
    if (count < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
        return Success();
      }
      return MakeSystemError("cannot read from the connection", errno);
    }
    CountReceived(static_cast<uint64_t>(count), now);
    TRY(reader_.Feed(
        buffer.first(static_cast<size_t>(count)),
        [this, now, &handler](std::span<const std::byte> body) -> Result<void> {
          last_frame_ = now;
          TRY(envelope, ReadEnvelope(body));
          return handler(*envelope);
        }));
    if (static_cast<size_t>(count) < buffer.size()) {
      return Success();
    }
  }
  return Success();
}

Result<void> Connection::Flush() {
  std::array<iovec, kBuffersAtOnce> buffers;
  for (int i = 0; i < kWritesInOneTurn; ++i) {
    const size_t count = outbox_->Gather(buffers);
    if (count == 0) {
      WatchWritable(false);
      return Success();
    }
    msghdr message{};
    message.msg_iov = buffers.data();
    message.msg_iovlen = count;
    const ssize_t written = sendmsg(socket_.number(), &message, MSG_NOSIGNAL);
    if (written < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
        break;
      }
      return MakeSystemError("cannot write to the connection", errno);
    }
    outbox_->MarkWritten(static_cast<size_t>(written));
    CountSent(static_cast<uint64_t>(written));
  }
  WatchWritable(true);
  return Success();
}

size_t Connection::kept_bytes() const {
  return reader_.kept_bytes() + outbox_->queued_bytes();
}

void Connection::WatchWritable(bool wanted) {
  if (watches_writable_ == wanted) {
    return;
  }
  watches_writable_ = wanted;
  const uint32_t events = wanted ? EPOLLIN | EPOLLOUT : EPOLLIN;
  event_loop_->ChangeEvents(socket_.number(), events);
}

bool Connection::is_writable() const {
  return (ready_events_ & (EPOLLOUT | EPOLLHUP | EPOLLERR)) != 0;
}

MonotonicTime Connection::NextDeadline() const {
  return std::min(next_heartbeat_, last_received_ + kPeerSilenceLimit);
}

void Connection::CountSent(uint64_t bytes) {
  if (peer_ == nullptr) {
    sent_before_hello_ += bytes;
    return;
  }
  peer_->AddSent(bytes);
}

void Connection::CountReceived(uint64_t bytes, MonotonicTime now) {
  last_received_ = now;
  if (peer_ == nullptr) {
    received_before_hello_ += bytes;
    return;
  }
  peer_->AddReceived(bytes, now);
}

}  // namespace bramleyrail
