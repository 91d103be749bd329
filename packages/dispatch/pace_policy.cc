#include "packages/dispatch/pace_policy.h"

#include <algorithm>

namespace bramleyrail {

namespace {

// Shares of the target latency above which the pace falls, and below which it
// rises. Figures are rough, so the pace falls before the target is reached.
constexpr double kSlowDownShare = 0.9;
constexpr double kSpeedUpShare = 0.7;
constexpr int64_t kSpeedUpPercent = 25;
// Below this a run does no useful work and is paused.
constexpr int64_t kLowestPercent = 15;

// The highest share of its target that a run with a target is at.
double WorstShare(const WorkerTrack& worker) {
  double worst = 0;
  for (const auto& [key, run] : worker.runs()) {
    if (run.step != nullptr && run.step->target_latency_ms > 0 && run.load) {
      worst =
          std::max(worst, static_cast<double>(*run.load) /
                              static_cast<double>(run.step->target_latency_ms));
    }
  }
  return worst;
}

}  // namespace

bool PacePolicy::IsOverTarget(const WorkerTrack& worker) {
  return WorstShare(worker) > kSlowDownShare;
}

std::vector<PacePolicy::Change> PacePolicy::Decide(
    const WorkerTrack& worker) const {
  const double worst = WorstShare(worker);
  std::vector<Change> changes;
  for (const auto& [key, run] : worker.runs()) {
    if (run.step == nullptr || !run.step->uses_spare_capacity ||
        run.phase != RunPhase::kRunning) {
      continue;
    }
    int64_t percent = run.pace;
    if (worst > kSlowDownShare) {
      percent = run.pace / 2 < kLowestPercent ? 0 : run.pace / 2;
    } else if (worst < kSpeedUpShare) {
      percent = std::min<int64_t>(run.pace + kSpeedUpPercent, 100);
    }
    if (percent != run.pace || percent != run.confirmed_pace) {
      changes.push_back({key, percent});
    }
  }
  return changes;
}

}  // namespace bramleyrail
