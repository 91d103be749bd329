#ifndef PACKAGES_CONTROL_LEADER_RELAY_H_
#define PACKAGES_CONTROL_LEADER_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "packages/control/relayed_message.h"
#include "packages/http/http.h"
#include "packages/peer/peer.h"

namespace bramleyrail {

// Forwards HTTP requests to the leader of the control instances, and retries
// them while the leader changes. Every request must be idempotent. All methods
// must be called on the thread of the loop.
class LeaderRelay {
 public:
  struct Options {
    RelayOrigin from = RelayOrigin::kCaller;
    // Returns the names of the known control instances, excluding the local
    // one.
    std::function<std::vector<std::string>()> instances;
    // Calls an instance on the channel `control`. The callback may run on any
    // thread.
    std::function<void(std::string_view peer,
                       std::span<const std::byte> payload,
                       Milliseconds timeout,
                       PeerCallCallback callback)>
        call;
  };

  struct Counters {
    uint64_t responses = 0;
    uint64_t attempts = 0;
    uint64_t not_executed = 0;
    uint64_t outcome_unknown = 0;
  };

  LeaderRelay(IoLoop* loop, Options options);
  ~LeaderRelay();

  // Responds with the leader's response. Without one after `limit`: 503 with
  // Retry-After when the request is known not to have been executed, else 504.
  void Forward(HttpRequest request, Milliseconds limit, HttpResponder respond);
  // Sets the instance that is believed to lead; it is tried first.
  void SetLeaderHint(std::string name) { leader_ = std::move(name); }
  // Time of the last response of any instance.
  std::optional<MonotonicTime> last_response_time() const {
    return last_response_time_;
  }
  const Counters& counters() const { return counters_; }

 private:
  struct Exchange;

  void Try(std::shared_ptr<Exchange> exchange);
  void HandleResponse(const std::shared_ptr<Exchange>& exchange,
                      const std::string& peer,
                      const Result<std::vector<std::byte>>& result);
  void Retry(const std::shared_ptr<Exchange>& exchange, Milliseconds delay);
  void HandleTimeout(const std::shared_ptr<Exchange>& exchange);
  std::string NextInstance(Exchange* exchange);

  IoLoop* const loop_;
  const Options options_;
  const std::shared_ptr<bool> alive_;
  std::string leader_;  // Empty: not known.
  std::optional<MonotonicTime> last_response_time_;
  Counters counters_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_LEADER_RELAY_H_
