#ifndef PACKAGES_BRAMLEYRAILD_MEMORY_BUDGET_H_
#define PACKAGES_BRAMLEYRAILD_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>

#include "packages/base/base.h"
#include "packages/bramleyraild/role_settings.h"

namespace bramleyrail {

// How many bytes others may make each part of a process keep, so that no part
// takes those of another one or of the process itself. All parts but `jobs`
// count what they keep at the moment.
struct MemoryBudget {
  size_t connections = 0;  // HTTP connections of all listeners.
  size_t peers = 0;        // Accepted connections of other instances.
  size_t relayed = 0;      // Requests that other instances have relayed.
  // Accepted jobs, by the estimate of QueueState::job_bytes().
  size_t jobs = 0;

  // Divides the memory that the process may use. kInvalidArgument when there is
  // too little to run with.
  static Result<MemoryBudget> Create(InstanceRole role, int64_t maximum_mb);
};

// The memory that the process may use, by that of the machine and by the
// settings; a setting of 0 names none.
int64_t UsableMemoryMb(int64_t configured);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_MEMORY_BUDGET_H_
