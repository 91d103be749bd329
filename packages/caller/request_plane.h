#ifndef PACKAGES_CALLER_REQUEST_PLANE_H_
#define PACKAGES_CALLER_REQUEST_PLANE_H_

#include <atomic>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "packages/base/base.h"
#include "packages/caller/caller_server.h"
#include "packages/caller/peer_hooks.h"
#include "packages/caller/request_dispatcher.h"
#include "packages/caller/request_state_lookup.h"
#include "packages/caller/watch_relay.h"
#include "packages/caller/watch_server.h"
#include "packages/state/state.h"
#include "packages/target/target.h"

namespace bramleyrail {

// Everything of an instance that serves requests: the servers for callers,
// watches and targets, the routing table, and the routing channel to other
// instances.
class RequestPlane {
 public:
  struct ListenAddress {
    std::string address = "127.0.0.1";
    int port = 0;  // 0: any free port.
  };

  struct Options {
    std::string instance;
    std::string boot_id;
    std::string failure_domain;
    std::string region;
    ListenAddress callers;
    ListenAddress watches;
    ListenAddress targets;
    StateAccess state;
    PeerHooks peers;
    MonotonicClock clock = SystemMonotonicClock();  // Of leases.
    uint64_t seed = 1;
    TargetPolicy choose_target = BetterOfTwoTargets();
    OwnerPolicy choose_owner = NearestBetterOfTwoOwners();
    size_t caller_threads = 256;
    size_t caller_queue = 64;
    size_t watch_threads = 256;
    size_t forward_threads = 512;  // Requests for other instances at once.
  };

  // kInvalidArgument for faulty options.
  static Result<std::unique_ptr<RequestPlane>> Create(Options options);
  ~RequestPlane();
  RequestPlane(const RequestPlane&) = delete;
  RequestPlane& operator=(const RequestPlane&) = delete;

  // Binds all ports and starts serving; kUnavailable when a port is in use.
  Result<void> Start();

  // Tells targets to move and ends watches; requests are still served.
  void BeginDrain();

  // Refuses new requests and waits for those in progress, also for claims to
  // be resolved; false when some are left at the deadline.
  bool WaitForIdle(MonotonicTime deadline);

  // WaitForIdle(), then breaks off what is left and stops all servers and
  // threads.
  void Stop(MonotonicTime deadline);

  // Routing channel. Neither blocks the calling thread.
  void HandlePeerMessage(std::string_view peer,
                         std::span<const std::byte> payload);
  void HandlePeerCall(std::string_view peer,
                      std::span<const std::byte> payload,
                      PeerAnswerCallback answer);

  // The state of a request: own table, replicated claim, then all peers. Blocks
  // for up to 500 ms.
  Result<Json> RequestStateJson(const std::string& request_id);
  // The decisions about a request and what this instance knows of its service.
  Result<Json> ExplainJson(const std::string& request_id);

  // Name and value of each counter and gauge.
  std::vector<std::pair<std::string, int64_t>> Counters() const;

  int caller_port() const { return caller_server_.port(); }
  int watch_port() const { return watch_server_.port(); }
  int target_port() const { return target_server_.port(); }

  RoutingTable& table() { return table_; }

 private:
  explicit RequestPlane(Options options);

  void RunMaintenance();
  void Maintain();
  void SendSummary();
  // Wakes the waiting requests and the maintenance thread.
  void NoteChange();

  void HandleMessage(const std::string& peer, const RoutingMessage& message);
  void HandleCall(const std::string& peer,
                  const RoutingMessage& message,
                  MonotonicTime arrival,
                  const PeerAnswerCallback& answer);
  void OpenWatchFor(const std::string& peer,
                    const WatchOpen& watch,
                    const PeerAnswerCallback& answer);
  Json TargetsJson(const std::string& service);

  const Options options_;
  RoutingTable table_;
  RequestTable requests_;
  TargetClient client_;
  CapacityQueue queue_;
  ServiceCatalog catalog_;
  ClaimKeeper claims_;
  OwnerRunner runner_;
  RequestDispatcher dispatcher_;
  RequestStateLookup lookup_;
  WatchRelay watch_relay_;
  TargetServer target_server_;
  CallerServer caller_server_;
  WatchServer watch_server_;

  // One thread, so that the messages of a peer keep their order.
  BoundedThreadPool message_pool_;
  BoundedThreadPool forward_pool_;
  BoundedThreadPool query_pool_;
  std::atomic<int64_t> dropped_messages_{0};
  std::atomic<int64_t> forwarded_in_progress_{0};

  std::thread maintenance_thread_;
  absl::Mutex maintenance_mutex_;
  bool stopping_ ABSL_GUARDED_BY(maintenance_mutex_) = false;
  bool summary_due_ ABSL_GUARDED_BY(maintenance_mutex_) = false;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_REQUEST_PLANE_H_
