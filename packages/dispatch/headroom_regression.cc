#include "packages/dispatch/headroom_regression.h"

#include <algorithm>
#include <cmath>

namespace bramleyrail {

namespace {

// Prior before the first sample: a run meets its target with some headroom, and
// the loss from a source is unknown.
constexpr double kPriorBaselineHeadroom = 2;
constexpr double kPriorBaselineDeviation = 1;
constexpr double kPriorLossDeviation = 6;
// Standard deviation of single samples: the load of a run changes within
// seconds, and the measurements are imprecise.
constexpr double kMeasurementDeviation = 0.6;
// Samples above this are clamped, because far from saturation the tail latency
// says little about the headroom.
constexpr double kMaximumHeadroom = 4;
// Below this headroom the queue of the run is saturated and its tail latency
// arbitrary. Such a sample only shows that the headroom is not higher.
constexpr double kSaturatedHeadroom = 0.35;
// Weight of a new squared residual in the running variance.
constexpr double kResidualWeight = 0.02;
// Share of the prior variance that each sample adds to the variance of the
// estimates, because programs change over time.
constexpr double kProcessNoise = 1e-4;

double Square(double value) {
  return value * value;
}

}  // namespace

HeadroomRegression::HeadroomRegression()
    : residual_variance_(Square(kMeasurementDeviation)) {
  GrowTo(1);
  estimate_[0] = kPriorBaselineHeadroom;
  covariance_[0] = Square(kPriorBaselineDeviation);
}

void HeadroomRegression::GrowTo(size_t size) {
  if (size <= size_) {
    return;
  }
  std::vector<double> grown(size * size, 0.0);
  for (size_t row = 0; row < size; ++row) {
    for (size_t column = 0; column < size; ++column) {
      if (row < size_ && column < size_) {
        grown[row * size + column] = covariance_[row * size_ + column];
      } else if (row == column) {
        grown[row * size + column] = Square(kPriorLossDeviation);
      }
    }
  }
  covariance_ = std::move(grown);
  estimate_.resize(size, 0.0);
  size_ = size;
}

void HeadroomRegression::Observe(std::span<const Pressure> pressures,
                                 double headroom,
                                 int runs) {
  for (const Pressure& pressure : pressures) {
    GrowTo(pressure.source + 2);
  }
  const double observed = std::min(headroom, kMaximumHeadroom);
  double expected = estimate_[0];
  for (const Pressure& pressure : pressures) {
    expected -= pressure.share * estimate_[pressure.source + 1];
  }
  if (observed < kSaturatedHeadroom && expected < observed) {
    return;
  }
  // Covariance times the input vector (1, -share, ...).
  std::vector<double> gain(size_);
  for (size_t row = 0; row < size_; ++row) {
    gain[row] = Covariance(row, 0);
    for (const Pressure& pressure : pressures) {
      gain[row] -= pressure.share * Covariance(row, pressure.source + 1);
    }
  }
  double explained = gain[0];
  for (const Pressure& pressure : pressures) {
    explained -= pressure.share * gain[pressure.source + 1];
  }
  const double noise = Square(kMeasurementDeviation) / std::max(runs, 1);
  const double error = observed - expected;
  const double scale = 1 / (explained + noise);
  for (size_t row = 0; row < size_; ++row) {
    estimate_[row] += gain[row] * scale * error;
    for (size_t column = 0; column < size_; ++column) {
      Covariance(row, column) -= gain[row] * gain[column] * scale;
    }
    const double prior =
        Square(row == 0 ? kPriorBaselineDeviation : kPriorLossDeviation);
    Covariance(row, row) =
        std::min(prior, Covariance(row, row) + kProcessNoise * prior);
  }
  residual_variance_ += kResidualWeight * (Square(error) - residual_variance_);
}

HeadroomRegression::Loss HeadroomRegression::LossOf(size_t source) const {
  if (source + 1 >= size_) {
    return {0, kPriorLossDeviation};
  }
  return {std::max(0.0, estimate_[source + 1]),
          std::sqrt(covariance_[(source + 1) * size_ + source + 1])};
}

double HeadroomRegression::LowBaselineHeadroom() const {
  return estimate_[0] - std::sqrt(residual_variance_);
}

}  // namespace bramleyrail
