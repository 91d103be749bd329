#ifndef PACKAGES_BRAMLEYRAILD_CONTROL_NETWORK_H_
#define PACKAGES_BRAMLEYRAILD_CONTROL_NETWORK_H_

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/bramleyraild/role_settings.h"
#include "packages/control/control.h"
#include "packages/peer/peer.h"

namespace bramleyrail {

// The peer network among control instances and gateways. It starts with the
// control instances of the settings and learns of others by their names, which
// contain their addresses. All threads may call it.
class ControlNetwork {
 public:
  static Result<std::unique_ptr<ControlNetwork>> Create(
      const RoleSettings& settings,
      size_t maximum_accepted_connections);

  PeerNetwork& network() { return *network_; }
  // Names of the other control instances that are known.
  std::vector<std::string> ControlInstances() const;
  // Dials a control instance that is not known yet.
  void Learn(std::string_view name);
  // The way of a relay through this network.
  LeaderRelay::Options RelayOptions(RelayOrigin from);
  // The own connection to a control instance is usable.
  bool IsConnected() const;

 private:
  explicit ControlNetwork(const RoleSettings& settings);

  const std::string own_name_;
  const uint16_t port_;
  std::unique_ptr<PeerNetwork> network_;
  mutable absl::Mutex mutex_;
  std::set<std::string, std::less<>> known_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_CONTROL_NETWORK_H_
