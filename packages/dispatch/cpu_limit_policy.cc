#include "packages/dispatch/cpu_limit_policy.h"

#include <algorithm>

namespace bramleyrail {

namespace {

// CPU limits are multiples of this. Each order costs a call, and a finer limit
// has little effect.
constexpr int64_t kCpuLimitStepPercent = 25;
// Headroom that throttling aims for, and headroom that must remain after a
// limit is raised. Both exceed 1 because the load of a latency-sensitive run
// changes within seconds.
constexpr double kThrottleHeadroomGoal = 1.3;
constexpr double kRaiseHeadroomGoal = 1.5;
// Below this headroom the queue of the run is saturated, and the measurement
// does not show how far the interfering runs must be throttled.
constexpr double kSaturatedHeadroom = 0.5;
// Minimum expected loss of headroom that makes a run an interfering run.
constexpr double kMinimumInterferenceLoss = 0.1;
// A run is a candidate when the standard deviation of its expected effect
// reaches this loss of headroom.
constexpr double kMinimumCandidateDeviation = 0.2;
// Maximum progress at which a run without checkpoints is moved, because the
// move repeats the work done so far.
constexpr int64_t kMaximumRepeatedProgressPercent = 40;
// Delay until measurements reflect a changed CPU limit.
constexpr Milliseconds kCpuLimitSettleTime{700};
// A CPU limit is raised only when it has not changed for this time.
constexpr Milliseconds kMinimumTimeBeforeRaise{700};
// A run may be throttled although another run interferes, so after this time
// its limit is raised by one step whatever the model expects.
constexpr Milliseconds kMaximumThrottleTime{2'500};
// When a run has been over its target for this time, all best-effort runs are
// paused, whatever the model expects: the users' limit is 4 s.
constexpr Milliseconds kMaximumOverTargetTime{1'800};

bool IsThrottleable(const TrackedRun& run) {
  return run.step != nullptr && run.step->best_effort &&
         run.phase == RunPhase::kRunning;
}

bool IsMovable(const TrackedRun& run) {
  return run.step->checkpointing ||
         run.progress_percent <= kMaximumRepeatedProgressPercent;
}

int64_t Capacity(const TrackedWorker& worker) {
  return worker.registration().capacity.processor_millis;
}

// Moves paused runs that would leave too little headroom even at the lowest
// limit.
void MovePausedRuns(const TrackedWorker& worker,
                    const LatencyInterferenceModel& model,
                    MonotonicTime now,
                    std::vector<CpuLimitPolicy::Change>* changes) {
  for (const auto& [key, run] : worker.runs()) {
    if (IsThrottleable(run) && run.cpu_limit_percent == 0 && IsMovable(run) &&
        now - run.cpu_limit_changed >= kMinimumTimeBeforeRaise &&
        model.MinimumHeadroomWith(*run.step, worker, kCpuLimitStepPercent) <
            kRaiseHeadroomGoal) {
      changes->push_back({key, 0, 0, true});
    }
  }
}

// The highest CPU limit that leaves every latency-sensitive run enough
// headroom.
int64_t HighestCpuLimit(const TrackedRun& best_effort_run,
                        const TrackedWorker& worker,
                        const LatencyInterferenceModel& model) {
  for (int64_t limit_percent = 100;
       limit_percent > best_effort_run.cpu_limit_percent;
       limit_percent -= kCpuLimitStepPercent) {
    const auto keeps_headroom = [&](const auto& item) {
      const auto headroom = HeadroomOf(item.second);
      return !headroom ||
             *headroom - model
                             .EffectOf(*item.second.step, *best_effort_run.step,
                                       BestEffortPhase::kBusy,
                                       limit_percent -
                                           best_effort_run.cpu_limit_percent,
                                       Capacity(worker))
                             .loss >=
                 kRaiseHeadroomGoal;
    };
    if (std::all_of(worker.runs().begin(), worker.runs().end(),
                    keeps_headroom)) {
      return limit_percent;
    }
  }
  return best_effort_run.cpu_limit_percent;
}

void RaiseLowestCpuLimit(const TrackedWorker& worker,
                         const LatencyInterferenceModel& model,
                         MonotonicTime now,
                         std::vector<CpuLimitPolicy::Change>* changes) {
  const std::pair<const RunKey, TrackedRun>* lowest = nullptr;
  int64_t lowest_raised_percent = 0;
  for (const auto& item : worker.runs()) {
    const TrackedRun& run = item.second;
    const auto unchanged = now - run.cpu_limit_changed;
    if (!IsThrottleable(run) || run.cpu_limit_percent >= 100 ||
        unchanged < kMinimumTimeBeforeRaise ||
        (lowest != nullptr &&
         run.cpu_limit_percent >= lowest->second.cpu_limit_percent)) {
      continue;
    }
    int64_t limit_percent = HighestCpuLimit(run, worker, model);
    if (limit_percent == run.cpu_limit_percent &&
        unchanged >= kMaximumThrottleTime) {
      limit_percent =
          std::min<int64_t>(run.cpu_limit_percent + kCpuLimitStepPercent, 100);
    }
    if (limit_percent > run.cpu_limit_percent) {
      lowest = &item;
      lowest_raised_percent = limit_percent;
    }
  }
  if (lowest != nullptr) {
    changes->push_back({lowest->first, lowest_raised_percent, 0});
  }
}

LatencyInterferenceModel::Effect EffectOn(
    const TrackedRun& affected_run,
    const TrackedRun& best_effort_run,
    const TrackedWorker& worker,
    const LatencyInterferenceModel& model) {
  return model.EffectOf(*affected_run.step, *best_effort_run.step,
                        best_effort_run.best_effort_phase,
                        best_effort_run.cpu_limit_percent, Capacity(worker));
}

// Lowers the CPU limits of runs that take headroom from a run over its target.
class Throttler {
 public:
  Throttler(const TrackedWorker& worker,
            const LatencyInterferenceModel& model,
            std::vector<CpuLimitPolicy::Change>* changes)
      : worker_(worker), model_(model), changes_(changes) {}

  // Throttles the interfering runs as far as needed. Returns false when there
  // are none.
  bool ThrottleInterferingRuns(const TrackedRun& affected_run) {
    std::vector<InterferingRun> interfering_runs;
    double known_loss = 0;
    for (const auto& [key, run] : worker_.runs()) {
      const double loss =
          IsActive(run) ? EffectOn(affected_run, run, worker_, model_).loss : 0;
      if (loss >= kMinimumInterferenceLoss) {
        interfering_runs.push_back({&key, &run, loss});
        known_loss += loss;
      }
    }
    const double headroom = *HeadroomOf(affected_run);
    const double needed = kThrottleHeadroomGoal - headroom;
    // Share of the expected loss that may remain.
    const double remaining_share =
        headroom < kSaturatedHeadroom || known_loss <= needed
            ? 0
            : 1 - needed / known_loss;
    for (const InterferingRun& interfering : interfering_runs) {
      const auto limit_percent = static_cast<int64_t>(
          remaining_share *
          static_cast<double>(interfering.run->cpu_limit_percent));
      Lower(*interfering.key, *interfering.run,
            limit_percent / kCpuLimitStepPercent * kCpuLimitStepPercent,
            interfering.loss);
    }
    return !interfering_runs.empty();
  }

  // Halves the limits of the runs whose effect is uncertain.
  void ThrottleCandidates(const TrackedRun& affected_run) {
    for (const auto& [key, run] : worker_.runs()) {
      const auto effect = IsActive(run)
                              ? EffectOn(affected_run, run, worker_, model_)
                              : LatencyInterferenceModel::Effect{};
      if (effect.deviation >= kMinimumCandidateDeviation) {
        const int64_t half = run.cpu_limit_percent / 2 / kCpuLimitStepPercent *
                             kCpuLimitStepPercent;
        Lower(key, run,
              run.cpu_limit_percent > 2 * kCpuLimitStepPercent ? half : 0,
              effect.loss);
      }
    }
  }

  void PauseAll() {
    for (const auto& [key, run] : worker_.runs()) {
      if (IsActive(run)) {
        Lower(key, run, 0, 0);
      }
    }
  }

 private:
  struct InterferingRun {
    const RunKey* key = nullptr;
    const TrackedRun* run = nullptr;
    double loss = 0;
  };

  static bool IsActive(const TrackedRun& run) {
    return IsThrottleable(run) && run.cpu_limit_percent > 0;
  }

  void Lower(const RunKey& key,
             const TrackedRun& run,
             int64_t limit_percent,
             double loss) {
    const bool has_change =
        std::any_of(changes_->begin(), changes_->end(),
                    [&](const CpuLimitPolicy::Change& change) {
                      return change.run == key;
                    });
    if (!has_change && limit_percent < run.cpu_limit_percent) {
      changes_->push_back(
          {key, limit_percent, loss, limit_percent == 0 && IsMovable(run)});
    }
  }

  const TrackedWorker& worker_;
  const LatencyInterferenceModel& model_;
  std::vector<CpuLimitPolicy::Change>* const changes_;
};

}  // namespace

std::vector<CpuLimitPolicy::Change> CpuLimitPolicy::Decide(
    const TrackedWorker& worker,
    const LatencyInterferenceModel& model,
    MonotonicTime now) const {
  std::vector<Change> changes;
  for (const auto& [key, run] : worker.runs()) {
    if (IsThrottleable(run) &&
        run.cpu_limit_percent != run.confirmed_cpu_limit_percent &&
        !run.cpu_limit_in_flight) {
      // The last order was lost.
      changes.push_back({key, run.cpu_limit_percent, 0});
    }
  }
  if (!changes.empty()) {
    return changes;
  }
  MovePausedRuns(worker, model, now, &changes);
  if (!HasRunOverTarget(worker)) {
    RaiseLowestCpuLimit(worker, model, now, &changes);
    return changes;
  }
  if (now - worker.cpu_limit_lowered < kCpuLimitSettleTime) {
    return changes;  // The measurements do not reflect the last change yet.
  }
  Throttler throttler(worker, model, &changes);
  for (const auto& [key, run] : worker.runs()) {
    if (!IsOverTarget(run)) {
      continue;
    }
    if (run.over_target_since &&
        now - *run.over_target_since >= kMaximumOverTargetTime) {
      throttler.PauseAll();
    } else if (!throttler.ThrottleInterferingRuns(run)) {
      throttler.ThrottleCandidates(run);
    }
  }
  return changes;
}

}  // namespace bramleyrail
