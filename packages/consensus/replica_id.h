#ifndef PACKAGES_CONSENSUS_REPLICA_ID_H_
#define PACKAGES_CONSENSUS_REPLICA_ID_H_

#include <compare>
#include <cstdint>
#include <string>

namespace bramleyrail {

// Generation of the replicas that formed the cluster.
inline constexpr uint64_t kFirstGeneration = 1;
// Addresses whichever generation runs under a name.
inline constexpr uint64_t kAnyGeneration = 0;

// A replica: the name of its instance and the generation that was created when
// its folder was formatted. A replica that lost its disk gets a new generation,
// so votes given under the old one can never be given again.
struct ReplicaId {
  std::string name;
  uint64_t generation = kAnyGeneration;

  auto operator<=>(const ReplicaId&) const = default;
  bool operator==(const ReplicaId&) const = default;

  // For example "entry-1.1".
  std::string ToString() const {
    return name + "." + std::to_string(generation);
  }
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_REPLICA_ID_H_
