#ifndef PACKAGES_CALLER_REQUEST_DISPATCHER_H_
#define PACKAGES_CALLER_REQUEST_DISPATCHER_H_

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "packages/caller/caller_request.h"
#include "packages/caller/capacity_queue.h"
#include "packages/caller/claim_manager.h"
#include "packages/caller/local_request_executor.h"
#include "packages/caller/peer_hooks.h"
#include "packages/caller/service_catalog.h"
#include "packages/routing/routing.h"

namespace bramleyrail {

// Runs the requests of callers. For each request it checks the concurrency
// limits, acquires the claim of a non-idempotent request, chooses an owner,
// runs the request on a local target or forwards it to the owner, and retries
// where that is safe. Blocking; thread-safe.
class RequestDispatcher {
 public:
  struct Options {
    std::string instance;
    uint64_t seed = 1;
    RoutingTable* table = nullptr;
    RequestTable* requests = nullptr;
    LocalRequestExecutor* local_executor = nullptr;
    ClaimManager* claims = nullptr;
    ServiceCatalog* catalog = nullptr;
    CapacityQueue* queue = nullptr;
    PeerHooks peers;
  };

  struct Counters {
    std::atomic<int64_t> accepted{0};
    std::atomic<int64_t> completed{0};
    std::atomic<int64_t> not_run{0};
    std::atomic<int64_t> outcome_unknown{0};
    std::atomic<int64_t> replayed{0};
    std::atomic<int64_t> retries{0};
    std::atomic<int64_t> forwarded{0};
  };

  explicit RequestDispatcher(Options options);

  CallerResponse Run(const CallerRequest& request);

  // Makes Run() refuse all further requests with RequestExecution::kNotRun.
  void RefuseNewRequests() { refusing_new_.store(true); }
  // Stops waiting for the responses of other instances.
  void Abort() { aborted_.store(true); }
  int64_t InProgress() const { return in_progress_.load(); }
  const Counters& counters() const { return counters_; }

 private:
  struct AttemptState;

  // Runs a request that is within the concurrency limits.
  CallerResponse AcquireClaimAndRun(const CallerRequest& request,
                                    const ServiceLimits& limits);
  // Runs a request that may be sent, and maintains its record in the request
  // table.
  CallerResponse RunAndRecord(const CallerRequest& request,
                              MonotonicTime deadline,
                              MonotonicTime capacity_deadline);
  // Runs a request and converts the outcome of its last attempt to a response.
  CallerResponse RunAndConvertOutcome(const CallerRequest& request,
                                      MonotonicTime deadline,
                                      MonotonicTime capacity_deadline);
  // Tries owners until one responds or no further attempt is allowed.
  ForwardedResponse RunWithRetries(const CallerRequest& request,
                                   AttemptState* attempts);
  ForwardedResponse RunAttempt(const CallerRequest& request,
                               const OwnerCandidate& owner,
                               Milliseconds remaining);
  ForwardedResponse Forward(const std::string& peer,
                            const ForwardedRequest& request);
  // Chooses an owner; waits for capacity if no owner has any.
  Result<OwnerCandidate> WaitForOwner(const CallerRequest& request,
                                      AttemptState* attempts);
  // Decides whether to retry after a failed attempt; if so, waits for the
  // backoff delay.
  bool PrepareRetry(const CallerRequest& request,
                    const ForwardedResponse& response,
                    AttemptState* attempts);
  void LogDecision(const CallerRequest& request,
                   const OwnerCandidate& owner,
                   int attempt,
                   Milliseconds remaining);
  CallerResponse Finish(const CallerRequest& request, CallerResponse response);
  void ResolveClaimOf(const CallerRequest& request,
                      Claim claim,
                      const CallerResponse& response);

  const Options options_;
  RandomSource random_;
  RetryBudget budget_;
  ConcurrencyLimits limits_;
  Counters counters_;
  std::atomic<bool> refusing_new_{false};
  std::atomic<bool> aborted_{false};
  std::atomic<int64_t> in_progress_{0};
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_REQUEST_DISPATCHER_H_
