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

// Brings HTTP exchanges to the leader of the control instances, wherever it is,
// and tries again while leaders change. Every exchange must be idempotent. All
// calls from the thread of the loop.
class LeaderRelay {
 public:
  struct Options {
    RelayedFrom from = RelayedFrom::kCaller;
    // Names of the control instances that are known, without the own one.
    std::function<std::vector<std::string>()> instances;
    // Calls an instance on the channel `control`; the callback may come from
    // any thread.
    std::function<void(std::string_view peer,
                       std::span<const std::byte> payload,
                       Milliseconds timeout,
                       PeerCallCallback callback)>
        call;
  };

  struct Counters {
    uint64_t answered = 0;
    uint64_t attempts = 0;
    uint64_t not_executed = 0;
    uint64_t outcome_unknown = 0;
  };

  LeaderRelay(IoLoop* loop, Options options);
  ~LeaderRelay();

  // Answers with the leader's response. After `limit` without one: 503 with
  // Retry-After when the request was certainly not executed, else 504.
  void Forward(HttpRequest request, Milliseconds limit, HttpResponder respond);
  // Tells which instance leads, when the owner knows.
  void SuggestLeader(std::string name) { leader_ = std::move(name); }
  // When an instance answered last.
  std::optional<MonotonicTime> last_answer() const { return last_answer_; }
  const Counters& counters() const { return counters_; }

 private:
  struct Exchange;

  void Try(std::shared_ptr<Exchange> exchange);
  void HandleAnswer(const std::shared_ptr<Exchange>& exchange,
                    const std::string& peer,
                    const Result<std::vector<std::byte>>& answer);
  void TryAgain(const std::shared_ptr<Exchange>& exchange, Milliseconds delay);
  void GiveUp(const std::shared_ptr<Exchange>& exchange);
  std::string NextInstance(Exchange* exchange);

  IoLoop* const loop_;
  const Options options_;
  const std::shared_ptr<bool> alive_;
  std::string leader_;  // Empty: not known.
  std::optional<MonotonicTime> last_answer_;
  Counters counters_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_LEADER_RELAY_H_
