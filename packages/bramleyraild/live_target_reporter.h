#ifndef PACKAGES_BRAMLEYRAILD_LIVE_TARGET_REPORTER_H_
#define PACKAGES_BRAMLEYRAILD_LIVE_TARGET_REPORTER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "packages/base/base.h"
#include "packages/bramleyraild/settings.h"
#include "packages/operator/operator.h"
#include "packages/peer/peer.h"
#include "packages/routing/routing.h"

namespace bramleyrail {

// Lists the live target sessions of this instance and of all others.
class LiveTargetReporter {
 public:
  struct Options {
    Settings settings;
    // Sessions of the targets that announced themselves to this instance.
    std::function<std::vector<std::shared_ptr<TargetSession>>()> sessions;
    PeerNetwork* network = nullptr;  // Not owned.
    MonotonicClock clock = SystemMonotonicClock();
  };

  static std::unique_ptr<LiveTargetReporter> Create(Options options);

  // The answer to SurveyQuestion::kLiveTargets: CBOR.
  std::vector<std::byte> EncodeLocalTargets() const;

  // Waits for up to 500 ms; targets of instances that do not answer are
  // missing.
  std::vector<LiveTarget> CollectTargets() const;

 private:
  explicit LiveTargetReporter(Options options);

  std::vector<LiveTarget> LocalTargets() const;
  std::string StateOf(const TargetSession& session) const;

  const Options options_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_LIVE_TARGET_REPORTER_H_
