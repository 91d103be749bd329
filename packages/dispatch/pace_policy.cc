#include "packages/dispatch/pace_policy.h"

#include <algorithm>

namespace bramleyrail {

namespace {

// Paces are quarters: each order costs a call, and a finer pace changes little.
constexpr int64_t kPaceStep = 25;
// Headroom that a slowdown aims for, and that a rise must leave. The load of a
// run with a target changes within seconds.
constexpr double kSlowdownGoal = 1.3;
constexpr double kRiseGoal = 1.5;
// Below this headroom the queue is saturated, and a figure does not tell how
// much the disturbers have to slow down.
constexpr double kSaturatedHeadroom = 0.5;
// A run is a known disturber when it is expected to take this much.
constexpr double kKnownLoss = 0.1;
// A run is a suspect when it may take this much.
constexpr double kSuspectDeviation = 0.2;
// A run without checkpoints moves while it has done no more than this.
constexpr int64_t kRepeatedPercent = 40;
// Figures follow a change of pace with this delay.
constexpr Milliseconds kSettle{700};
// A run speeds up again only after this long without a change.
constexpr Milliseconds kCalmBeforeRise{700};
// A paced run may have been paced for another's fault, so after this long it
// may try again in any case.
constexpr Milliseconds kLongestPause{2'500};
// After this long over its target, a run is protected from every spare run,
// whatever the model expects: the users' limit is 4 s.
constexpr Milliseconds kLongestMiss{1'800};

bool IsPaceable(const TrackedRun& run) {
  return run.step != nullptr && run.step->uses_spare_capacity &&
         run.phase == RunPhase::kRunning;
}

// Without checkpoints a move repeats the work so far.
bool IsMovable(const TrackedRun& run) {
  return run.step->checkpointing || run.percent <= kRepeatedPercent;
}

int64_t Capacity(const WorkerTrack& worker) {
  return worker.registration().capacity.processor_millis;
}

// A run that stays paused finds no place on this worker.
void MovePaused(const WorkerTrack& worker,
                const DisturbanceModel& model,
                MonotonicTime now,
                std::vector<PacePolicy::Change>* changes) {
  for (const auto& [key, run] : worker.runs()) {
    if (IsPaceable(run) && run.pace == 0 && IsMovable(run) &&
        now - run.pace_changed >= kCalmBeforeRise &&
        model.LowestHeadroomWith(*run.step, worker, kPaceStep) < kRiseGoal) {
      changes->push_back({key, 0, 0, true});
    }
  }
}

// The highest pace that leaves every run with a target enough headroom.
int64_t HighestPace(const TrackedRun& spare,
                    const WorkerTrack& worker,
                    const DisturbanceModel& model) {
  for (int64_t percent = 100; percent > spare.pace; percent -= kPaceStep) {
    const auto stays_calm = [&](const auto& item) {
      const auto headroom = HeadroomOf(item.second);
      return !headroom ||
             *headroom - model
                             .EffectOf(*item.second.step, *spare.step,
                                       SparePhase::kBusy, percent - spare.pace,
                                       Capacity(worker))
                             .loss >=
                 kRiseGoal;
    };
    if (std::all_of(worker.runs().begin(), worker.runs().end(), stays_calm)) {
      return percent;
    }
  }
  return spare.pace;
}

void RaiseSlowest(const WorkerTrack& worker,
                  const DisturbanceModel& model,
                  MonotonicTime now,
                  std::vector<PacePolicy::Change>* changes) {
  const std::pair<const RunKey, TrackedRun>* slowest = nullptr;
  int64_t highest = 0;
  for (const auto& item : worker.runs()) {
    const TrackedRun& run = item.second;
    const auto unchanged = now - run.pace_changed;
    if (!IsPaceable(run) || run.pace >= 100 || unchanged < kCalmBeforeRise ||
        (slowest != nullptr && run.pace >= slowest->second.pace)) {
      continue;
    }
    int64_t percent = HighestPace(run, worker, model);
    if (percent == run.pace && unchanged >= kLongestPause) {
      percent = std::min<int64_t>(run.pace + kPaceStep, 100);
    }
    if (percent > run.pace) {
      slowest = &item;
      highest = percent;
    }
  }
  if (slowest != nullptr) {
    changes->push_back({slowest->first, highest, 0});
  }
}

DisturbanceModel::Effect EffectOn(const TrackedRun& disturbed,
                                  const TrackedRun& spare,
                                  const WorkerTrack& worker,
                                  const DisturbanceModel& model) {
  return model.EffectOf(*disturbed.step, *spare.step, spare.spare_phase,
                        spare.pace, Capacity(worker));
}

// Slows down what takes headroom from the run, which misses its target.
class Slowdown {
 public:
  Slowdown(const WorkerTrack& worker,
           const DisturbanceModel& model,
           std::vector<PacePolicy::Change>* changes)
      : worker_(worker), model_(model), changes_(changes) {}

  // The known disturbers, as far as needed. False when there are none.
  bool SlowDisturbersOf(const TrackedRun& disturbed) {
    std::vector<Disturber> disturbers;
    double known_loss = 0;
    for (const auto& [key, run] : worker_.runs()) {
      const double loss =
          IsActive(run) ? EffectOn(disturbed, run, worker_, model_).loss : 0;
      if (loss >= kKnownLoss) {
        disturbers.push_back({&key, &run, loss});
        known_loss += loss;
      }
    }
    const double headroom = *HeadroomOf(disturbed);
    const double needed = kSlowdownGoal - headroom;
    // The share of the disturbance that may stay.
    const double kept = headroom < kSaturatedHeadroom || known_loss <= needed
                            ? 0
                            : 1 - needed / known_loss;
    for (const Disturber& disturber : disturbers) {
      const auto percent =
          static_cast<int64_t>(kept * static_cast<double>(disturber.run->pace));
      Lower(*disturber.key, *disturber.run, percent / kPaceStep * kPaceStep,
            disturber.loss);
    }
    return !disturbers.empty();
  }

  // Runs of which little is known: they are halved first.
  void SlowSuspectsOf(const TrackedRun& disturbed) {
    for (const auto& [key, run] : worker_.runs()) {
      const auto effect = IsActive(run)
                              ? EffectOn(disturbed, run, worker_, model_)
                              : DisturbanceModel::Effect{};
      if (effect.deviation >= kSuspectDeviation) {
        const int64_t half = run.pace / 2 / kPaceStep * kPaceStep;
        Lower(key, run, run.pace > 2 * kPaceStep ? half : 0, effect.loss);
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
  struct Disturber {
    const RunKey* key = nullptr;
    const TrackedRun* run = nullptr;
    double loss = 0;
  };

  static bool IsActive(const TrackedRun& run) {
    return IsPaceable(run) && run.pace > 0;
  }

  void Lower(const RunKey& key,
             const TrackedRun& run,
             int64_t percent,
             double loss) {
    const bool listed = std::any_of(
        changes_->begin(), changes_->end(),
        [&](const PacePolicy::Change& change) { return change.run == key; });
    if (!listed && percent < run.pace) {
      changes_->push_back({key, percent, loss, percent == 0 && IsMovable(run)});
    }
  }

  const WorkerTrack& worker_;
  const DisturbanceModel& model_;
  std::vector<PacePolicy::Change>* const changes_;
};

}  // namespace

std::vector<PacePolicy::Change> PacePolicy::Decide(
    const WorkerTrack& worker,
    const DisturbanceModel& model,
    MonotonicTime now) const {
  std::vector<Change> changes;
  for (const auto& [key, run] : worker.runs()) {
    if (IsPaceable(run) && run.pace != run.confirmed_pace &&
        !run.pace_in_flight) {
      changes.push_back({key, run.pace, 0});  // The last order was lost.
    }
  }
  if (!changes.empty()) {
    return changes;
  }
  MovePaused(worker, model, now, &changes);
  if (!HasRunOverTarget(worker)) {
    RaiseSlowest(worker, model, now, &changes);
    return changes;
  }
  if (now - worker.pace_lowered < kSettle) {
    return changes;  // The figures are older than the last change.
  }
  Slowdown slowdown(worker, model, &changes);
  for (const auto& [key, run] : worker.runs()) {
    if (!IsOverTarget(run)) {
      continue;
    }
    if (run.over_since && now - *run.over_since >= kLongestMiss) {
      slowdown.PauseAll();
    } else if (!slowdown.SlowDisturbersOf(run)) {
      slowdown.SlowSuspectsOf(run);
    }
  }
  return changes;
}

}  // namespace bramleyrail
