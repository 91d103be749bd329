#ifndef PACKAGES_TARGET_TARGET_CLIENT_H_
#define PACKAGES_TARGET_TARGET_CLIENT_H_

#include <atomic>
#include <functional>
#include <string>
#include <string_view>

#include "packages/base/base.h"
#include "packages/routing/routing.h"
#include "packages/target/connection_pool.h"

namespace bramleyrail {

inline constexpr size_t kMaximumResponseBytes = size_t{4} * 1024 * 1024;
// Either end of a watch closes it when nothing has arrived for this long.
inline constexpr Milliseconds kWatchIdleTimeout{6'000};

// Sends requests to targets and reads the complete responses. Calls block.
// Thread-safe.
class TargetClient {
 public:
  struct Options {
    MonotonicClock clock = SystemMonotonicClock();  // For checks of leases.
    Milliseconds connect_timeout{1'000};
  };

  struct WatchHooks {
    // Called once when the target has accepted the watch.
    std::function<void(std::string_view target)> on_open;
    // Called for each line, without its line break. Returns false to end the
    // watch.
    std::function<bool(std::string_view line)> on_line;
    // Polled while the watch is open. Returns true to end the watch.
    std::function<bool()> cancelled;
  };

  explicit TargetClient(Options options) : options_(std::move(options)) {}

  // Sends one request to the target. Its capacity is released when the outcome
  // is known, and stays charged while the target may still run the request.
  ForwardedResponse Send(CapacityCharge charge,
                         const ForwardedRequest& request);

  // Runs one watch until it ends. The outcome is kResponded if the watch was
  // opened; `message` then says why the watch ended.
  ForwardedResponse Watch(CapacityCharge charge,
                          const WatchOpen& watch,
                          const WatchHooks& hooks);

  // Aborts all requests in progress; their outcome is then unknown.
  void Abort() { aborted_.store(true); }

  // Closes connections that exceed the maximum idle time. Must be called every
  // second.
  void CloseExpiredConnections() { pool_.CloseExpiredConnections(); }

 private:
  // Returns a connection after checking that the lease still permits sending,
  // or the error that prevents sending.
  Result<std::unique_ptr<TargetConnection>>
  Connect(const TargetSession& session, bool use_pool, MonotonicTime deadline);

  const Options options_;
  std::atomic<bool> aborted_{false};
  ConnectionPool pool_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_TARGET_TARGET_CLIENT_H_
