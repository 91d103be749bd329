#ifndef PACKAGES_PEER_FAKES_CALL_LOG_H_
#define PACKAGES_PEER_FAKES_CALL_LOG_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/peer/peer_types.h"

namespace bramleyrail {

// Keeps the outcomes of calls: the text of the answer, or the name of the kind
// of the error.
class CallLog {
 public:
  PeerCallCallback Callback(std::string call);

  // Of the calls that have ended, in that order, with the names of the calls.
  std::vector<std::pair<std::string, std::string>> outcomes() const;
  // Waits for the outcome of a call.
  std::string WaitFor(std::string_view call) const;

 private:
  mutable absl::Mutex mutex_;
  std::vector<std::pair<std::string, std::string>> outcomes_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_FAKES_CALL_LOG_H_
