#ifndef PACKAGES_PLACEMENT_OWNER_CATALOG_H_
#define PACKAGES_PLACEMENT_OWNER_CATALOG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "packages/placement/fleet.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Properties of a service or batch job that placement uses.
struct OwnerProfile {
  TaskOwner owner;
  int64_t generation = 0;
  std::string team;
  int32_t task_kind = 0;
  CapacityClass capacity_class = CapacityClass::kBatch;
  Priority priority = Priority::kNormal;
  ResourceAmounts declared;
  std::vector<int32_t> failure_domains;  // Allowed failure domains; empty: all.
  bool checkpointable = false;
  bool cancelled = false;
};

// Caches the profiles of owners until their spec changes.
class OwnerCatalog {
 public:
  explicit OwnerCatalog(Fleet* fleet);

  // Returns nullptr when the owner no longer exists.
  std::shared_ptr<const OwnerProfile> Find(const ClusterState& state,
                                           const TaskOwner& owner);

 private:
  OwnerProfile MakeProfile(const Resource& resource);

  Fleet* fleet_;
  // Keyed by owner uid.
  absl::flat_hash_map<std::string, std::shared_ptr<const OwnerProfile>>
      profiles_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_OWNER_CATALOG_H_
