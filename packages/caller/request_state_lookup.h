#ifndef PACKAGES_CALLER_REQUEST_STATE_LOOKUP_H_
#define PACKAGES_CALLER_REQUEST_STATE_LOOKUP_H_

#include <optional>
#include <string>
#include <vector>

#include "packages/caller/peer_hooks.h"
#include "packages/routing/routing.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Finds the true state of a request: own table, replicated claim, then all
// peers in parallel.
class RequestStateLookup {
 public:
  struct Options {
    std::string instance;
    RequestTable* requests = nullptr;
    StateAccess state;
    PeerHooks peers;
    MonotonicClock clock = SystemMonotonicClock();  // Of last_contact.
  };

  explicit RequestStateLookup(Options options) : options_(std::move(options)) {}

  // {"request_id", "state", "source", "records", "claim", "peers"}; kNotFound
  // only when every peer answered that it knows nothing. Blocks for up to
  // 500 ms.
  Result<Json> Find(const std::string& request_id) const;

  // The own records of a request, for a peer that asks.
  RequestStateAnswer OwnRecords(const std::string& request_id) const;

 private:
  struct PeerAnswer {
    std::string peer;
    bool answered = false;
    Json records = Json::array();
  };
  struct Finding {
    std::string state;
    std::string source;
  };

  Json OwnRecordsJson(const std::string& request_id) const;
  std::optional<Claim> FindClaim(const std::string& request_id) const;
  std::vector<PeerAnswer> AskPeers(const std::string& request_id) const;
  Json PeerJson(const PeerAnswer& answer) const;
  static Finding Combine(const Json& records,
                         const std::optional<Claim>& claim,
                         bool all_answered);

  const Options options_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_REQUEST_STATE_LOOKUP_H_
