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

// The owners and targets of every service as this instance knows them. Readers
// on the request path take no lock; changes publish a new snapshot by RCU.
class RoutingTable {
 public:
  struct Options {
    std::string instance;
    std::string failure_domain;
    std::string region;
    MonotonicClock clock = SystemMonotonicClock();
    uint64_t seed = 1;
    TargetPolicy choose_target = BetterOfTwoTargets();
    OwnerPolicy choose_owner = NearestBetterOfTwoOwners();
  };

  explicit RoutingTable(Options options);

  // Sessions of own targets.

  // kConflict when the session number is not newer than the last one known;
  // a resend of the live session's announcement counts as a renewal.
  Result<void> Announce(TargetAnnouncement announcement);
  // kNotFound when the target has no session here, kConflict when it has
  // another one, kFailedPrecondition when the lease has run out: the target
  // then announces itself with the next session number.
  Result<std::shared_ptr<TargetSession>> Renew(std::string_view target,
                                               int64_t session,
                                               int64_t sequence,
                                               const WorkInProgress& work);
  // Nothing is sent to the target from now on. Idempotent.
  Result<void> Leave(std::string_view target, int64_t session);
  // Removes sessions whose lease has run out and returns them.
  std::vector<std::shared_ptr<TargetSession>> RemoveExpired();
  // Sets the drain flag of every session by the target's name.
  void UpdateDrained(const std::function<bool(std::string_view)>& is_drained);

  // Selection.

  // Chooses a target of this instance and takes capacity on it.
  std::optional<CapacityCharge> AcquireTarget(std::string_view service,
                                              WorkKind kind,
                                              std::string_view request_id);
  // Chooses the instance to run the request; the own one included. Instances
  // in `excluded` are left out.
  std::optional<OwnerCandidate> ChooseOwner(
      std::string_view service,
      WorkKind kind,
      Milliseconds remaining,
      const std::vector<std::string>& excluded);
  void MarkOwnerFull(std::string_view service, std::string_view instance);
  // True when any instance has announced a target of the service.
  bool IsServiceKnown(std::string_view service) const;

  // Outcomes. A failure may eject the target, as long as at most half of its
  // service's targets are ejected; returns the duration of the ejection.
  void RecordSuccess(TargetSession* session, Milliseconds latency);
  std::optional<Milliseconds> RecordFailure(TargetSession* session);

  // Summaries.
  TargetSummary Summary() const;
  void UpdateOwner(std::string_view instance, const TargetSummary& summary);

  // Own sessions, for metrics and explain.
  std::vector<std::shared_ptr<TargetSession>> Sessions() const;

 private:
  struct ServiceEntry {
    std::vector<std::shared_ptr<TargetSession>> targets;
    std::vector<std::shared_ptr<OwnerRecord>> owners;
  };
  using Snapshot = absl::flat_hash_map<std::string, ServiceEntry>;
  using OwnerRecords =
      absl::flat_hash_map<std::string, std::shared_ptr<OwnerRecord>>;

  void Publish() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  OwnerDistance DistanceTo(const TargetSummary& summary) const;
  // True when half of the service's targets are ejected already.
  bool IsEjectionLimitReached(std::string_view service, MonotonicTime now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // The instance itself as an owner: exact, or estimated from some targets.
  OwnerCandidate OwnCandidate(const ServiceEntry& entry,
                              WorkKind kind,
                              MonotonicTime now) const;
  OwnerCandidate SampledOwnCandidate(const ServiceEntry& entry,
                                     WorkKind kind,
                                     MonotonicTime now);
  OwnerCandidate Estimate(
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
