#include "packages/peer/peer_loop.h"

#include <sys/epoll.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/peer/peer_events.h"
#include "packages/peer/peer_limits.h"
#include "packages/peer/socket.h"

namespace bramleyrail {

namespace {

// Wait after the process ran out of descriptors, since the listening socket
// stays readable and would otherwise keep the thread busy.
constexpr Milliseconds kAcceptPause{500};

}  // namespace

Result<std::unique_ptr<PeerLoop>> PeerLoop::Create(
    PeerNetwork::Options options) {
  TRY(event_loop, EventLoop::Create());
  TRY(listener, Listen(options.listen_address));
  TRY(port, BoundPort(listener));
  return std::unique_ptr<PeerLoop>(new PeerLoop(
      std::move(options), std::move(event_loop), std::move(listener), port));
}

PeerLoop::PeerLoop(PeerNetwork::Options options,
                   std::unique_ptr<EventLoop> event_loop,
                   FileDescriptor listener,
                   uint16_t listen_port)
    : options_(std::move(options)),
      event_loop_(std::move(event_loop)),
      listener_(std::move(listener)),
      listen_port_(listen_port) {
  for (const PeerAddress& address : options_.peers) {
    InsertPeer(address);
  }
}

PeerLoop::~PeerLoop() {
  Stop();
}

Result<void> PeerLoop::Start() {
  BRAMLEYRAIL_ASSERT(!is_started(), "the peer network was started twice");
  event_loop_->Watch(listener_.number(), EPOLLIN, &listener_events_);
  LogEvent(kPeerListening,
           {{"address", ToString({options_.listen_address.ip, listen_port_})},
            {"peers", peers_.size()}});
  thread_ = std::thread([this] { Run(); });
  return Success();
}

void PeerLoop::Stop() {
  BRAMLEYRAIL_ASSERT(thread_.get_id() != std::this_thread::get_id(),
                     "a handler of the peer network stopped it");
  stopping_ = true;
  if (thread_.joinable()) {
    event_loop_->Wake();
    thread_.join();
  }
  {
    absl::MutexLock lock(&mutex_);
    ended_ = true;
  }
  RunPosted();
}

bool PeerLoop::Send(std::string_view peer,
                    PeerChannel channel,
                    std::span<const std::byte> payload) {
  const std::shared_ptr<OutgoingLink> link = FindLink(peer);
  return link != nullptr && payload.size() <= kMaximumPayloadBytes &&
         link->Send(channel, payload);
}

void PeerLoop::Call(std::string_view peer,
                    PeerChannel channel,
                    std::span<const std::byte> payload,
                    Milliseconds timeout,
                    PeerCallCallback callback) {
  std::string reason;
  const std::shared_ptr<OutgoingLink> link = FindLink(peer);
  if (link == nullptr) {
    reason = "is not known";
  } else if (payload.size() > kMaximumPayloadBytes) {
    reason = absl::StrCat("was not called: a payload of ", payload.size(),
                          " bytes exceeds the limit of ", kMaximumPayloadBytes);
  } else {
    switch (link->Call(channel, payload,
                       std::chrono::steady_clock::now() + timeout, &callback)) {
      case Outbox::PushOutcome::kQueued:
        return;
      case Outbox::PushOutcome::kFull:
        reason = "has a full queue";
        break;
      case Outbox::PushOutcome::kClosed:
        reason = "is not connected";
        break;
    }
  }
  Error error = MakeError(
      ErrorKind::kUnavailable,
      absl::StrCat("the peer '", absl::string_view(peer.data(), peer.size()),
                   "' ", reason),
      "try again or use another instance");
  Post([callback = std::move(callback), error = std::move(error)] {
    callback(error);
  });
}

std::vector<PeerStatus> PeerLoop::Statuses() const {
  absl::ReaderMutexLock lock(&peers_mutex_);
  std::vector<PeerStatus> statuses;
  statuses.reserve(peers_.size());
  for (const auto& peer : peers_) {
    statuses.push_back(peer->Status());
  }
  return statuses;
}

void PeerLoop::Run() {
  while (!stopping_) {
    const MonotonicTime now = std::chrono::steady_clock::now();
    RunPosted();
    AcceptConnections(now);
    AdvanceIncoming(now);
    for (auto& [name, link] : outgoing_) {
      link->Advance(now);
    }
    event_loop_->Wait(NextDeadline(now));
  }
  Shutdown();
}

void PeerLoop::AcceptConnections(MonotonicTime now) {
  if (accept_again_.has_value() && now >= *accept_again_) {
    accept_again_.reset();
    event_loop_->ChangeEvents(listener_.number(), EPOLLIN);
  }
  if (std::exchange(listener_events_, 0) == 0) {
    return;
  }
  while (true) {
    Result<std::optional<FileDescriptor>> accepted = Accept(listener_);
    if (accepted.has_error()) {
      accept_again_ = now + kAcceptPause;
      event_loop_->ChangeEvents(listener_.number(), 0);
      LogEvent(kPeerAcceptFailed, {{"error", accepted.error().ToString()}});
      return;
    }
    if (!accepted.value().has_value()) {
      return;
    }
    if (incoming_.size() >= options_.maximum_accepted_connections) {
      LogEvent(kPeerAcceptFailed,
               {{"error", std::string_view("too many connections are open")},
                {"limit", options_.maximum_accepted_connections}});
      continue;
    }
    incoming_.push_back(std::make_unique<IncomingLink>(
        event_loop_.get(), std::move(*accepted.value()), &options_, &handlers_,
        [this](std::string_view name) { return AdmitPeer(name); }, now));
  }
}

void PeerLoop::AdvanceIncoming(MonotonicTime now) {
  size_t kept = 0;
  for (const auto& link : incoming_) {
    kept += link->kept_bytes();
  }
  for (const auto& link : incoming_) {
    if (link->is_closed()) {
      continue;  // Closed in this turn, to make room.
    }
    const PeerRecord* peer_before = link->peer();
    kept -= link->kept_bytes();
    link->Advance(now);
    kept += link->kept_bytes();
    if (kept > options_.maximum_kept_bytes) {
      kept = ReclaimIncoming();
    }
    const PeerRecord* peer = link->peer();
    if (peer == peer_before || link->is_closed()) {
      continue;
    }
    // The peer dials again only after it has given up its last connection.
    for (const auto& other : incoming_) {
      if (other != link && !other->is_closed() && other->peer() == peer) {
        other->Replace();
      }
    }
  }
  RemoveClosedIncoming();
}

size_t PeerLoop::ReclaimIncoming() {
  std::vector<IncomingLink*> links;
  size_t kept = 0;
  for (const auto& link : incoming_) {
    if (link->kept_bytes() > 0) {
      links.push_back(link.get());
      kept += link->kept_bytes();
    }
  }
  std::sort(links.begin(), links.end(),
            [](const IncomingLink* a, const IncomingLink* b) {
              return a->last_frame() < b->last_frame();
            });
  for (IncomingLink* link : links) {
    if (kept <= options_.maximum_kept_bytes) {
      break;
    }
    kept -= link->kept_bytes();
    link->Reclaim();
    ++reclaimed_connections_;
  }
  return kept;
}

void PeerLoop::RemoveClosedIncoming() {
  std::erase_if(incoming_, [](const auto& link) { return link->is_closed(); });
}

MonotonicTime PeerLoop::NextDeadline(MonotonicTime now) const {
  MonotonicTime deadline = now + kPeerHeartbeatInterval;
  for (const auto& link : incoming_) {
    deadline = std::min(deadline, link->NextDeadline());
  }
  for (const auto& [name, link] : outgoing_) {
    deadline = std::min(deadline, link->NextDeadline());
  }
  return deadline;
}

void PeerLoop::Shutdown() {
  const Error reason =
      MakeError(ErrorKind::kUnavailable, "the instance is stopping", "");
  for (const auto& link : incoming_) {
    link->Shutdown(reason);
  }
  incoming_.clear();
  for (auto& [name, link] : outgoing_) {
    link->Shutdown(reason, std::chrono::steady_clock::now());
  }
}

PeerRecord* PeerLoop::FindPeer(std::string_view name) {
  const auto found =
      std::find_if(peers_.begin(), peers_.end(),
                   [name](const auto& peer) { return peer->name() == name; });
  return found == peers_.end() ? nullptr : found->get();
}

PeerRecord* PeerLoop::AdmitPeer(std::string_view name) {
  PeerRecord* const known = FindPeer(name);
  if (known != nullptr || !options_.admit_unknown || !ValidateName(name)) {
    return known;
  }
  const std::optional<SocketAddress> address = options_.admit_unknown(name);
  return address ? InsertPeer({std::string(name), *address}) : nullptr;
}

PeerRecord* PeerLoop::InsertPeer(PeerAddress address) {
  auto record = std::make_shared<PeerRecord>(address);
  PeerRecord* const peer = record.get();
  absl::MutexLock lock(&peers_mutex_);
  if (address.address.port != 0) {
    outgoing_.emplace(address.name,
                      std::make_shared<OutgoingLink>(
                          event_loop_.get(), &options_, &handlers_, record));
  }
  peers_.push_back(std::move(record));
  return peer;
}

void PeerLoop::AddPeer(PeerAddress peer) {
  Post([this, peer = std::move(peer)] {
    if (FindPeer(peer.name) == nullptr && peer.name != options_.self.name) {
      InsertPeer(peer);
    }
  });
}

void PeerLoop::RemovePeer(std::string_view name) {
  Post([this, name = std::string(name)] { ErasePeer(name); });
}

void PeerLoop::ErasePeer(std::string_view name) {
  const PeerRecord* const peer = FindPeer(name);
  if (peer == nullptr) {
    return;
  }
  const Error reason = MakeError(
      ErrorKind::kUnavailable, "the peer was removed from the known ones", "");
  for (const auto& link : incoming_) {
    if (link->peer() == peer && !link->is_closed()) {
      link->Shutdown(reason);
    }
  }
  // The incoming links refer to the record, which is released below.
  RemoveClosedIncoming();
  std::shared_ptr<OutgoingLink> outgoing;
  {
    absl::MutexLock lock(&peers_mutex_);
    if (const auto found = outgoing_.find(name); found != outgoing_.end()) {
      outgoing = std::move(found->second);
      outgoing_.erase(found);
    }
    std::erase_if(peers_, [peer](const auto& p) { return p.get() == peer; });
  }
  // Without the lock, since the callbacks of failed calls may call this class.
  if (outgoing != nullptr) {
    outgoing->Shutdown(reason, std::chrono::steady_clock::now());
  }
}

std::shared_ptr<OutgoingLink> PeerLoop::FindLink(std::string_view peer) const {
  absl::ReaderMutexLock lock(&peers_mutex_);
  const auto link = outgoing_.find(peer);
  return link == outgoing_.end() ? nullptr : link->second;
}

void PeerLoop::Post(std::function<void()> function) {
  {
    absl::MutexLock lock(&mutex_);
    if (!ended_) {
      posted_.push_back(std::move(function));
      function = nullptr;
    }
  }
  if (function) {
    function();
    return;
  }
  event_loop_->Wake();
}

void PeerLoop::RunPosted() {
  std::vector<std::function<void()>> functions;
  {
    absl::MutexLock lock(&mutex_);
    functions.swap(posted_);
  }
  for (const std::function<void()>& function : functions) {
    function();
  }
}

}  // namespace bramleyrail
