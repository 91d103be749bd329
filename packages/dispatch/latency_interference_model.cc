#include "packages/dispatch/latency_interference_model.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace bramleyrail {

namespace {

// Measurements cover the last half second, so those of a worker whose
// best-effort runs changed within this time mix two states.
constexpr Milliseconds kMeasurementSettleTime{600};
// The measurements of a younger latency-sensitive run include its start.
constexpr Milliseconds kMeasurementWarmUpTime{1'200};
// Measurements are imprecise, so a run counts as over its target slightly
// before it misses the target.
constexpr double kOverTargetHeadroom = 1.05;
// A loss counts only when the mean less this many standard deviations reaches
// the minimum below, so that pairs of images without enough samples are tried.
constexpr double kConfidenceDeviations = 1;
// Losses below this, at a share of 1, are within the noise of the measurements.
constexpr double kMinimumLoss = 2.0;

bool IsBestEffort(const TrackedRun& run) {
  return run.step != nullptr && run.step->best_effort;
}

bool IsLatencySensitive(const TrackedRun& run) {
  return run.step != nullptr && run.step->target_latency_ms > 0;
}

double ShareOf(int64_t processor_millis, int64_t capacity_millis) {
  return static_cast<double>(processor_millis) /
         static_cast<double>(std::max<int64_t>(capacity_millis, 1));
}

double ConfidentLoss(const HeadroomRegression::Loss& loss) {
  const double lower_bound = loss.mean - kConfidenceDeviations * loss.deviation;
  return lower_bound < kMinimumLoss ? 0 : loss.mean;
}

}  // namespace

std::optional<double> HeadroomOf(const TrackedRun& run) {
  // The measurement of a run without requests is 0.
  if (!IsLatencySensitive(run) || run.phase != RunPhase::kRunning ||
      run.measurement.value_or(0) <= 0) {
    return std::nullopt;
  }
  return static_cast<double>(run.step->target_latency_ms) /
         static_cast<double>(*run.measurement);
}

bool IsOverTarget(const TrackedRun& run) {
  const auto headroom = HeadroomOf(run);
  return headroom && *headroom < kOverTargetHeadroom;
}

bool HasRunOverTarget(const TrackedWorker& worker) {
  return std::any_of(
      worker.runs().begin(), worker.runs().end(),
      [](const auto& item) { return IsOverTarget(item.second); });
}

double RequestedShare(const JobStep& best_effort_step,
                      const TrackedWorker& worker) {
  return ShareOf(best_effort_step.size.processor_millis,
                 worker.registration().capacity.processor_millis);
}

size_t LatencyInterferenceModel::SourceOf(const std::string& image,
                                          BestEffortPhase phase) const {
  const auto found = best_effort_images_.find(image);
  const size_t number = found == best_effort_images_.end()
                            ? best_effort_images_.size()
                            : found->second;
  return 2 * number + (phase == BestEffortPhase::kBusy ? 0 : 1);
}

const HeadroomRegression* LatencyInterferenceModel::FindRegression(
    const std::string& image) const {
  const auto found = latency_sensitive_images_.find(image);
  return found == latency_sensitive_images_.end()
             ? nullptr
             : &regressions_[found->second];
}

void LatencyInterferenceModel::Observe(const TrackedWorker& worker,
                                       MonotonicTime now) {
  if (now - worker.best_effort_changed < kMeasurementSettleTime) {
    return;
  }
  const int64_t capacity = worker.registration().capacity.processor_millis;
  std::map<size_t, double> shares;
  std::map<std::string, std::pair<double, int>> headrooms;
  for (const auto& [key, run] : worker.runs()) {
    if (IsBestEffort(run)) {
      best_effort_images_.try_emplace(run.step->image,
                                      best_effort_images_.size());
      shares[SourceOf(run.step->image, run.best_effort_phase)] +=
          ShareOf(run.measurement.value_or(0), capacity);
    }
    const auto headroom = HeadroomOf(run);
    if (headroom && run.confirmed &&
        now - *run.confirmed > kMeasurementWarmUpTime) {
      auto& [sum, count] = headrooms[run.step->image];
      sum += *headroom;
      ++count;
    }
  }
  std::vector<HeadroomRegression::Pressure> pressures;
  for (const auto& [source, share] : shares) {
    if (share > 0) {
      pressures.push_back({source, share});
    }
  }
  for (const auto& [image, sum] : headrooms) {
    const auto [position, added] =
        latency_sensitive_images_.try_emplace(image, regressions_.size());
    if (added) {
      regressions_.emplace_back();
    }
    regressions_[position->second].Observe(pressures, sum.first / sum.second,
                                           sum.second);
  }
}

LatencyInterferenceModel::Effect LatencyInterferenceModel::EffectOf(
    const JobStep& affected_step,
    const JobStep& best_effort_step,
    BestEffortPhase phase,
    int64_t limit_percent,
    int64_t capacity_millis) const {
  const HeadroomRegression* regression = FindRegression(affected_step.image);
  const size_t source = SourceOf(best_effort_step.image, phase);
  const HeadroomRegression::Loss loss =
      regression == nullptr ? HeadroomRegression().LossOf(source)
                            : regression->LossOf(source);
  const double share =
      ShareOf(best_effort_step.size.processor_millis * limit_percent / 100,
              capacity_millis);
  return {share * ConfidentLoss(loss), share * loss.deviation};
}

double LatencyInterferenceModel::LossFromBestEffortRuns(
    const HeadroomRegression& regression,
    const TrackedWorker& worker) const {
  const int64_t capacity = worker.registration().capacity.processor_millis;
  double loss = 0;
  for (const auto& [key, run] : worker.runs()) {
    if (IsBestEffort(run)) {
      // The run may enter a busy phase at any time.
      loss +=
          ShareOf(run.reserved.processor_millis * run.cpu_limit_percent / 100,
                  capacity) *
          ConfidentLoss(regression.LossOf(
              SourceOf(run.step->image, BestEffortPhase::kBusy)));
    }
  }
  return loss;
}

BestEffortEstimate LatencyInterferenceModel::EstimateFor(
    const TrackedWorker& worker) const {
  BestEffortEstimate estimate;
  std::vector<std::string_view> seen_images;
  for (const auto& [key, run] : worker.runs()) {
    estimate.is_any_over_target =
        estimate.is_any_over_target || IsOverTarget(run);
    if (!IsLatencySensitive(run) ||
        std::find(seen_images.begin(), seen_images.end(), run.step->image) !=
            seen_images.end()) {
      continue;
    }
    seen_images.push_back(run.step->image);
    const auto found = latency_sensitive_images_.find(run.step->image);
    if (found != latency_sensitive_images_.end()) {
      const HeadroomRegression& regression = regressions_[found->second];
      estimate.served_images.push_back(
          {found->second, regression.LowBaselineHeadroom() -
                              LossFromBestEffortRuns(regression, worker)});
    }
  }
  size_t compatible = 0;
  for (const auto& [image, number] : best_effort_images_) {
    const size_t source = SourceOf(image, BestEffortPhase::kBusy);
    const auto is_affected =
        [&](const BestEffortEstimate::ServedImage& served) {
          return ConfidentLoss(
                     regressions_[served.regression_index].LossOf(source)) > 0;
        };
    compatible += std::none_of(estimate.served_images.begin(),
                               estimate.served_images.end(), is_affected)
                      ? 1
                      : 0;
  }
  if (!best_effort_images_.empty()) {
    estimate.compatible_image_share =
        static_cast<double>(compatible) /
        static_cast<double>(best_effort_images_.size());
  }
  return estimate;
}

double LatencyInterferenceModel::MinimumHeadroomWith(
    size_t source,
    const BestEffortEstimate& estimate,
    double share) const {
  double lowest = std::numeric_limits<double>::infinity();
  for (const BestEffortEstimate::ServedImage& image : estimate.served_images) {
    const double loss =
        share *
        ConfidentLoss(regressions_[image.regression_index].LossOf(source));
    if (loss > 0) {
      lowest = std::min(lowest, image.headroom - loss);
    }
  }
  return lowest;
}

double LatencyInterferenceModel::MinimumHeadroomWith(
    const JobStep& best_effort_step,
    const TrackedWorker& worker,
    int64_t limit_percent) const {
  return MinimumHeadroomWith(BusySourceOf(best_effort_step.image),
                             EstimateFor(worker),
                             RequestedShare(best_effort_step, worker) *
                                 static_cast<double>(limit_percent) / 100);
}

double LatencyInterferenceModel::HeadroomForNewRun(const TrackedWorker& worker,
                                                   const JobStep& step) const {
  const HeadroomRegression* regression = FindRegression(step.image);
  if (regression == nullptr) {
    return HeadroomRegression().LowBaselineHeadroom();
  }
  return regression->LowBaselineHeadroom() -
         LossFromBestEffortRuns(*regression, worker);
}

}  // namespace bramleyrail
