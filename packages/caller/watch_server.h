#ifndef PACKAGES_CALLER_WATCH_SERVER_H_
#define PACKAGES_CALLER_WATCH_SERVER_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "packages/caller/peer_hooks.h"
#include "packages/caller/watch_relay.h"
#include "packages/caller/watch_stream.h"
#include "packages/routing/routing.h"
#include "packages/target/target.h"

namespace bramleyrail {

// The HTTP server through which callers open watches.
// docs/interfaces/callers.md describes the interface.
class WatchServer {
 public:
  struct Options {
    std::string instance;
    std::string address = "127.0.0.1";
    int port = 0;  // 0: any free port.
    size_t maximum_threads = 256;
    RoutingTable* table = nullptr;
    WatchRelay* relay = nullptr;
    PeerHooks peers;
  };

  explicit WatchServer(Options options);

  Result<void> Start() { return server_.Start(); }
  void Stop() { server_.Stop(); }
  int port() const { return server_.port(); }
  int64_t refusals() const { return server_.refusals(); }
  size_t Active() const;

  // Ends every watch with a final line, and refuses new watches.
  void BeginDrain() { draining_.store(true); }

  // Handle messages of the owners.
  void HandleEvent(const WatchEvent& event);
  void HandleEnd(const WatchEnd& end);

 private:
  // The watch of one caller. Ends the watch at the owner on destruction.
  class Session;

  void HandleWatch(const httplib::Request& request,
                   httplib::Response* response);
  // Opens the watch at an owner, and stores the owner and target in the
  // session.
  Result<void> Open(const WatchOpen& watch, Session* session);
  WatchOpened OpenAt(const OwnerCandidate& owner,
                     const WatchOpen& watch,
                     const std::shared_ptr<WatchStream>& stream);
  std::shared_ptr<WatchStream> Find(std::string_view watch_id) const;

  const Options options_;
  std::atomic<bool> draining_{false};
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, std::shared_ptr<WatchStream>> streams_
      ABSL_GUARDED_BY(mutex_);
  // The last member: its threads use the other members until it is destroyed.
  HttpServer server_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_WATCH_SERVER_H_
