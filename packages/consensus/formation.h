#ifndef PACKAGES_CONSENSUS_FORMATION_H_
#define PACKAGES_CONSENSUS_FORMATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "packages/base/base.h"
#include "packages/consensus/log_entry.h"

namespace bramleyrail {

struct FormationQuery {
  // Random number of the querying process. The response copies it.
  uint64_t nonce = 0;
};

struct FormationResponse {
  uint64_t nonce = 0;
  bool formed = false;  // The responding replica has formatted its data folder.
  Term term = 0;
  LogIndex last_index = 0;
};

// Decides whether an instance with an empty data folder forms a new cluster
// with the other initial voters or joins an existing one, and when the first
// election campaign is allowed. Performs no I/O: the caller sends the queries
// and passes the responses to Receive().
class Formation {
 public:
  enum class Decision {
    kWait,  // Responses of initial voters are missing.
    kForm,  // Format the folder with kFirstGeneration.
    kJoin,  // Format the folder with a new generation, and join as a learner.
  };

  struct Options {
    std::string name;
    std::vector<std::string> initial_voters;
    uint64_t nonce = 0;
  };

  explicit Formation(Options options);

  // Returns the peers to query now; empty when no query is due.
  std::vector<std::string> Tick(MonotonicTime now);
  FormationQuery Query() const { return {options_.nonce}; }
  void Receive(const std::string& peer, const FormationResponse& response);

  // Returns how to proceed with an empty data folder.
  Decision Decide() const;
  // True when every other initial voter has formatted its data folder, so that
  // a campaign is allowed.
  bool AllInitialVotersFormed() const;

 private:
  std::vector<std::string> OtherVoters() const;

  Options options_;
  std::map<std::string, FormationResponse> responses_;
  std::optional<MonotonicTime> queried_at_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_FORMATION_H_
