#include "packages/bramleyraild/peer_survey.h"

#include <memory>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kAskTimeout{500};

// Shared with callbacks that may run after the survey has ended.
struct Collection {
  absl::Mutex mutex;
  size_t outstanding ABSL_GUARDED_BY(mutex) = 0;
  SurveyAnswers answers ABSL_GUARDED_BY(mutex);

  bool Complete() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    return outstanding == 0;
  }
};

}  // namespace

SurveyAnswers AskPeers(PeerNetwork* network,
                       const std::vector<PeerSettings>& peers,
                       SurveyQuestion question) {
  auto collection = std::make_shared<Collection>();
  {
    absl::MutexLock lock(&collection->mutex);
    collection->outstanding = peers.size();
  }
  const std::byte payload{static_cast<unsigned char>(question)};
  for (const PeerSettings& peer : peers) {
    network->Call(
        peer.name, PeerChannel::kStatus, {&payload, 1}, kAskTimeout,
        [collection, name = peer.name](Result<std::vector<std::byte>> answer) {
          absl::MutexLock lock(&collection->mutex);
          --collection->outstanding;
          if (answer) {
            collection->answers[name] = std::move(answer).value();
          }
        });
  }
  absl::MutexLock lock(&collection->mutex);
  collection->mutex.AwaitWithTimeout(
      absl::Condition(collection.get(), &Collection::Complete),
      absl::FromChrono(kAskTimeout));
  return collection->answers;
}

}  // namespace bramleyrail
