#include "packages/bramleyraild/memory_budget.h"

#include <unistd.h>

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr int64_t kBytesInMb = 1'000'000;
// Code, threads and what libraries allocate at the start.
constexpr int64_t kReservedMb = 32;
// The largest heartbeat fits, with the copies that handling it takes.
constexpr int64_t kMinimumMb = 128;

// Shares of the rest, in percent. The allocator and growing buffers take up to
// twice what is counted. A gateway keeps nothing else.
constexpr int64_t kControlConnectionsPercent = 18;
constexpr int64_t kControlPeersPercent = 9;
constexpr int64_t kControlRelayedPercent = 9;
// Counts once, since the estimate includes copies.
constexpr int64_t kControlJobsPercent = 28;
constexpr int64_t kGatewayConnectionsPercent = 35;
constexpr int64_t kGatewayPeersPercent = 10;

}  // namespace

Result<MemoryBudget> MemoryBudget::Create(InstanceRole role,
                                          int64_t maximum_mb) {
  if (maximum_mb < kMinimumMb) {
    return MakeInvalidArgument(
        "the process may use too little memory",
        {{"maximum_memory_mb",
          absl::StrCat("must be at least ", kMinimumMb, ", not ", maximum_mb,
                       "; the memory of the machine counts too")}});
  }
  const auto share = [maximum_mb](int64_t percent) {
    return static_cast<size_t>((maximum_mb - kReservedMb) * kBytesInMb *
                               percent / 100);
  };
  MemoryBudget budget;
  if (role == InstanceRole::kControl) {
    budget.connections = share(kControlConnectionsPercent);
    budget.peers = share(kControlPeersPercent);
    budget.relayed = share(kControlRelayedPercent);
    budget.jobs = share(kControlJobsPercent);
  } else {
    budget.connections = share(kGatewayConnectionsPercent);
    budget.peers = share(kGatewayPeersPercent);
  }
  return budget;
}

int64_t UsableMemoryMb(int64_t configured) {
  const int64_t pages = sysconf(_SC_PHYS_PAGES);
  const int64_t page_bytes = sysconf(_SC_PAGESIZE);
  if (pages <= 0 || page_bytes <= 0) {
    return configured;
  }
  const int64_t machine = pages * page_bytes / kBytesInMb;
  return configured == 0 ? machine : std::min(configured, machine);
}

}  // namespace bramleyrail
