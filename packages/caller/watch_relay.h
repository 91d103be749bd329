#ifndef PACKAGES_CALLER_WATCH_RELAY_H_
#define PACKAGES_CALLER_WATCH_RELAY_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "packages/caller/local_request_executor.h"
#include "packages/routing/routing.h"
#include "packages/target/target.h"

namespace bramleyrail {

// Runs watches on the targets of this instance, for local callers and for other
// instances.
class WatchRelay {
 public:
  struct Options {
    RoutingTable* table = nullptr;
    TargetClient* client = nullptr;
    LocalRequestExecutor* local_executor = nullptr;
    size_t maximum_watches = 512;
  };

  // Receives the results of a watch. `opened` can be called on the thread that
  // calls Open(); the other functions run on the thread of the watch, in order.
  struct Sink {
    std::function<void(const WatchOpened&)> opened;  // Called exactly once.
    // Called for each event. Returns false when it could not be passed on,
    // which ends the watch.
    std::function<bool(int64_t position, std::string line)> event;
    std::function<void(int64_t position, std::string reason)> end;
  };

  explicit WatchRelay(const Options& options);

  // Starts a watch on its own thread.
  void Open(const WatchOpen& watch, Sink sink);

  // Records that the entry instance still listens. A watch ends after 6 s
  // without this call.
  void KeepAlive(std::string_view watch_id);
  void Cancel(std::string_view watch_id);

  // Ends all watches and refuses new ones.
  void BeginDrain() { draining_.store(true); }
  void Stop();
  size_t Active() const;

 private:
  struct RelayedWatch {
    std::atomic<bool> cancelled{false};
    std::atomic<int64_t> last_keep_alive_ns{0};
  };

  void Run(const WatchOpen& watch, CapacityCharge charge, const Sink& sink);
  bool ShouldEnd(const RelayedWatch& state) const;
  std::shared_ptr<RelayedWatch> Find(std::string_view watch_id) const;

  const Options options_;
  std::atomic<bool> draining_{false};
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, std::shared_ptr<RelayedWatch>> watches_
      ABSL_GUARDED_BY(mutex_);
  // The last member: its jobs use the other members until it is destroyed.
  BoundedThreadPool pool_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_WATCH_RELAY_H_
