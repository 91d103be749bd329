#include "packages/placement/interference_model.h"

#include <algorithm>
#include <cmath>

namespace bramleyrail {

namespace {

// An effect is scaled by weight / (weight + this constant), so that a few noisy
// reports do not move tasks.
constexpr double kHalfConfidenceWeight = 8;

// Upper limit of the number of observations that a weight counts. Older
// observations fade: the newest one has at least 1/40 of the influence.
constexpr double kMaximumWeight = 40;

// Weights halve in this time without reports, since programs change.
constexpr std::chrono::minutes kWeightHalfLife{30};

// Limits the influence of a single report, which may be off by any amount (a
// pause, a cold cache).
constexpr double kMaximumIncrease = 4.0;

}  // namespace

int32_t InterferenceModel::CountOthers(int32_t measured_kind,
                                       int32_t kind,
                                       int32_t count) {
  // A task does not slow itself down.
  return kind == measured_kind ? count - 1 : count;
}

void InterferenceModel::Observe(int32_t measured_kind,
                                const KindCounts& neighbours,
                                int64_t slowdown_permille,
                                MonotonicTime now) {
  const double increase = std::clamp(
      static_cast<double>(slowdown_permille) / 1000 - 1, 0.0, kMaximumIncrease);
  double expected = 0;
  double squares = 0;
  for (const auto& [kind, count] : neighbours) {
    const int32_t others = CountOthers(measured_kind, kind, count);
    const auto found = pairs_.find({measured_kind, kind});
    expected += found == pairs_.end() ? 0 : found->second.effect * others;
    squares += static_cast<double>(others) * others;
  }
  if (squares == 0) {
    return;
  }
  // Normalised least mean squares: each report corrects the effects of the
  // kinds present in proportion to their number. Different mixes on many
  // workers separate the effects of the pairs.
  const double error = increase - expected;
  for (const auto& [kind, count] : neighbours) {
    const int32_t others = CountOthers(measured_kind, kind, count);
    if (others == 0) {
      continue;
    }
    Pair& pair = pairs_[{measured_kind, kind}];
    if (pair.weight > 0) {
      const std::chrono::duration<double> age = now - pair.updated;
      pair.weight *=
          std::exp2(-age / std::chrono::duration<double>(kWeightHalfLife));
    }
    pair.weight = std::min(pair.weight + 1, kMaximumWeight);
    const double rate = std::max(1 / pair.weight, 4 / kMaximumWeight);
    pair.effect = std::max(0.0, pair.effect + rate * error * others / squares);
    pair.updated = now;
  }
}

double InterferenceModel::Effect(int32_t kind, int32_t neighbour) const {
  const auto found = pairs_.find({kind, neighbour});
  if (found == pairs_.end()) {
    return 0;
  }
  const Pair& pair = found->second;
  return pair.effect * pair.weight / (pair.weight + kHalfConfidenceWeight);
}

double InterferenceModel::ExpectedSlowdown(int32_t kind,
                                           const KindCounts& neighbours) const {
  double sum = 0;
  for (const auto& [neighbour, count] : neighbours) {
    sum += Effect(kind, neighbour) * count;
  }
  return sum;
}

double InterferenceModel::ExpectedInterference(
    int32_t kind,
    const KindCounts& neighbours) const {
  double sum = 0;
  for (const auto& [neighbour, count] : neighbours) {
    sum += Effect(neighbour, kind) * count;
  }
  return sum;
}

}  // namespace bramleyrail
