#include "packages/peer/fakes/call_log.h"

#include "packages/peer/fakes/peer_pair.h"

namespace bramleyrail {

PeerCallCallback CallLog::Callback(std::string call) {
  return [this, call = std::move(call)](
             const Result<std::vector<std::byte>>& answer) {
    const std::string_view outcome = answer.has_value()
                                         ? AsText(answer.value())
                                         : ErrorKindName(answer.error().kind);
    absl::MutexLock lock(&mutex_);
    outcomes_.emplace_back(call, outcome);
  };
}

std::vector<std::pair<std::string, std::string>> CallLog::outcomes() const {
  absl::MutexLock lock(&mutex_);
  return outcomes_;
}

std::string CallLog::WaitFor(std::string_view call) const {
  std::string found = "none";
  WaitUntil([&] {
    for (const auto& [name, outcome] : outcomes()) {
      if (name == call) {
        found = outcome;
        return true;
      }
    }
    return false;
  });
  return found;
}

}  // namespace bramleyrail
