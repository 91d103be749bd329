#ifndef PACKAGES_PEER_FAKES_HELD_ANSWERS_H_
#define PACKAGES_PEER_FAKES_HELD_ANSWERS_H_

#include <string>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/peer/peer_types.h"

namespace bramleyrail {

// A call handler that answers when the test says so.
class HeldAnswers {
 public:
  PeerCallHandler Handler();
  size_t size() const;
  // Waits for a call, then answers the one that came last with "answer to "
  // and its payload.
  void AnswerLast();
  // Waits for a call, then drops the one that came last without an answer.
  void DropLast();

 private:
  std::pair<std::string, PeerAnswer> TakeLast();

  mutable absl::Mutex mutex_;
  std::vector<std::pair<std::string, PeerAnswer>> held_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_FAKES_HELD_ANSWERS_H_
