#include "packages/dispatch/pace_policy.h"

#include <algorithm>

namespace bramleyrail {

namespace {

// Paces are quarters: each order costs a call, and a finer pace changes little.
constexpr int64_t kPaceStep = 25;
// A run is a suspect when its expected disturbance is at least this share of
// the strongest one.
constexpr double kSuspectShare = 0.6;
// Below this nothing is known, and every run beside is a suspect.
constexpr double kKnownDisturbance = 0.1;
// A run moves away when it disturbs a run that is over its target this much.
constexpr double kMoveDisturbance = 0.6;
// Figures follow a change of pace with this delay.
constexpr Milliseconds kSettle{700};
// A run speeds up again only after this long without a change.
constexpr Milliseconds kCalmBeforeRise{1'000};
// A pace rises only to a share at which this disturbance is expected at most.
constexpr double kRiseLimit = 0.5;
// A paused run may have been paused for another's fault, so after this long it
// may try again in any case.
constexpr Milliseconds kLongestPause{2'500};

bool IsPaceable(const TrackedRun& run) {
  return run.step != nullptr && run.step->uses_spare_capacity &&
         run.phase == RunPhase::kRunning;
}

double Strongest(const TrackedRun& spare,
                 const std::vector<const TrackedRun*>& disturbed,
                 const DisturbanceModel& model) {
  double strongest = 0;
  for (const TrackedRun* run : disturbed) {
    strongest = std::max(strongest, model.Effect(*run->step, *spare.step));
  }
  return strongest;
}

// Raises the slowest run by a step, and moves runs that stay paused.
void RaiseOrMove(const WorkerTrack& worker,
                 const DisturbanceModel& model,
                 MonotonicTime now,
                 std::vector<PacePolicy::Change>* changes) {
  const std::pair<const RunKey, TrackedRun>* slowest = nullptr;
  for (const auto& item : worker.runs()) {
    const TrackedRun& run = item.second;
    const Milliseconds unchanged =
        std::chrono::floor<Milliseconds>(now - run.pace_changed);
    if (!IsPaceable(run) || run.pace == 100 || unchanged < kCalmBeforeRise) {
      continue;
    }
    const bool calm =
        model.HighestWith(*run.step, worker, kPaceStep) <= kRiseLimit;
    if (!calm && run.pace == 0 && run.step->checkpointing) {
      changes->push_back({item.first, 0, 0, true});
      continue;
    }
    if ((calm || unchanged >= kLongestPause) &&
        (slowest == nullptr || run.pace < slowest->second.pace)) {
      slowest = &item;
    }
  }
  if (slowest != nullptr) {
    changes->push_back(
        {slowest->first,
         std::min<int64_t>(slowest->second.pace + kPaceStep, 100), 0});
  }
}

}  // namespace

std::vector<PacePolicy::Change> PacePolicy::Decide(
    const WorkerTrack& worker,
    const DisturbanceModel& model,
    MonotonicTime now) const {
  std::vector<Change> changes;
  const Milliseconds unchanged =
      std::chrono::floor<Milliseconds>(now - worker.pace_lowered);
  for (const auto& [key, run] : worker.runs()) {
    if (IsPaceable(run) && run.pace != run.confirmed_pace &&
        !run.pace_in_flight) {
      changes.push_back({key, run.pace, 0});  // The last order was lost.
    }
  }
  if (!changes.empty()) {
    return changes;
  }
  std::vector<const TrackedRun*> disturbed;
  for (const auto& [key, run] : worker.runs()) {
    if (IsOverTarget(run)) {
      disturbed.push_back(&run);
    }
  }
  if (disturbed.empty()) {
    RaiseOrMove(worker, model, now, &changes);
    return changes;
  }
  if (unchanged < kSettle) {
    return changes;  // The figures are older than the last change.
  }
  double worst = 0;
  for (const auto& [key, run] : worker.runs()) {
    if (IsPaceable(run) && run.pace > 0) {
      worst = std::max(worst, Strongest(run, disturbed, model));
    }
  }
  for (const auto& [key, run] : worker.runs()) {
    if (!IsPaceable(run) || run.pace == 0) {
      continue;
    }
    const double strongest = Strongest(run, disturbed, model);
    const bool known = worst >= kKnownDisturbance;
    if (!known || strongest >= kSuspectShare * worst) {
      // A known disturber stops at once; an unknown one is halved first.
      const int64_t percent =
          known || run.pace <= 2 * kPaceStep ? 0 : run.pace / 2;
      changes.push_back(
          {key, percent, strongest, strongest >= kMoveDisturbance});
    }
  }
  return changes;
}

}  // namespace bramleyrail
