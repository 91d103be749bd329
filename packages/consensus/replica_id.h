#ifndef PACKAGES_CONSENSUS_REPLICA_ID_H_
#define PACKAGES_CONSENSUS_REPLICA_ID_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace bramleyrail {

// Generation of the replicas that formed the cluster. A replica that joins
// later gets a higher one.
inline constexpr uint64_t kFirstGeneration = 1;
// As the destination of a message: any generation of the named instance.
inline constexpr uint64_t kAnyGeneration = 0;

// Identifies a replica by the name of its instance and the generation that was
// created when its data folder was formatted. A replica that lost its disk gets
// a new generation, so it cannot vote again in a term in which it voted under
// the old one.
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
