#ifndef PACKAGES_CONSENSUS_CONFIGURATION_H_
#define PACKAGES_CONSENSUS_CONFIGURATION_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "packages/base/base.h"
#include "packages/consensus/replica_id.h"

namespace bramleyrail {

// One step of a membership change: it adds or removes one replica.
struct MembershipChange {
  enum class Kind { kAddLearner, kPromoteLearner, kRemove };
  Kind kind = Kind::kAddLearner;
  ReplicaId replica;
};

// The replicas that store the log; observers are not included. The voters are
// in the order in which they were added.
struct Configuration {
  std::vector<ReplicaId> voters;
  std::vector<ReplicaId> learners;

  bool operator==(const Configuration&) const = default;

  bool IsVoter(const ReplicaId& id) const;
  bool IsLearner(const ReplicaId& id) const;
  bool Contains(const ReplicaId& id) const;
  size_t Quorum() const { return voters.size() / 2 + 1; }

  // Returns the configuration after the change, or kConflict when the change
  // does not apply to it.
  Result<Configuration> With(const MembershipChange& change) const;

  std::vector<std::byte> Encode() const;
  static Result<Configuration> Decode(std::span<const std::byte> data);
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_CONFIGURATION_H_
