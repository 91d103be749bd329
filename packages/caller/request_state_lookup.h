#ifndef PACKAGES_CALLER_REQUEST_STATE_LOOKUP_H_
#define PACKAGES_CALLER_REQUEST_STATE_LOOKUP_H_

#include <optional>
#include <string>
#include <vector>

#include "packages/caller/peer_hooks.h"
#include "packages/routing/routing.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Determines the state of a request from the records of this instance, its
// replicated claim, and then the records of all peers, queried in parallel.
class RequestStateLookup {
 public:
  struct Options {
    std::string instance;
    RequestTable* requests = nullptr;
    StateAccess state;
    PeerHooks peers;
    // The clock of PeerHooks::last_contact.
    MonotonicClock clock = SystemMonotonicClock();
  };

  explicit RequestStateLookup(Options options) : options_(std::move(options)) {}

  // Returns {"request_id", "state", "source", "as_of_unix_ms", "records",
  // "claim", "peers"}. kNotFound only when every peer responded that it has no
  // record. Blocks for up to 500 ms.
  Result<Json> Find(const std::string& request_id) const;

  // Returns the records of this instance, in response to a peer's query.
  RequestStateResponse LocalRecords(const std::string& request_id) const;

 private:
  struct PeerRecords {
    std::string peer;
    bool responded = false;
    Json records = Json::array();
  };
  struct DerivedState {
    std::string state;
    std::string source;  // The record or claim that determined the state.
  };

  Json LocalRecordsJson(const std::string& request_id) const;
  std::optional<Claim> FindClaim(const std::string& request_id) const;
  std::vector<PeerRecords> QueryPeers(const std::string& request_id) const;
  Json PeerJson(const PeerRecords& response) const;
  static DerivedState DeriveState(const Json& records,
                                  const std::optional<Claim>& claim,
                                  bool all_responded);

  const Options options_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_REQUEST_STATE_LOOKUP_H_
