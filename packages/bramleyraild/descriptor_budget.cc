#include "packages/bramleyraild/descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

// Data files, the log, listening sockets and what libraries open. The users'
// platform keeps 200 of a process's descriptors for files.
constexpr int64_t kReservedDescriptors = 256;
constexpr int64_t kMinimumDescriptors = 512;
// Shares of the rest, in percent; orders get what is left. A leader holds a
// connection to each worker for its lease renewals. Orders need further ones,
// and a worker without an idle one costs a round trip and the connection of
// another worker. Heartbeats come every second or two, and a full server closes
// the connection that is idle for longest.
constexpr int64_t kPeersPercent = 10;
constexpr int64_t kServerPercent = 14;
constexpr int64_t kRenewalsPercent = 28;

// Only control instances dial a gateway.
constexpr int64_t kGatewayPeers = 64;
// More callers than this would only wait for the processor.
constexpr int64_t kMaximumCallers = 2'000;

Result<void> CheckMinimum(int64_t maximum_descriptors) {
  if (maximum_descriptors < kMinimumDescriptors) {
    return MakeInvalidArgument(
        "the process may open too few descriptors",
        {{"maximum_descriptors",
          absl::StrCat("must be at least ", kMinimumDescriptors, ", not ",
                       maximum_descriptors,
                       "; the limit of the machine (ulimit -n) counts too")}});
  }
  return Success();
}

}  // namespace

Result<DescriptorBudget> DescriptorBudget::Create(int64_t maximum_descriptors) {
  TRY(CheckMinimum(maximum_descriptors));
  const int64_t rest = maximum_descriptors - kReservedDescriptors;
  DescriptorBudget budget;
  budget.peers = static_cast<size_t>(rest * kPeersPercent / 100);
  budget.server = static_cast<size_t>(rest * kServerPercent / 100);
  budget.renewals = static_cast<size_t>(rest * kRenewalsPercent / 100);
  budget.orders = static_cast<size_t>(rest) - budget.peers - budget.server -
                  budget.renewals;
  return budget;
}

Result<DescriptorBudget> DescriptorBudget::CreateForGateway(
    int64_t maximum_descriptors) {
  TRY(CheckMinimum(maximum_descriptors));
  const int64_t rest = maximum_descriptors - kReservedDescriptors -
                       kGatewayPeers - static_cast<int64_t>(kReadyConnections) -
                       static_cast<int64_t>(kMetricsConnections);
  return DescriptorBudget{
      .peers = static_cast<size_t>(kGatewayPeers),
      .server = static_cast<size_t>(std::min(rest, kMaximumCallers))};
}

int64_t UsableDescriptors(int64_t configured) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return configured;
  }
  const auto allowed = static_cast<int64_t>(limit.rlim_cur);
  return configured == 0 ? allowed : std::min(configured, allowed);
}

}  // namespace bramleyrail
