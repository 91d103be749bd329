#ifndef PACKAGES_BRAMLEYRAILD_DESCRIPTOR_BUDGET_H_
#define PACKAGES_BRAMLEYRAILD_DESCRIPTOR_BUDGET_H_

#include <cstddef>
#include <cstdint>

#include "packages/base/base.h"

namespace bramleyrail {

// Connections of platform probes and of scrapes are few.
inline constexpr size_t kReadyConnections = 32;
inline constexpr size_t kMetricsConnections = 16;

// How many descriptors each part of an instance may use, so that no part takes
// those of another one.
struct DescriptorBudget {
  size_t peers = 0;     // Accepted connections of other instances.
  size_t server = 0;    // Connections of callers, or of workers' heartbeats and
                        // of operators.
  size_t renewals = 0;  // Connections to workers for lease renewals.
  size_t orders = 0;    // Connections to workers for other orders.

  // Divides the descriptors that the process may use. kInvalidArgument when
  // there are too few to run with.
  static Result<DescriptorBudget> Create(int64_t maximum_descriptors);
  // The same for a gateway, which calls no workers.
  static Result<DescriptorBudget> CreateForGateway(int64_t maximum_descriptors);
};

// The descriptors that the process may open, by the limit of the machine and by
// the settings; a setting of 0 names none.
int64_t UsableDescriptors(int64_t configured);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_DESCRIPTOR_BUDGET_H_
