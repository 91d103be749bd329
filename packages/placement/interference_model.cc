#include "packages/placement/interference_model.h"

#include <algorithm>
#include <cmath>

namespace bramleyrail {

namespace {

// An effect counts in proportion to weight / (weight + this), so that a few
// noisy reports move no task.
constexpr double kConfidenceWeight = 8;

// Observations beyond this are forgotten step by step: the newest has at least
// 1/40 of the say.
constexpr double kMaximumWeight = 40;

// Confidence halves in this time without reports, since programs change.
constexpr std::chrono::minutes kHalfLife{30};

// A single report may be off by any amount (a pause, a cold cache).
constexpr double kMaximumIncrease = 4.0;

}  // namespace

int32_t InterferenceModel::Others(int32_t measured_kind,
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
    const int32_t others = Others(measured_kind, kind, count);
    const auto found = pairs_.find({measured_kind, kind});
    expected += found == pairs_.end() ? 0 : found->second.effect * others;
    squares += static_cast<double>(others) * others;
  }
  if (squares == 0) {
    return;
  }
  // Normalised least mean squares: each report corrects the effects of those
  // present in proportion to their number. Different mixes on many workers
  // tell the pairs apart.
  const double error = increase - expected;
  for (const auto& [kind, count] : neighbours) {
    const int32_t others = Others(measured_kind, kind, count);
    if (others == 0) {
      continue;
    }
    Pair& pair = pairs_[{measured_kind, kind}];
    if (pair.weight > 0) {
      const std::chrono::duration<double> age = now - pair.updated;
      pair.weight *= std::exp2(-age / std::chrono::duration<double>(kHalfLife));
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
  return pair.effect * pair.weight / (pair.weight + kConfidenceWeight);
}

double InterferenceModel::ExpectedSlowdown(int32_t kind,
                                           const KindCounts& neighbours) const {
  double sum = 0;
  for (const auto& [neighbour, count] : neighbours) {
    sum += Effect(kind, neighbour) * count;
  }
  return sum;
}

double InterferenceModel::ExpectedHarm(int32_t kind,
                                       const KindCounts& neighbours) const {
  double sum = 0;
  for (const auto& [neighbour, count] : neighbours) {
    sum += Effect(neighbour, kind) * count;
  }
  return sum;
}

}  // namespace bramleyrail
