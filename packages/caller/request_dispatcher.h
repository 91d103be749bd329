#ifndef PACKAGES_CALLER_REQUEST_DISPATCHER_H_
#define PACKAGES_CALLER_REQUEST_DISPATCHER_H_

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "packages/caller/caller_request.h"
#include "packages/caller/capacity_queue.h"
#include "packages/caller/claim_keeper.h"
#include "packages/caller/owner_runner.h"
#include "packages/caller/peer_hooks.h"
#include "packages/caller/service_catalog.h"
#include "packages/routing/routing.h"

namespace bramleyrail {

// Runs a request of a caller: limits, claim, selection of the owner, local run
// or forwarding, retries, answer. Blocking; any thread may call it.
class RequestDispatcher {
 public:
  struct Options {
    std::string instance;
    uint64_t seed = 1;
    RoutingTable* table = nullptr;
    RequestTable* requests = nullptr;
    OwnerRunner* runner = nullptr;
    ClaimKeeper* claims = nullptr;
    ServiceCatalog* catalog = nullptr;
    CapacityQueue* queue = nullptr;
    PeerHooks peers;
  };

  struct Counters {
    std::atomic<int64_t> accepted{0};
    std::atomic<int64_t> answered{0};
    std::atomic<int64_t> not_run{0};
    std::atomic<int64_t> outcome_unknown{0};
    std::atomic<int64_t> replayed{0};
    std::atomic<int64_t> retries{0};
    std::atomic<int64_t> forwarded{0};
  };

  explicit RequestDispatcher(Options options);

  CallerAnswer Run(const CallerRequest& request);

  // From now on, requests are refused as not run.
  void RefuseNew() { refusing_.store(true); }
  // Gives up the requests that wait for other instances.
  void Abort() { aborted_.store(true); }
  int64_t InProgress() const { return in_progress_.load(); }
  const Counters& counters() const { return counters_; }

 private:
  struct Attempts;

  CallerAnswer RunAccepted(const CallerRequest& request,
                           const ServiceLimits& limits);
  // Runs a request that may be sent, and keeps its record.
  CallerAnswer RunClaimed(const CallerRequest& request,
                          MonotonicTime deadline,
                          MonotonicTime wait_until);
  CallerAnswer RunRecorded(const CallerRequest& request,
                           MonotonicTime deadline,
                           MonotonicTime wait_until);
  // Tries owners until one answers or no further attempt is allowed.
  ForwardedAnswer RunAttempts(const CallerRequest& request, Attempts* attempts);
  ForwardedAnswer RunOnce(const CallerRequest& request,
                          const OwnerCandidate& owner,
                          Milliseconds remaining);
  ForwardedAnswer Forward(const std::string& peer,
                          const ForwardedRequest& request);
  // Chooses an owner, waiting for capacity if need be.
  Result<OwnerCandidate> WaitForOwner(const CallerRequest& request,
                                      Attempts* attempts);
  bool MayRetry(const CallerRequest& request,
                const ForwardedAnswer& answer,
                Attempts* attempts);
  void LogDecision(const CallerRequest& request,
                   const OwnerCandidate& owner,
                   int attempt,
                   Milliseconds remaining);
  CallerAnswer Finish(const CallerRequest& request, CallerAnswer answer);
  void ResolveClaimOf(const CallerRequest& request,
                      Claim claim,
                      const CallerAnswer& answer);

  const Options options_;
  RandomSource random_;
  RetryBudget budget_;
  ConcurrencyLimits limits_;
  Counters counters_;
  std::atomic<bool> refusing_{false};
  std::atomic<bool> aborted_{false};
  std::atomic<int64_t> in_progress_{0};
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_REQUEST_DISPATCHER_H_
