#ifndef PACKAGES_PEER_PEER_LOOP_H_
#define PACKAGES_PEER_PEER_LOOP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"
#include "packages/peer/event_loop.h"
#include "packages/peer/incoming_link.h"
#include "packages/peer/outgoing_link.h"
#include "packages/peer/peer_handlers.h"
#include "packages/peer/peer_network.h"
#include "packages/peer/peer_record.h"

namespace bramleyrail {

// The thread of a PeerNetwork: accepts connections and advances all links.
class PeerLoop {
 public:
  static Result<std::unique_ptr<PeerLoop>> Create(PeerNetwork::Options options);
  ~PeerLoop();
  PeerLoop(const PeerLoop&) = delete;
  PeerLoop& operator=(const PeerLoop&) = delete;

  // Change the handlers before Start() only.
  PeerHandlers& handlers() { return handlers_; }

  Result<void> Start();
  void Stop();

  bool Send(std::string_view peer,
            PeerChannel channel,
            std::span<const std::byte> payload);
  void Call(std::string_view peer,
            PeerChannel channel,
            std::span<const std::byte> payload,
            Milliseconds timeout,
            PeerCallCallback callback);
  void AddPeer(PeerAddress peer);
  void RemovePeer(std::string_view name);
  std::vector<PeerStatus> Statuses() const;
  uint16_t listen_port() const { return listen_port_; }
  uint64_t reclaimed_connections() const { return reclaimed_connections_; }
  bool is_started() const { return thread_.joinable(); }

 private:
  PeerLoop(PeerNetwork::Options options,
           std::unique_ptr<EventLoop> event_loop,
           FileDescriptor listener,
           uint16_t listen_port);

  void Run();
  void AcceptConnections(MonotonicTime now);
  void AdvanceIncoming(MonotonicTime now);
  // Closes connections until the others keep what they may; returns how much
  // that is.
  size_t ReclaimIncoming();
  void RemoveClosedIncoming();
  MonotonicTime NextDeadline(MonotonicTime now) const;
  void Shutdown();
  PeerRecord* FindPeer(std::string_view name);
  // The known peer, or one that the options admit, or nullptr.
  PeerRecord* AdmitPeer(std::string_view name);
  PeerRecord* InsertPeer(PeerAddress address);
  void ErasePeer(std::string_view name);
  std::shared_ptr<OutgoingLink> FindLink(std::string_view peer) const;
  // Runs the function on the epoll thread, or at once when it has ended.
  void Post(std::function<void()> function);
  void RunPosted();

  const PeerNetwork::Options options_;
  PeerHandlers handlers_;
  const std::unique_ptr<EventLoop> event_loop_;
  const FileDescriptor listener_;
  const uint16_t listen_port_;
  uint32_t listener_events_ = 0;
  // Set while accepting is suspended.
  std::optional<MonotonicTime> accept_again_;
  // Peers are added and removed only on the epoll thread, before it starts or
  // after it has ended; that thread may therefore read without the lock. Other
  // threads may hold a link that was removed meanwhile; it is closed.
  mutable absl::Mutex peers_mutex_;
  std::vector<std::shared_ptr<PeerRecord>> peers_;
  std::map<std::string, std::shared_ptr<OutgoingLink>, std::less<>> outgoing_;
  std::vector<std::unique_ptr<IncomingLink>> incoming_;
  std::atomic<uint64_t> reclaimed_connections_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
  absl::Mutex mutex_;
  bool ended_ ABSL_GUARDED_BY(mutex_) = false;
  std::vector<std::function<void()>> posted_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_PEER_LOOP_H_
