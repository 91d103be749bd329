#ifndef PACKAGES_CALLER_WATCH_RELAY_H_
#define PACKAGES_CALLER_WATCH_RELAY_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "packages/caller/owner_runner.h"
#include "packages/routing/routing.h"
#include "packages/target/target.h"

namespace bramleyrail {

// Runs watches on the targets of this instance, for its own callers and for
// other instances.
class WatchRelay {
 public:
  struct Options {
    RoutingTable* table = nullptr;
    TargetClient* client = nullptr;
    OwnerRunner* runner = nullptr;
    size_t maximum_watches = 512;
  };

  // Where the watch goes. Called on the thread of the watch, in order.
  struct Sink {
    std::function<void(const WatchOpened&)> opened;  // Exactly once.
    // False when the event could not be passed on.
    std::function<bool(int64_t position, std::string line)> event;
    std::function<void(int64_t position, std::string reason)> end;
  };

  explicit WatchRelay(const Options& options);

  // Starts a watch on a thread of its own.
  void Open(const WatchOpen& watch, Sink sink);

  // The entry instance still listens; without this for 6 s the watch ends.
  void KeepAlive(std::string_view watch_id);
  void Cancel(std::string_view watch_id);

  // Ends all watches; no new ones are opened.
  void BeginDrain() { draining_.store(true); }
  void Stop();
  size_t Active() const;

 private:
  struct State {
    std::atomic<bool> cancelled{false};
    std::atomic<int64_t> last_sign_ns{0};
  };

  void Run(const WatchOpen& watch, CapacityCharge charge, const Sink& sink);
  bool MustEnd(const State& state) const;
  std::shared_ptr<State> Find(std::string_view watch_id) const;

  const Options options_;
  std::atomic<bool> draining_{false};
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, std::shared_ptr<State>> states_
      ABSL_GUARDED_BY(mutex_);
  BoundedThreadPool pool_;  // Last: its jobs use the other members.
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_WATCH_RELAY_H_
