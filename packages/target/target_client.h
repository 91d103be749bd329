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

inline constexpr size_t kMaximumAnswerBytes = size_t{4} * 1024 * 1024;
// Both ends of a watch give up after this silence.
inline constexpr Milliseconds kWatchSilenceLimit{6'000};

// Sends requests to targets and reads their answers whole. Blocking; any
// thread may call it.
class TargetClient {
 public:
  struct Options {
    MonotonicClock clock = SystemMonotonicClock();  // Of the leases.
    Milliseconds connect_timeout{1'000};
  };

  struct WatchHooks {
    // Called once when the target has accepted the watch.
    std::function<void(std::string_view target)> on_open;
    // Called for each line without its end; false ends the watch.
    std::function<bool(std::string_view line)> on_line;
    // Polled; true ends the watch.
    std::function<bool()> cancelled;
  };

  explicit TargetClient(Options options) : options_(std::move(options)) {}

  // Runs one request. The capacity is released when its fate is known, and
  // kept charged when the target may still work on it.
  ForwardedAnswer Send(CapacityCharge charge, const ForwardedRequest& request);

  // Runs one watch until it ends. kAnswered when it was opened; `message` then
  // says why it ended.
  ForwardedAnswer Watch(CapacityCharge charge,
                        const WatchOpen& watch,
                        const WatchHooks& hooks);

  // Breaks off all requests in progress; their outcome is then unknown.
  void Abort() { aborted_.store(true); }

  // Closes idle connections that have become old. To be called every second.
  void RemoveOldConnections() { pool_.RemoveOld(); }

 private:
  // Returns a connection that may be sent on now, or the reason why not.
  Result<std::unique_ptr<TargetConnection>>
  Connect(const TargetSession& session, bool use_pool, MonotonicTime deadline);

  const Options options_;
  std::atomic<bool> aborted_{false};
  ConnectionPool pool_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_TARGET_TARGET_CLIENT_H_
