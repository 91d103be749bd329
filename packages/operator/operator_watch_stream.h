#ifndef PACKAGES_OPERATOR_OPERATOR_WATCH_STREAM_H_
#define PACKAGES_OPERATOR_OPERATOR_WATCH_STREAM_H_

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "packages/operator/operator_server.h"

namespace bramleyrail {

// One watch: turns changes of the state into lines of JSON.
class OperatorWatchStream {
 public:
  using Write = std::function<bool(const std::string& line)>;
  enum class Next { kContinue, kEnd };

  // `kinds` empty: all kinds. `draining` outlives the stream.
  OperatorWatchStream(std::shared_ptr<const OperatorServerOptions> options,
                      const std::atomic<bool>* draining,
                      int64_t after_revision,
                      std::set<ResourceKind> kinds);

  // Waits for changes for a short time and writes what there is, a heartbeat
  // when one is due, or the last line. kEnd after that, or when writing fails.
  Next Step(const Write& write);

  int64_t revision() const { return revision_; }

 private:
  // The lines of the next changes; moves revision_ on.
  Result<std::string> NextLines();
  std::string Heartbeat() const;

  const std::shared_ptr<const OperatorServerOptions> options_;
  const std::atomic<bool>* const draining_;
  const std::set<ResourceKind> kinds_;
  int64_t revision_;  // Everything up to here was written.
  MonotonicTime last_heartbeat_time_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_OPERATOR_OPERATOR_WATCH_STREAM_H_
