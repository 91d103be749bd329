#include "packages/dispatch/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace bramleyrail {

namespace {

// Each interval of ratios is a quarter of an octave wide; the first one begins
// at 1/32.
constexpr double kIntervalsPerOctave = 4;
constexpr double kFirstOctave = -5;
// A run counts half as much after about 70 later ones, so that a few seconds of
// slow workers don't stay in the estimates.
constexpr float kWeightAfterNextRun = 0.99F;
// With fewer runs, one of them in a tail would decide the high estimate.
constexpr int64_t kMinimumRuns = 8;
// Submitted durations are wrong by up to nine tenths.
constexpr double kUnknownFactor = 10;
constexpr double kLowShare = 0.1;
constexpr double kHighShare = 0.9;
constexpr Milliseconds kUnknownDuration{1'000};

Milliseconds SubmittedOrDefault(Milliseconds submitted) {
  return submitted > Milliseconds(0) ? submitted : kUnknownDuration;
}

Milliseconds Scale(Milliseconds duration, double factor) {
  return Milliseconds(static_cast<int64_t>(
      std::ceil(static_cast<double>(duration.count()) * factor)));
}

double LowerBound(size_t interval) {
  return std::exp2(static_cast<double>(interval) / kIntervalsPerOctave +
                   kFirstOctave);
}

}  // namespace

void RunTimeEstimator::Ratios::Add(double ratio) {
  const double position =
      std::floor((std::log2(ratio) - kFirstOctave) * kIntervalsPerOctave);
  const auto interval = static_cast<size_t>(
      std::clamp(position, 0.0, static_cast<double>(kIntervals - 1)));
  for (float& weight : weights_) {
    weight *= kWeightAfterNextRun;
  }
  weights_[interval] += 1;
  total_ = total_ * kWeightAfterNextRun + 1;
  ++runs_;
}

bool RunTimeEstimator::Ratios::IsKnown() const {
  return runs_ >= kMinimumRuns;
}

RunTimeEstimator::Ratios::Interval RunTimeEstimator::Ratios::IntervalAt(
    double share) const {
  const double wanted = share * total_;
  double before = 0;
  size_t last_used = 0;
  for (size_t interval = 0; interval < kIntervals; ++interval) {
    if (weights_[interval] <= 0) {
      continue;
    }
    last_used = interval;
    before += weights_[interval];
    if (before >= wanted) {
      break;
    }
  }
  return {LowerBound(last_used), LowerBound(last_used + 1)};
}

void RunTimeEstimator::Record(std::string_view queue,
                              std::string_view image,
                              Milliseconds submitted,
                              Milliseconds actual) {
  const double ratio =
      static_cast<double>(std::max<int64_t>(actual.count(), 1)) /
      static_cast<double>(SubmittedOrDefault(submitted).count());
  auto found = queues_.find(queue);
  if (found == queues_.end()) {
    found = queues_.emplace(std::string(queue), Queue{}).first;
  }
  Queue& entry = found->second;
  entry.all.Add(ratio);
  auto ratios = entry.images.find(image);
  if (ratios == entry.images.end()) {
    ratios = entry.images.emplace(std::string(image), Ratios{}).first;
    ++image_count_;
  }
  ratios->second.Add(ratio);
  ratios->second.last_use = ++uses_;
  if (image_count_ > kMaximumImages) {
    RemoveLeastRecentlyUsed();
  }
}

void RunTimeEstimator::RemoveLeastRecentlyUsed() {
  auto oldest_queue = queues_.end();
  std::map<std::string, Ratios, std::less<>>::iterator oldest;
  for (auto queue = queues_.begin(); queue != queues_.end(); ++queue) {
    std::map<std::string, Ratios, std::less<>>& images = queue->second.images;
    for (auto image = images.begin(); image != images.end(); ++image) {
      if (oldest_queue == queues_.end() ||
          image->second.last_use < oldest->second.last_use) {
        oldest_queue = queue;
        oldest = image;
      }
    }
  }
  oldest_queue->second.images.erase(oldest);
  --image_count_;
  if (oldest_queue->second.images.empty()) {
    queues_.erase(oldest_queue);
  }
}

const RunTimeEstimator::Ratios* RunTimeEstimator::FindRatios(
    std::string_view queue,
    std::string_view image) const {
  const auto found = queues_.find(queue);
  if (found == queues_.end()) {
    return nullptr;
  }
  const auto ratios = found->second.images.find(image);
  if (ratios != found->second.images.end() && ratios->second.IsKnown()) {
    return &ratios->second;
  }
  return found->second.all.IsKnown() ? &found->second.all : nullptr;
}

RunTimeEstimate RunTimeEstimator::Estimate(std::string_view queue,
                                           std::string_view image,
                                           Milliseconds submitted) const {
  const Milliseconds base = SubmittedOrDefault(submitted);
  const Ratios* ratios = FindRatios(queue, image);
  if (ratios == nullptr) {
    return {Scale(base, 1 / kUnknownFactor), base, Scale(base, kUnknownFactor)};
  }
  const Ratios::Interval median = ratios->IntervalAt(0.5);
  return {Scale(base, ratios->IntervalAt(kLowShare).lower),
          Scale(base, std::sqrt(median.lower * median.upper)),
          Scale(base, ratios->IntervalAt(kHighShare).upper)};
}

}  // namespace bramleyrail
