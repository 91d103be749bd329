#include "packages/dispatch/worker_selector.h"

#include <algorithm>
#include <utility>

#include "packages/dispatch/largest_waiting_task.h"

namespace bramleyrail {

namespace {

// A worker whose last response is older gets no new runs. Covers the maximum
// wait of a lease renewal and a round trip between regions.
constexpr Milliseconds kMaximumResponseAge{2'000};

// Weights of the terms of a score, in shares of a worker's processors; the
// lowest score wins. Data on another rack doubles the duration of a run, so it
// weighs more than any load. A round trip to another region takes 60 ms, while
// a task takes about a second.
constexpr double kOtherRackWeight = 4.0;
constexpr double kOtherRegionWeight = 0.1;
constexpr double kAvoidedWorkerWeight = 8.0;
// A worker that was silent may soon be so again, and a start that it does not
// answer holds its task for a lease. This long after its return, one with
// steady contact is preferred.
constexpr Milliseconds kReturnTime{5'000};
constexpr double kReturnedWorkerWeight = 2.0;
// Applies to each consecutive failure on the worker.
constexpr double kConsecutiveFailureWeight = 1.0;
// Applies to LostRoomShare().
constexpr double kLostRoomWeight = 1.0;
// Applies to the difference between the desired headroom and a lower expected
// headroom.
constexpr double kHeadroomShortfallWeight = 1.0;
constexpr double kDesiredHeadroom = 2.0;
// Applies to the share of the best-effort images that interfere with nothing on
// the worker. Workers that suit all images are kept for images that few workers
// suit.
constexpr double kCompatibleImageWeight = 1.0;
// Applies to the share of the same image among the latency-sensitive runs.
// Keeping an image together leaves workers where a best-effort run that
// interferes with this image affects no run.
constexpr double kSameImageWeight = 1.5;
// Same-image share of a worker without latency-sensitive runs. It is preferred
// to a worker with mixed images.
constexpr double kEmptyWorkerSameImageShare = 0.6;
// A best-effort run starts beside a latency-sensitive run only when this
// headroom remains without a CPU limit. The minimum falls with each second that
// the task is late, up to the maximum below: the CPU limit protects the target
// then.
constexpr double kMinimumHeadroom = 1.5;
constexpr double kHeadroomReductionPerSecondLate = 0.1;
constexpr double kMaximumLateSeconds = 3.0;
// The estimates of durations are imprecise, so a task counts as late this much
// earlier.
constexpr Milliseconds kLatenessMargin{500};
constexpr int64_t kCpuLimitStepPercent = 25;
// Average utilization of reserved processor time. The rest is available to
// best-effort runs.
constexpr double kAverageReservedUtilization = 0.5;
// Best-effort runs may request this share of the available processor time in
// total. Beyond it they only slow down each other and the other runs.
constexpr double kMaximumBestEffortShare = 1.1;

// Applies to each gap for a large task that waits. A worker that is fuller by
// half is preferred to one that would lose such a gap.
constexpr double kLostGapWeight = 0.5;

// Waits after which the protection of targets yields. A best-effort task may
// not wait without a bound while workers have capacity for it: its job would
// stand still with a service that is always close to its targets.
constexpr Milliseconds kThrottledStartWait{3'000};
constexpr Milliseconds kUnprotectedStartWait{6'000};
// Applies to a worker with a missed target, which a task that may start there
// still avoids.
constexpr double kMissedTargetWeight = 4.0;

// Processor time that the best-effort runs request, with one more run of the
// step, as a share of the time that the other runs leave available.
double BestEffortShare(const TrackedWorker& worker, const JobStep& step) {
  const double available =
      static_cast<double>(worker.registration().capacity.processor_millis) -
      kAverageReservedUtilization *
          static_cast<double>(worker.reserved().processor_millis);
  return static_cast<double>(worker.best_effort_processor_millis() +
                             step.size.processor_millis) /
         std::max(available, 1.0);
}

// Share of the image among the latency-sensitive runs on the worker.
double SameImageShare(const TrackedWorker& worker, const std::string& image) {
  double with_target = 0;
  double same = 0;
  for (const auto& [key, run] : worker.runs()) {
    if (run.step != nullptr && run.step->target_latency_ms > 0) {
      with_target += 1;
      same += run.step->image == image ? 1 : 0;
    }
  }
  return with_target == 0 ? kEmptyWorkerSameImageShare : same / with_target;
}

// How many tasks as large as those that wait would no longer fit on the worker.
double LostGaps(const WorkerRequest& request, const TrackedWorker& worker) {
  return request.step->long_running
             ? 0
             : static_cast<double>(CountLostParts(
                   worker.registration().capacity.processor_millis -
                       worker.reserved().processor_millis,
                   request.step->size.processor_millis,
                   request.largest_waiting_millis));
}

// Processors that short work can't use any more once a long-running task of the
// step runs on the worker, as a share of those of the task. Short runs that are
// there now end soon.
double LostRoomShare(const ShortWorkNeed& short_work,
                     const TrackedWorker& worker,
                     const JobStep& step) {
  const int64_t size = step.size.processor_millis;
  const int64_t free = worker.registration().capacity.processor_millis -
                       worker.reserved_for_long().processor_millis;
  return (short_work.UsableProcessorMillis(free) -
          short_work.UsableProcessorMillis(free - size)) /
         static_cast<double>(std::max<int64_t>(size, 1));
}

double HeadroomShortfall(double headroom) {
  return std::max(0.0, kDesiredHeadroom - headroom);
}

}  // namespace

TargetProtection WorkerSelector::ProtectionAfter(Milliseconds waited) {
  if (waited >= kUnprotectedStartWait) {
    return TargetProtection::kAfterStart;
  }
  return waited >= kThrottledStartWait ? TargetProtection::kThrottled
                                       : TargetProtection::kFull;
}

int64_t WorkerSelector::InitialCpuLimit(const JobStep& step,
                                        const TrackedWorker& worker,
                                        const LatencyInterferenceModel& model) {
  const BestEffortEstimate estimate = worker.best_effort_estimate
                                          ? *worker.best_effort_estimate
                                          : model.EstimateFor(worker);
  const size_t source = model.BusySourceOf(step.image);
  const double share = RequestedShare(step, worker);
  int64_t limit_percent = 100;
  while (limit_percent > kCpuLimitStepPercent &&
         model.MinimumHeadroomWith(source, estimate,
                                   share * static_cast<double>(limit_percent) /
                                       100) < kMinimumHeadroom) {
    limit_percent -= kCpuLimitStepPercent;
  }
  return limit_percent;
}

bool WorkerSelector::HasCapacityFor(const TrackedWorker& worker,
                                    const JobStep& step) {
  if (worker.HasRunOfUnknownSize()) {
    return false;
  }
  ResourceAmounts needed = worker.reserved();
  const ResourceAmounts& capacity = worker.registration().capacity;
  needed.memory_mib += step.size.memory_mib;
  needed.accelerators += step.size.accelerators;
  if (!step.best_effort) {
    needed.processor_millis += step.size.processor_millis;
  }
  return needed.FitsInto(capacity);
}

bool WorkerSelector::HasRequiredLabel(const TrackedWorker& worker,
                                      const JobStep& step) {
  const std::vector<std::string>& labels = worker.registration().labels;
  return step.required_label.empty() ||
         std::find(labels.begin(), labels.end(), step.required_label) !=
             labels.end();
}

bool WorkerSelector::IsAtTaskLimit(const TrackedWorker& worker,
                                   const JobStep& step,
                                   const TaskName& task) {
  return step.maximum_tasks_per_worker > 0 &&
         worker.CountRunsOfStep(task.job, task.occurrence, task.step) >=
             step.maximum_tasks_per_worker;
}

bool WorkerSelector::IsInOtherRegion(const std::string& failure_domain) const {
  const auto region = options_.region_of_failure_domain.find(failure_domain);
  return region != options_.region_of_failure_domain.end() &&
         region->second != options_.local_region;
}

bool WorkerSelector::IsEligible(const TrackedWorker& worker,
                                const std::string& pool,
                                const std::set<std::string>& evacuated,
                                MonotonicTime now) {
  const WorkerRegistration& registration = worker.registration();
  // Without the worker's clock, a start order could not carry a lease. After a
  // failed renewal, a later incarnation might execute the order.
  return worker.failed_renewals == 0 && worker.contacted &&
         !worker.has_unresolved_lists() && worker.has_clock() &&
         !worker.deregistered && !registration.draining &&
         registration.pool == pool &&
         !evacuated.contains(registration.failure_domain) &&
         now - worker.last_response < kMaximumResponseAge &&
         now >= worker.avoid_until && now >= worker.isolated_until;
}

double WorkerSelector::Score(const WorkerRequest& request,
                             const TrackedWorker& worker,
                             const LatencyInterferenceModel& model) const {
  const JobStep& step = *request.step;
  const WorkerRegistration& registration = worker.registration();
  const auto capacity = static_cast<double>(
      std::max<int64_t>(registration.capacity.processor_millis, 1));
  const auto reserved = static_cast<double>(worker.reserved().processor_millis);
  double score = kConsecutiveFailureWeight * worker.consecutive_failures;
  if (!step.best_effort) {
    const double share =
        (reserved + static_cast<double>(step.size.processor_millis)) / capacity;
    // Long-running tasks are packed, which leaves workers with capacity for
    // large tasks and for best-effort runs that would interfere with them;
    // other tasks are spread.
    score += step.long_running ? -share : share;
    score += kLostGapWeight * LostGaps(request, worker);
  }
  if (request.short_work != nullptr) {
    score += kLostRoomWeight * LostRoomShare(*request.short_work, worker, step);
  }
  if (step.target_latency_ms > 0) {
    score += kHeadroomShortfallWeight *
                 HeadroomShortfall(model.HeadroomForNewRun(worker, step)) -
             kSameImageWeight * SameImageShare(worker, step.image);
  }
  if (worker.in_other_region) {
    score += kOtherRegionWeight;
  }
  if (!request.preferred_rack.empty() &&
      worker.rack() != request.preferred_rack) {
    score += kOtherRackWeight;
  }
  if (!request.avoid_worker.empty() &&
      request.avoid_worker == registration.id) {
    score += kAvoidedWorkerWeight;
  }
  if (worker.returned && request.now - *worker.returned < kReturnTime) {
    score += kReturnedWorkerWeight;
  }
  return score;
}

EligibleWorkers WorkerSelector::FindEligible(
    const TrackedWorkers& workers,
    const std::string& pool,
    const std::set<std::string>& evacuated,
    MonotonicTime now) {
  std::vector<TrackedWorker*> all;
  EligibleWorkers eligible;
  size_t sound = 0;
  for (const auto& [id, worker] : workers) {
    const bool is_failing = now < worker->failing_until;
    sound += worker->registration().pool == pool && !worker->deregistered &&
                     !is_failing
                 ? 1
                 : 0;
    if (!IsEligible(*worker, pool, evacuated, now)) {
      ++eligible.ineligible;
      continue;
    }
    all.push_back(worker.get());
    (is_failing ? eligible.failing : eligible.workers).push_back(worker.get());
  }
  if (eligible.failing.size() > sound) {
    eligible.workers = std::move(all);
    eligible.failing.clear();
  }
  eligible.ineligible += static_cast<int64_t>(eligible.failing.size());
  return eligible;
}

std::optional<double> WorkerSelector::Rate(
    const WorkerRequest& request,
    TrackedWorker* worker,
    const LatencyInterferenceModel& model,
    WorkerRejections* rejections) const {
  const JobStep& step = *request.step;
  // A run that may crash the worker can have started there since the worker was
  // found eligible.
  if (request.now < worker->isolated_until) {
    ++rejections->ineligible;
    return std::nullopt;
  }
  if ((request.suspected && request.now < worker->suspect_until) ||
      (request.isolated && worker->HasRecentRun(request.now))) {
    ++rejections->not_isolated;
    return std::nullopt;
  }
  if (!HasCapacityFor(*worker, step)) {
    ++rejections->no_capacity;
    return std::nullopt;
  }
  if (worker->planned_start &&
      !MayStartBeforePlan(*worker->planned_start, *worker, request)) {
    ++rejections->planned;
    return std::nullopt;
  }
  if (step.best_effort &&
      BestEffortShare(*worker, step) > kMaximumBestEffortShare) {
    ++rejections->best_effort_full;
    return std::nullopt;
  }
  if (!HasRequiredLabel(*worker, step)) {
    ++rejections->label_missing;
    return std::nullopt;
  }
  if (IsAtTaskLimit(*worker, step, request.task)) {
    ++rejections->task_limit;
    return std::nullopt;
  }
  if (!step.best_effort) {
    return Score(request, *worker, model);
  }
  const TargetProtection protection = ProtectionAfter(request.waited);
  const bool unprotected = protection == TargetProtection::kAfterStart;
  const double share_in_use =
      protection == TargetProtection::kFull
          ? 1.0
          : static_cast<double>(kCpuLimitStepPercent) / 100;
  const double late_seconds =
      static_cast<double>((request.lateness + kLatenessMargin).count()) / 1'000;
  const double minimum_headroom =
      kMinimumHeadroom - kHeadroomReductionPerSecondLate *
                             std::clamp(late_seconds, 0.0, kMaximumLateSeconds);
  if (!worker->best_effort_estimate) {
    worker->best_effort_estimate = model.EstimateFor(*worker);
  }
  const BestEffortEstimate& estimate = *worker->best_effort_estimate;
  const bool missed = estimate.is_any_over_target;
  if (missed && !unprotected) {
    ++rejections->target_missed;
    return std::nullopt;
  }
  const double headroom =
      model.MinimumHeadroomWith(model.BusySourceOf(step.image), estimate,
                                RequestedShare(step, *worker) * share_in_use);
  if (headroom < minimum_headroom && !unprotected) {
    ++rejections->low_headroom;
    return std::nullopt;
  }
  return (missed ? kMissedTargetWeight : 0) + BestEffortShare(*worker, step) +
         kHeadroomShortfallWeight * HeadroomShortfall(headroom) +
         kCompatibleImageWeight * estimate.compatible_image_share +
         Score(request, *worker, model);
}

WorkerSelection WorkerSelector::Select(
    const WorkerRequest& request,
    const EligibleWorkers& eligible,
    const LatencyInterferenceModel& model) const {
  WorkerSelection selection;
  selection.protection = ProtectionAfter(request.waited);
  selection.rejections.ineligible = eligible.ineligible;
  double best_score = 0;
  for (TrackedWorker* worker : eligible.workers) {
    const auto score = Rate(request, worker, model, &selection.rejections);
    if (score && (selection.worker == nullptr || *score < best_score)) {
      selection.worker = worker;
      best_score = *score;
    }
  }
  return selection;
}

}  // namespace bramleyrail
