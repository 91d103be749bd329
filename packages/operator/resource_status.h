#ifndef PACKAGES_OPERATOR_RESOURCE_STATUS_H_
#define PACKAGES_OPERATOR_RESOURCE_STATUS_H_

#include <string>
#include <vector>

#include "packages/state/state.h"

namespace bramleyrail {

Json AmountsToJson(const ResourceAmounts& amounts);

// Drained resources that make this worker, rack, failure domain or target
// drained, such as "failure_domain/south"; empty when it is not.
std::vector<std::string> DrainedBy(const ClusterState& state,
                                   const Resource& resource);

// The "status" of a resource, as far as the replicated state knows it.
Json StatusOf(const ClusterState& state, const Resource& resource);

// ResourceToJson() with "status".
Json ResourceWithStatus(const ClusterState& state, const Resource& resource);

}  // namespace bramleyrail

#endif  // PACKAGES_OPERATOR_RESOURCE_STATUS_H_
