#ifndef PACKAGES_DISPATCH_WORKER_TRACK_H_
#define PACKAGES_DISPATCH_WORKER_TRACK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "packages/dispatch/spare_outlook.h"
#include "packages/dispatch/worker_order.h"

namespace bramleyrail {

enum class RunPhase { kStarting, kRunning, kStopping };

// A spare run works in phases: busy ones use what it asked for and press on the
// runs beside it, light ones use clearly less.
enum class SparePhase { kBusy, kLight };

using RunKey = std::pair<TaskName, uint64_t>;

// A run that is, or may be, on a worker.
struct TrackedRun {
  RunPhase phase = RunPhase::kStarting;
  // Null when the job is not known; otherwise it keeps `step` valid.
  std::shared_ptr<const QueuedJob> job;
  const JobStep* step = nullptr;
  ResourceAmounts reserved;
  MonotonicTime order_sent;  // The last start or stop.
  int orders_sent = 0;
  bool order_in_flight = false;
  // The worker confirmed the start, or listed the run, at this time.
  std::optional<MonotonicTime> confirmed;
  std::string payload;     // For sending the start again.
  std::string checkpoint;  // That it was started from.
  int64_t percent = 0;
  MonotonicTime percent_changed;
  int64_t pace = 100;  // Ordered share.
  int64_t confirmed_pace = 100;
  bool pace_in_flight = false;
  MonotonicTime pace_changed;
  std::optional<int64_t> load;
  SparePhase spare_phase = SparePhase::kBusy;
  std::optional<MonotonicTime> over_since;  // Misses its target since then.
};

// What the leader knows of one life of a worker.
class WorkerTrack {
 public:
  explicit WorkerTrack(WorkerRegistration registration);

  const WorkerRegistration& registration() const { return registration_; }
  WorkerAddress Address() const;
  // Takes changes of the same life.
  void Update(const WorkerRegistration& registration);
  const std::string& rack() const { return rack_; }

  // Clock and lease ----------------------------------------------------------
  void ObserveClock(int64_t clock_ms, MonotonicTime received);
  bool knows_clock() const { return clock_.has_value(); }
  // End of a lease of that length on the worker's clock, or nullopt while the
  // clock is not known. The worker counts as holding it from now on.
  std::optional<int64_t> GrantLease(Milliseconds lease, MonotonicTime now);
  // No grant of this leader is in force any more after this time. nullopt when
  // none was made.
  std::optional<MonotonicTime> LeaseSurelyEnded() const;

  // Runs ---------------------------------------------------------------------
  TrackedRun& AddRun(const RunKey& key, TrackedRun run);
  void RemoveRun(const RunKey& key);
  TrackedRun* FindRun(const RunKey& key);
  std::map<RunKey, TrackedRun>& runs() { return runs_; }
  const std::map<RunKey, TrackedRun>& runs() const { return runs_; }
  const ResourceAmounts& reserved() const { return reserved_; }
  // Processor share that runs of spare capacity ask for.
  int64_t spare_processor_millis() const { return spare_processor_millis_; }
  int64_t RunsOf(const std::string& job,
                 int64_t occurrence,
                 int64_t step) const;
  // Empty after a change of the runs or their figures.
  std::optional<SpareOutlook> outlook;
  // When a spare run started, ended or changed its pace, and when a pace fell.
  // Figures from before tell nothing about what runs now.
  MonotonicTime spare_changed;
  MonotonicTime pace_lowered;

  bool in_other_region = false;  // Than the leader.

  // Contact ------------------------------------------------------------------
  bool heard = false;  // Its lists arrived in this leadership.
  bool look_in_flight = false;
  MonotonicTime last_answer;
  MonotonicTime next_look;
  int failed_looks = 0;
  // Set when the registration was withdrawn while runs may still be there.
  bool leaving = false;
  MonotonicTime leaving_since;
  int64_t ends_seen = 0;      // Highest end that was taken over.
  int64_t ends_recorded = 0;  // Highest end that is durable.
  bool recording = false;     // Ends wait to become durable.
  // No new runs before this time.
  MonotonicTime avoid_until;
  int consecutive_failures = 0;

 private:
  void Recount(const TrackedRun& run, int64_t sign);

  WorkerRegistration registration_;
  std::string rack_;
  std::optional<std::pair<int64_t, MonotonicTime>> clock_;
  std::optional<int64_t> granted_until_ms_;
  std::map<RunKey, TrackedRun> runs_;
  ResourceAmounts reserved_;
  int64_t spare_processor_millis_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_WORKER_TRACK_H_
