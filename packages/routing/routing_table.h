#ifndef PACKAGES_ROUTING_ROUTING_TABLE_H_
#define PACKAGES_ROUTING_ROUTING_TABLE_H_

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"
#include "packages/routing/capacity_charge.h"
#include "packages/routing/owner_record.h"
#include "packages/routing/routing_message.h"
#include "packages/routing/selection.h"

namespace bramleyrail {

// The owners and targets of every service that are known to this instance.
// Readers on the request path take no lock; changes publish a new snapshot by
// RCU. Thread-safe.
class RoutingTable {
 public:
  struct Options {
    std::string instance;
    std::string failure_domain;
    std::string region;
    MonotonicClock clock = SystemMonotonicClock();
    uint64_t seed = 1;
    TargetPolicy choose_target = PowerOfTwoChoicesTargetPolicy();
    OwnerPolicy choose_owner = NearestPowerOfTwoChoicesOwnerPolicy();
  };

  explicit RoutingTable(Options options);

  // Sessions of local targets.

  // Fails with kConflict when the session number is not above the last one
  // known. A resent announcement of the live session counts as a renewal.
  Result<void> Announce(TargetAnnouncement announcement);
  // Fails with kNotFound when the target has no session on this instance,
  // kConflict when it has another session, and kFailedPrecondition when the
  // lease has expired. The target then announces itself with the next session
  // number.
  Result<std::shared_ptr<TargetSession>> Renew(std::string_view target,
                                               int64_t session,
                                               int64_t sequence,
                                               const WorkInProgress& work);
  // Ends the session, so that no more work is sent to the target. Idempotent.
  Result<void> Leave(std::string_view target, int64_t session);
  // Removes and returns the sessions whose lease has expired.
  std::vector<std::shared_ptr<TargetSession>> RemoveExpired();
  // Sets the drain flag of each session to `is_drained` of its target's name.
  void UpdateDrained(const std::function<bool(std::string_view)>& is_drained);

  // Selection.

  // Selects a local target and acquires capacity on it.
  std::optional<CapacityCharge> AcquireTarget(std::string_view service,
                                              WorkKind kind,
                                              std::string_view request_id);
  // Selects the instance to run the request, which may be the local one.
  // Instances in `excluded` are skipped.
  std::optional<OwnerCandidate> ChooseOwner(
      std::string_view service,
      WorkKind kind,
      Milliseconds remaining,
      const std::vector<std::string>& excluded);
  void MarkOwnerFull(std::string_view service, std::string_view instance);
  // True when any instance has announced a target of the service.
  bool IsServiceKnown(std::string_view service) const;

  // Outcomes of requests and watches. A failure may eject the target, provided
  // that at most half of the targets of its service are then ejected;
  // RecordFailure() returns the duration of the ejection.
  void RecordSuccess(TargetSession* session, Milliseconds latency);
  std::optional<Milliseconds> RecordFailure(TargetSession* session);

  // Summaries.
  TargetSummary Summary() const;
  void UpdateOwner(std::string_view instance, const TargetSummary& summary);

  // Local sessions, for metrics and explain requests.
  std::vector<std::shared_ptr<TargetSession>> Sessions() const;

 private:
  struct ServiceRoutes {
    std::vector<std::shared_ptr<TargetSession>> targets;
    std::vector<std::shared_ptr<OwnerRecord>> owners;
  };
  using Snapshot = absl::flat_hash_map<std::string, ServiceRoutes>;
  using OwnerRecords =
      absl::flat_hash_map<std::string, std::shared_ptr<OwnerRecord>>;

  void Publish() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  OwnerDistance DistanceTo(const TargetSummary& summary) const;
  // True when one more ejection would eject more than half of the service's
  // targets.
  bool IsEjectionLimitReached(std::string_view service, MonotonicTime now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // The local instance as an owner: computed from all targets, or estimated
  // from a sample of them.
  OwnerCandidate LocalCandidate(const ServiceRoutes& entry,
                                WorkKind kind,
                                MonotonicTime now) const;
  OwnerCandidate SampledLocalCandidate(const ServiceRoutes& entry,
                                       WorkKind kind,
                                       MonotonicTime now);
  OwnerCandidate EstimateLocalCandidate(
      std::span<const std::shared_ptr<TargetSession>> sample,
      size_t total,
      WorkKind kind,
      MonotonicTime now) const;

  const Options options_;
  RandomSource random_;
  RcuPointer<Snapshot> snapshot_;

  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, std::shared_ptr<TargetSession>> sessions_
      ABSL_GUARDED_BY(mutex_);
  // Highest session number seen of each target, also of those that left.
  absl::flat_hash_map<std::string, int64_t> session_numbers_
      ABSL_GUARDED_BY(mutex_);
  // By service, then by instance.
  absl::flat_hash_map<std::string, OwnerRecords> owners_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_ROUTING_TABLE_H_
