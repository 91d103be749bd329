#include "packages/consensus/formation.h"

#include <algorithm>
#include <utility>

namespace bramleyrail {

namespace {

constexpr Milliseconds kQueryInterval{200};

}  // namespace

Formation::Formation(Options options) : options_(std::move(options)) {}

std::vector<std::string> Formation::Tick(MonotonicTime now) {
  if (AllInitialVotersFormed() ||
      (queried_at_ && now - *queried_at_ < kQueryInterval)) {
    return {};
  }
  queried_at_ = now;
  return OtherVoters();
}

void Formation::Receive(const std::string& peer,
                        const FormationResponse& response) {
  // A response to an earlier process of this instance may have been sent before
  // a vote that the earlier process gave and this one does not know of.
  if (response.nonce == options_.nonce) {
    responses_[peer] = response;
  }
}

Formation::Decision Formation::Decide() const {
  const auto has_history = [](const auto& item) {
    return item.second.term > 0 || item.second.last_index > 0;
  };
  if (std::any_of(responses_.begin(), responses_.end(), has_history)) {
    return Decision::kJoin;
  }
  const std::vector<std::string>& voters = options_.initial_voters;
  if (std::find(voters.begin(), voters.end(), options_.name) == voters.end()) {
    return Decision::kJoin;
  }
  for (const std::string& voter : OtherVoters()) {
    if (!responses_.contains(voter)) {
      return Decision::kWait;
    }
  }
  return Decision::kForm;
}

bool Formation::AllInitialVotersFormed() const {
  const std::vector<std::string> others = OtherVoters();
  return std::all_of(
      others.begin(), others.end(), [this](const std::string& voter) {
        const auto position = responses_.find(voter);
        return position != responses_.end() && position->second.formed;
      });
}

std::vector<std::string> Formation::OtherVoters() const {
  std::vector<std::string> others = options_.initial_voters;
  std::erase(others, options_.name);
  return others;
}

}  // namespace bramleyrail
