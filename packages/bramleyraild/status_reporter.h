#ifndef PACKAGES_BRAMLEYRAILD_STATUS_REPORTER_H_
#define PACKAGES_BRAMLEYRAILD_STATUS_REPORTER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"
#include "packages/bramleyraild/settings.h"
#include "packages/operator/operator.h"
#include "packages/peer/peer.h"
#include "packages/replication/replication.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Tells the status of this instance to the others, and collects theirs.
class StatusReporter {
 public:
  struct Options {
    Settings settings;
    StateAccess state;
    std::function<ReplicaStatus()> replica_status;
    PeerNetwork* network = nullptr;  // Not owned.
    MonotonicClock clock = SystemMonotonicClock();
  };

  static std::unique_ptr<StatusReporter> Create(Options options);

  // The answer to a call on the status channel.
  std::vector<std::byte> EncodeLocalStatus() const;

  // Asks all peers at once and waits for up to 500 ms. Instances that do not
  // answer are reported as of their last answer.
  std::vector<InstanceStatus> CollectStatuses();

 private:
  using StatusByName = std::map<std::string, InstanceStatus, std::less<>>;

  explicit StatusReporter(Options options);

  InstanceStatus LocalStatus() const;
  StatusByName AskStatuses() const;
  InstanceStatus PeerEntry(const PeerSettings& peer,
                           const StatusByName& answers,
                           const std::vector<PeerStatus>& contacts);

  const Options options_;
  absl::Mutex mutex_;
  StatusByName last_answers_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_STATUS_REPORTER_H_
