#ifndef PACKAGES_BRAMLEYRAILD_CONTROL_NETWORK_H_
#define PACKAGES_BRAMLEYRAILD_CONTROL_NETWORK_H_

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/bramleyraild/control_members.h"
#include "packages/bramleyraild/role_settings.h"
#include "packages/control/control.h"
#include "packages/peer/peer.h"

namespace bramleyrail {

// The peer network among control instances and gateways. It starts with the
// control instances of the settings and learns of others by their names, which
// contain their addresses. A control instance also learns of those that dial
// it; a gateway refuses these, since only the core itself may name its members.
// All threads may call it.
class ControlNetwork {
 public:
  static Result<std::unique_ptr<ControlNetwork>> Create(
      const RoleSettings& settings,
      size_t maximum_accepted_connections,
      size_t maximum_kept_bytes);

  PeerNetwork& network() { return *network_; }
  // Names of the other control instances that are known.
  std::vector<std::string> ControlInstances() const;
  // Dials a control instance that is not known yet, from now on.
  void Learn(std::string_view name);
  // Replaces the control instances of the settings, by IP address. Those that
  // are not known in another way are forgotten.
  void SetSeeds(std::span<const std::string> ips);
  // Replaces the members of the core that the leader listed.
  void SetListed(std::span<const std::string> names);
  // Replaces the leader that another control instance named.
  void SetNamedLeader(std::string_view name);
  // The way of a relay through this network.
  LeaderRelay::Options RelayOptions(RelayOrigin from);
  // The own connection to a control instance is usable.
  bool IsConnected() const;

 private:
  explicit ControlNetwork(const RoleSettings& settings);

  // Logs the change, dials the added instances and drops the removed ones.
  void Apply(const ControlMembers::Change& change, std::string_view source)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const std::string own_name_;
  const uint16_t port_;
  std::unique_ptr<PeerNetwork> network_;
  mutable absl::Mutex mutex_;
  ControlMembers members_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_CONTROL_NETWORK_H_
