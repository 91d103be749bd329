#ifndef PACKAGES_CONSENSUS_REPLICA_ID_H_
#define PACKAGES_CONSENSUS_REPLICA_ID_H_

#include <cstdint>
#include <string>
#include <tuple>

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

  bool operator==(const ReplicaId&) const = default;
  bool operator<(const ReplicaId& other) const {
    return std::tie(name, generation) < std::tie(other.name, other.generation);
  }

  // For example "entry-1.1".
  std::string ToString() const {
    return name + "." + std::to_string(generation);
  }
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_REPLICA_ID_H_
