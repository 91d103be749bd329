#ifndef PACKAGES_DISPATCH_TRACKED_WORKER_H_
#define PACKAGES_DISPATCH_TRACKED_WORKER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "packages/dispatch/best_effort_estimate.h"
#include "packages/dispatch/planned_start.h"
#include "packages/dispatch/tracked_account.h"
#include "packages/dispatch/worker_order.h"

namespace bramleyrail {

enum class RunPhase { kStarting, kRunning, kStopping };

// Phase of a best-effort run. In a busy phase the run uses the processor time
// that it requested and raises the tail latency of neighbouring runs; in a
// light phase it uses clearly less.
enum class BestEffortPhase { kBusy, kLight };

using RunKey = std::pair<TaskName, uint64_t>;

// A run that started less than this time before its worker crashed may have
// caused the crash.
inline constexpr Milliseconds kCrashAttributionTime{3'000};

// Until when a worker may execute the start orders of a run.
struct StartValidity {
  int64_t until_ms = 0;  // On the worker's clock.
  MonotonicTime until;   // On the leader's clock, at the earliest.
};

// A run that is, or may be, active on a worker.
struct TrackedRun {
  RunPhase phase = RunPhase::kStarting;
  // Null when the job is not open; otherwise it keeps `step` valid.
  std::shared_ptr<const QueuedJob> job;
  const JobStep* step = nullptr;
  ResourceAmounts reserved;
  // Counts the run against the account of its job; null: none is counted.
  std::shared_ptr<const AccountCharge> charge;
  MonotonicTime started;  // Or taken over from an earlier leader.
  // By a high estimate, when the run began; without use for a long-running one.
  MonotonicTime expected_end;
  // Recorded by an earlier leader; whether it has ordered the start is unknown.
  bool from_earlier_leader = false;
  // The worker gets no other run while this one may crash it.
  bool isolated = false;
  MonotonicTime last_order_sent;  // The last start or stop order.
  int orders_sent = 0;
  bool order_in_flight = false;
  // The same for all start orders of the run. nullopt: none was sent, or not to
  // this incarnation of the worker.
  std::optional<StartValidity> start_validity;
  // When the worker confirmed the last start or stop order, or first reported
  // the run as running.
  std::optional<MonotonicTime> confirmed;
  // This incarnation of the worker confirmed a start order of the run.
  bool start_confirmed = false;
  // A list of this incarnation of the worker has named the run.
  bool listed = false;
  uint64_t list_number = 0;  // Of the last list that named the run.
  // Kept for retries of the start order.
  std::shared_ptr<const JsonText> payload;
  std::string checkpoint;  // The run starts from it; empty: none.
  int64_t progress_percent = 0;
  MonotonicTime progress_changed;
  // Percent of the requested processor time that the run may use: as ordered,
  // and as last confirmed by the worker.
  int64_t cpu_limit_percent = 100;
  int64_t confirmed_cpu_limit_percent = 100;
  bool cpu_limit_in_flight = false;
  MonotonicTime cpu_limit_changed;
  std::optional<int64_t> measurement;  // See ReportedRun.
  BestEffortPhase best_effort_phase = BestEffortPhase::kBusy;
  // Since when IsOverTarget() has been true; nullopt while it is false.
  std::optional<MonotonicTime> over_target_since;
};

// Whether a later incarnation of the worker may have executed a start order of
// the run, or may still do so. An order names only the id of the worker, and it
// may be executed seconds after it was sent.
bool MayRunOnLaterIncarnation(const TrackedRun& run);

// The leader's check, after all leases of a worker have expired, whether the
// worker still responds.
struct ExpiryCheck {
  MonotonicTime noticed;  // When the leader first noticed the expiry.
  // Lease renewals that were due after that and have failed.
  int failed_renewals = 0;
  // They show that the worker does not respond, or only without its lists.
  bool unanswered = false;
};

// A run that was on a worker whose process has ended, or may have.
struct PossibleCrash {
  FinishedRun run;
  // The run started shortly before the end.
  bool is_recent = false;
  // The worker is known to have executed the start order.
  bool has_begun = false;
};

// The leader's record of one incarnation of a worker.
class TrackedWorker {
 public:
  explicit TrackedWorker(WorkerRegistration registration);

  const WorkerRegistration& registration() const { return registration_; }
  WorkerAddress Address() const;
  // Stores a changed registration of the same incarnation.
  void Update(const WorkerRegistration& registration);
  const std::string& rack() const { return rack_; }

  // Clock and lease ----------------------------------------------------------
  void ObserveClock(int64_t clock_ms, MonotonicTime received);
  bool has_clock() const { return clock_.has_value(); }
  // Returns the end of a lease of this length on the worker's clock, or nullopt
  // while the clock is not known. The worker is assumed to hold the lease from
  // now on.
  std::optional<int64_t> GrantLease(Milliseconds lease, MonotonicTime now);
  // Grants a lease by the start orders of a run. nullopt as above.
  std::optional<StartValidity> GrantStartLease(Milliseconds lease,
                                               MonotonicTime now);
  // Assumes that the worker may hold a lease until this time that an earlier
  // leader granted, or that was meant for an earlier incarnation.
  void AssumeLease(MonotonicTime until) { assumed_until_ = until; }
  // After this time, all leases that were granted or assumed have expired.
  // nullopt when there is none.
  std::optional<MonotonicTime> LeaseDeadline() const;
  // Whether this leader has granted a lease.
  bool has_lease() const { return granted_until_ms_.has_value(); }

  // Runs ---------------------------------------------------------------------
  TrackedRun& AddRun(const RunKey& key, TrackedRun run);
  void RemoveRun(const RunKey& key);
  TrackedRun* FindRun(const RunKey& key);
  const TrackedRun* FindRun(const RunKey& key) const;
  std::map<RunKey, TrackedRun>& runs() { return runs_; }
  const std::map<RunKey, TrackedRun>& runs() const { return runs_; }
  const ResourceAmounts& reserved() const { return reserved_; }
  // The part of `reserved` that long-running runs take.
  const ResourceAmounts& reserved_for_long() const {
    return reserved_for_long_;
  }
  // Whether a run is active whose job is not open, and which therefore is not
  // part of `reserved`.
  bool HasRunOfUnknownSize() const { return runs_of_unknown_size_ > 0; }
  // Processor time that the best-effort runs request.
  int64_t best_effort_processor_millis() const {
    return best_effort_processor_millis_;
  }
  int64_t CountRunsOfStep(const SharedText& job,
                          int64_t occurrence,
                          int64_t step) const;
  // Whether a run started so recently that it may still crash the worker.
  bool HasRecentRun(MonotonicTime now) const;
  // Reset when the runs or their measurements change.
  std::optional<BestEffortEstimate> best_effort_estimate;
  // When a best-effort run last started, ended or got another CPU limit.
  // Measurements from before this time do not describe the current runs.
  MonotonicTime best_effort_changed;
  // When a CPU limit was last lowered or a run was last moved away.
  MonotonicTime cpu_limit_lowered;

  bool in_other_region = false;  // In another region than the leader.

  // Contact ------------------------------------------------------------------
  // The worker reported its runs to this leader, or is known to have none from
  // an earlier leader.
  bool contacted = false;
  // The last renewal has no outcome yet.
  bool renewal_in_flight = false;
  MonotonicTime last_response;
  MonotonicTime next_renewal;
  MonotonicTime last_renewal_sent;
  // Set while there may be runs and all leases have expired.
  std::optional<ExpiryCheck> expiry_check;
  // Whether runs of earlier leaders are known, or known to have ended.
  bool earlier_runs_resolved() const {
    return contacted || (expiry_check && expiry_check->unanswered);
  }
  int failed_renewals = 0;
  // When the worker last responded after a failed renewal.
  std::optional<MonotonicTime> returned;
  uint64_t list_number = 0;  // Counts the lists of running runs.
  // The registration was withdrawn, but runs may still be active.
  bool deregistered = false;
  MonotonicTime deregistered_since;
  // Highest numbers of the finished runs that were received, and that are
  // durable and may be acknowledged to the worker.
  int64_t received_through = 0;
  int64_t acknowledged_through = 0;
  // No later finished run is acknowledged while an unreadable end may be that
  // of a run whose result counts.
  std::optional<int64_t> acknowledgement_limit;
  // The worker gets no further lease, because its lists cannot be read
  // completely and do not show whether some run has ended.
  bool lease_withheld = false;
  bool has_unresolved_lists() const {
    return lease_withheld || acknowledgement_limit.has_value();
  }
  // Received finished runs are not durable yet.
  bool awaiting_durability = false;
  // Earliest time to look for orders without a response again.
  MonotonicTime next_order_check;
  // The worker gets no new runs before this time.
  MonotonicTime avoid_until;
  int consecutive_failures = 0;
  // After several consecutive failures, the worker gets new runs before this
  // time only as a last resort. See WorkerSelector::FindEligible().
  MonotonicTime failing_until;
  // The worker gets no new runs beside one that may crash it.
  MonotonicTime isolated_until;
  // The worker gets no further task under which a worker has crashed: a crash
  // would count against both again.
  MonotonicTime suspect_until;
  // See StartPlanner.
  std::optional<PlannedStart> planned_start;
  // Crashes that count if this incarnation turns out to have ended: of runs
  // that were lost since the last response.
  std::vector<PossibleCrash> possible_crashes;
  bool crash_recorded = false;
  // The worker refuses connections, and these runs are suspected for that.
  bool crash_suspected = false;
  std::vector<PossibleCrash> suspected_runs;

 private:
  void UpdateReserved(const TrackedRun& run, int64_t sign);

  WorkerRegistration registration_;
  std::string rack_;
  // The worker's clock in milliseconds, and when it was received.
  std::optional<std::pair<int64_t, MonotonicTime>> clock_;
  std::optional<int64_t> granted_until_ms_;
  std::optional<MonotonicTime> assumed_until_;
  std::map<RunKey, TrackedRun> runs_;
  ResourceAmounts reserved_;
  ResourceAmounts reserved_for_long_;
  int64_t runs_of_unknown_size_ = 0;
  int64_t best_effort_processor_millis_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_TRACKED_WORKER_H_
