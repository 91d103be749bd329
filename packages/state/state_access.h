#ifndef PACKAGES_STATE_STATE_ACCESS_H_
#define PACKAGES_STATE_STATE_ACCESS_H_

#include <functional>
#include <optional>

#include "packages/state/cluster_state.h"

namespace bramleyrail {

// An instance's knowledge counts as fresh up to this age; see "Freshness" in
// docs/design.md.
inline constexpr Milliseconds kFreshnessLimit{1500};

// Hooks through which the edges reach the replicated state. The entry instance
// binds them to its replica; tests bind them to a local ClusterState.
struct StateAccess {
  using ProposeCallback = std::function<void(Result<CommandOutcome>)>;

  // Proposes a command from any instance. The callback runs once, on another
  // thread: kUnavailable means certainly not applied, kOutcomeUnknown means
  // that it may still be applied.
  std::function<void(Command, ProposeCallback)> propose;

  // Calls the function with the state under a reader lock. Keep it short.
  std::function<void(const std::function<void(const ClusterState&)>&)> read;

  // Age of the local state, or nullopt when it has never been fresh.
  std::function<std::optional<Milliseconds>()> state_age;

  // Blocks until the revision is newer than the given one or the time is up;
  // returns the current revision.
  std::function<int64_t(int64_t after_revision, Milliseconds timeout)>
      wait_for_revision;

  // Proposes and blocks for the outcome; kOutcomeUnknown when the time is up.
  Result<CommandOutcome> ProposeAndWait(Command command,
                                        Milliseconds timeout) const;
  bool IsFresh() const;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_STATE_ACCESS_H_
