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
  uint64_t nonce = 0;  // Drawn by this process; the answer repeats it.
};

struct FormationAnswer {
  uint64_t nonce = 0;
  bool formed = false;  // The answering replica has formatted its folder.
  Term term = 0;
  LogIndex last_index = 0;
};

// Decides whether an empty folder starts a new cluster or joins one, and when
// the first campaign is allowed. Pure: the caller sends the queries.
class Formation {
 public:
  enum class Decision {
    kWait,
    kForm,  // Format the folder with the first generation.
    kJoin,  // Format it with a new generation, and join as a learner.
  };

  struct Options {
    std::string name;
    std::vector<std::string> initial_voters;
    uint64_t nonce = 0;
  };

  explicit Formation(Options options);

  // Returns the peers to query now; empty when nothing is due.
  std::vector<std::string> Tick(MonotonicTime now);
  FormationQuery Query() const { return {options_.nonce}; }
  void Receive(const std::string& peer, const FormationAnswer& answer);

  // What to do with an empty folder.
  Decision Decide() const;
  // Every other initial voter has formed, so a campaign is allowed.
  bool AllFormed() const;

 private:
  std::vector<std::string> OtherVoters() const;

  Options options_;
  std::map<std::string, FormationAnswer> answers_;
  std::optional<MonotonicTime> queried_at_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_FORMATION_H_
