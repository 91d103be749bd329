#ifndef PACKAGES_STATE_STATE_ACCESS_H_
#define PACKAGES_STATE_STATE_ACCESS_H_

#include <functional>
#include <optional>

#include "packages/state/cluster_state.h"

namespace bramleyrail {

// Maximum age up to which the local state of an instance counts as fresh; see
// "Freshness" in docs/design.md.
inline constexpr Milliseconds kMaximumFreshStateAge{1500};

// Functions through which request handlers access the replicated state. An
// instance binds them to its replica, tests to a local ClusterState.
struct StateAccess {
  using ProposeCallback = std::function<void(Result<CommandOutcome>)>;

  // Proposes a command; works on any instance, leader or not. The callback runs
  // once, on another thread. kUnavailable: the command is not applied and will
  // not be. kOutcomeUnknown: the command may still be applied.
  std::function<void(Command, ProposeCallback)> propose;

  // Calls the function with the state under a reader lock. The function must be
  // short.
  std::function<void(const std::function<void(const ClusterState&)>&)> read;

  // Age of the local state; nullopt when it has never been fresh.
  std::function<std::optional<Milliseconds>()> state_age;

  // Blocks until the revision is newer than `after_revision`, or until the
  // timeout. Returns the current revision.
  std::function<int64_t(int64_t after_revision, Milliseconds timeout)>
      wait_for_revision;

  // Proposes the command and blocks until its outcome is known; kOutcomeUnknown
  // after the timeout.
  Result<CommandOutcome> ProposeAndWait(Command command,
                                        Milliseconds timeout) const;
  bool IsFresh() const;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_STATE_ACCESS_H_
