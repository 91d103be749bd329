#ifndef PACKAGES_CALLER_REQUEST_SERVICE_H_
#define PACKAGES_CALLER_REQUEST_SERVICE_H_

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

// All parts of an instance that serve requests: the HTTP servers for callers,
// watches and targets, the routing table, and the handlers of the routing
// channel to other instances.
//
// The instance that accepts a request from a caller is its entry instance. The
// instance that holds the session of a target is the owner of that target. A
// request is forwarded to the owner unless both are the same instance.
class RequestService {
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
    MonotonicClock clock = SystemMonotonicClock();  // For target leases.
    uint64_t seed = 1;
    TargetPolicy choose_target = PowerOfTwoChoicesTargetPolicy();
    OwnerPolicy choose_owner = NearestPowerOfTwoChoicesOwnerPolicy();
    size_t caller_threads = 256;
    size_t caller_queue = 64;
    size_t watch_threads = 256;
    // Maximum number of requests of other instances that run at the same time.
    size_t forward_threads = 512;
  };

  // Returns kInvalidArgument, with each faulty option, when options are not
  // valid.
  static Result<std::unique_ptr<RequestService>> Create(Options options);
  ~RequestService();
  RequestService(const RequestService&) = delete;
  RequestService& operator=(const RequestService&) = delete;

  // Binds all ports and starts serving. Returns kUnavailable when a port is in
  // use.
  Result<void> Start();

  // Asks targets to move to other instances and ends all watches. Requests are
  // still served.
  void BeginDrain();

  // Refuses new requests, then waits until none is in progress and all claims
  // are resolved. Returns false when some are left at the deadline.
  bool WaitForIdle(MonotonicTime deadline);

  // Calls BeginDrain() and WaitForIdle(), aborts the requests that are left at
  // the deadline, and stops all servers and threads.
  void Stop(MonotonicTime deadline);

  // Handlers of the routing channel. They do not block the calling thread.
  void HandlePeerMessage(std::string_view peer,
                         std::span<const std::byte> payload);
  void HandlePeerCall(std::string_view peer,
                      std::span<const std::byte> payload,
                      PeerResponseCallback respond);

  // Returns the state of a request; see RequestStateLookup::Find(). Blocks for
  // up to 500 ms.
  Result<Json> RequestStateJson(const std::string& request_id);
  // Returns the state of a request and the local targets of its service. Blocks
  // for up to 500 ms.
  Result<Json> ExplainJson(const std::string& request_id);

  // Returns the name and value of each counter and gauge.
  std::vector<std::pair<std::string, int64_t>> Counters() const;

  int caller_port() const { return caller_server_.port(); }
  int watch_port() const { return watch_server_.port(); }
  int target_port() const { return target_server_.port(); }

  RoutingTable& table() { return table_; }

 private:
  explicit RequestService(Options options);

  void MaintenanceLoop();
  void RunMaintenance();
  void SendSummary();
  // Wakes the requests that wait for capacity, and makes the maintenance thread
  // send a summary.
  void NotifyCapacityChange();

  void HandleMessage(const std::string& peer, const RoutingMessage& message);
  void HandleCall(const std::string& peer,
                  const RoutingMessage& message,
                  MonotonicTime arrival,
                  const PeerResponseCallback& respond);
  void OpenWatchForPeer(const std::string& peer,
                        const WatchOpen& watch,
                        const PeerResponseCallback& respond);
  Json TargetsJson(const std::string& service);

  const Options options_;
  RoutingTable table_;
  RequestTable requests_;
  TargetClient client_;
  CapacityQueue queue_;
  ServiceCatalog catalog_;
  ClaimManager claim_manager_;
  LocalRequestExecutor local_executor_;
  RequestDispatcher dispatcher_;
  RequestStateLookup lookup_;
  WatchRelay watch_relay_;
  TargetServer target_server_;
  CallerServer caller_server_;
  WatchServer watch_server_;

  // Has one thread, so that the messages of a peer are handled in order.
  BoundedThreadPool message_pool_;
  BoundedThreadPool forward_pool_;
  BoundedThreadPool query_pool_;
  std::atomic<int64_t> dropped_messages_{0};
  // Requests of other instances that run on local targets.
  std::atomic<int64_t> forwarded_in_progress_{0};

  std::thread maintenance_thread_;
  absl::Mutex maintenance_mutex_;
  bool stopping_ ABSL_GUARDED_BY(maintenance_mutex_) = false;
  bool summary_due_ ABSL_GUARDED_BY(maintenance_mutex_) = false;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_REQUEST_SERVICE_H_
