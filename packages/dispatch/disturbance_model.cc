#include "packages/dispatch/disturbance_model.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace bramleyrail {

namespace {

// Figures cover the last half second, so those of a worker whose spare runs
// changed within this time mix two states.
constexpr Milliseconds kFiguresSettle{600};
// A run with a target that is younger has figures of its start.
constexpr Milliseconds kFiguresValidAfter{1'200};
// Figures are rough, so a run counts as over its target a little before.
constexpr double kOverHeadroom = 1.05;
// An effect counts only as far as it is surely there, so that unknown pairs are
// tried: the mean less this many deviations.
constexpr double kDoubt = 1;
// Losses below this, at a share of 1, are within the noise of the figures.
constexpr double kLeastLoss = 2.0;

bool IsSpare(const TrackedRun& run) {
  return run.step != nullptr && run.step->uses_spare_capacity;
}

bool HasTarget(const TrackedRun& run) {
  return run.step != nullptr && run.step->target_latency_ms > 0;
}

double ShareOf(int64_t processor_millis, int64_t capacity_millis) {
  return static_cast<double>(processor_millis) /
         static_cast<double>(std::max<int64_t>(capacity_millis, 1));
}

double SureLoss(const HeadroomRegression::Loss& loss) {
  const double sure = loss.mean - kDoubt * loss.deviation;
  return sure < kLeastLoss ? 0 : loss.mean;
}

}  // namespace

std::optional<double> HeadroomOf(const TrackedRun& run) {
  // The figure of a run without requests is 0.
  if (!HasTarget(run) || run.phase != RunPhase::kRunning ||
      run.load.value_or(0) <= 0) {
    return std::nullopt;
  }
  return static_cast<double>(run.step->target_latency_ms) /
         static_cast<double>(*run.load);
}

bool IsOverTarget(const TrackedRun& run) {
  const auto headroom = HeadroomOf(run);
  return headroom && *headroom < kOverHeadroom;
}

bool HasRunOverTarget(const WorkerTrack& worker) {
  return std::any_of(
      worker.runs().begin(), worker.runs().end(),
      [](const auto& item) { return IsOverTarget(item.second); });
}

double SpareShareOf(const JobStep& spare, const WorkerTrack& worker) {
  return ShareOf(spare.size.processor_millis,
                 worker.registration().capacity.processor_millis);
}

size_t DisturbanceModel::SourceOf(const std::string& image,
                                  SparePhase phase) const {
  const auto found = spare_images_.find(image);
  const size_t number =
      found == spare_images_.end() ? spare_images_.size() : found->second;
  return 2 * number + (phase == SparePhase::kBusy ? 0 : 1);
}

const HeadroomRegression* DisturbanceModel::FindRegression(
    const std::string& image) const {
  const auto found = images_with_target_.find(image);
  return found == images_with_target_.end() ? nullptr
                                            : &regressions_[found->second];
}

void DisturbanceModel::Observe(const WorkerTrack& worker, MonotonicTime now) {
  if (now - worker.spare_changed < kFiguresSettle) {
    return;
  }
  const int64_t capacity = worker.registration().capacity.processor_millis;
  std::map<size_t, double> shares;
  std::map<std::string, std::pair<double, int>> headrooms;
  for (const auto& [key, run] : worker.runs()) {
    if (IsSpare(run)) {
      spare_images_.try_emplace(run.step->image, spare_images_.size());
      shares[SourceOf(run.step->image, run.spare_phase)] +=
          ShareOf(run.load.value_or(0), capacity);
    }
    const auto headroom = HeadroomOf(run);
    if (headroom && run.confirmed &&
        now - *run.confirmed > kFiguresValidAfter) {
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
        images_with_target_.try_emplace(image, regressions_.size());
    if (added) {
      regressions_.emplace_back();
    }
    regressions_[position->second].Observe(pressures, sum.first / sum.second,
                                           sum.second);
  }
}

DisturbanceModel::Effect DisturbanceModel::EffectOf(
    const JobStep& disturbed,
    const JobStep& spare,
    SparePhase phase,
    int64_t percent,
    int64_t capacity_millis) const {
  const HeadroomRegression* regression = FindRegression(disturbed.image);
  const size_t source = SourceOf(spare.image, phase);
  const HeadroomRegression::Loss loss =
      regression == nullptr ? HeadroomRegression().LossOf(source)
                            : regression->LossOf(source);
  const double share =
      ShareOf(spare.size.processor_millis * percent / 100, capacity_millis);
  return {share * SureLoss(loss), share * loss.deviation};
}

double DisturbanceModel::LossFromSpare(const HeadroomRegression& regression,
                                       const WorkerTrack& worker) const {
  const int64_t capacity = worker.registration().capacity.processor_millis;
  double loss = 0;
  for (const auto& [key, run] : worker.runs()) {
    if (IsSpare(run)) {
      // It may become busy at any moment.
      loss +=
          ShareOf(run.reserved.processor_millis * run.pace / 100, capacity) *
          SureLoss(
              regression.LossOf(SourceOf(run.step->image, SparePhase::kBusy)));
    }
  }
  return loss;
}

SpareOutlook DisturbanceModel::OutlookOf(const WorkerTrack& worker) const {
  SpareOutlook outlook;
  std::vector<std::string_view> seen;
  for (const auto& [key, run] : worker.runs()) {
    outlook.misses_target = outlook.misses_target || IsOverTarget(run);
    if (!HasTarget(run) ||
        std::find(seen.begin(), seen.end(), run.step->image) != seen.end()) {
      continue;
    }
    seen.push_back(run.step->image);
    const auto found = images_with_target_.find(run.step->image);
    if (found != images_with_target_.end()) {
      const HeadroomRegression& regression = regressions_[found->second];
      outlook.served.push_back(
          {found->second,
           regression.LowCalmHeadroom() - LossFromSpare(regression, worker)});
    }
  }
  size_t open = 0;
  for (const auto& [image, number] : spare_images_) {
    const size_t source = SourceOf(image, SparePhase::kBusy);
    const auto is_disturbed = [&](const SpareOutlook::Served& served) {
      return SureLoss(regressions_[served.regression].LossOf(source)) > 0;
    };
    open +=
        std::none_of(outlook.served.begin(), outlook.served.end(), is_disturbed)
            ? 1
            : 0;
  }
  if (!spare_images_.empty()) {
    outlook.openness =
        static_cast<double>(open) / static_cast<double>(spare_images_.size());
  }
  return outlook;
}

double DisturbanceModel::LowestHeadroomWith(size_t source,
                                            const SpareOutlook& outlook,
                                            double share) const {
  double lowest = std::numeric_limits<double>::infinity();
  for (const SpareOutlook::Served& served : outlook.served) {
    const double loss =
        share * SureLoss(regressions_[served.regression].LossOf(source));
    if (loss > 0) {
      lowest = std::min(lowest, served.headroom - loss);
    }
  }
  return lowest;
}

double DisturbanceModel::LowestHeadroomWith(const JobStep& spare,
                                            const WorkerTrack& worker,
                                            int64_t percent) const {
  return LowestHeadroomWith(
      BusySourceOf(spare.image), OutlookOf(worker),
      SpareShareOf(spare, worker) * static_cast<double>(percent) / 100);
}

double DisturbanceModel::HeadroomBeside(const WorkerTrack& worker,
                                        const JobStep& step) const {
  const HeadroomRegression* regression = FindRegression(step.image);
  if (regression == nullptr) {
    return HeadroomRegression().LowCalmHeadroom();
  }
  return regression->LowCalmHeadroom() - LossFromSpare(*regression, worker);
}

}  // namespace bramleyrail
