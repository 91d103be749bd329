#include "packages/dispatch/worker_choice.h"

#include <algorithm>

namespace bramleyrail {

namespace {

// A worker whose last answer is older takes no new runs. It covers the longest
// wait of a look and a round trip between regions.
constexpr Milliseconds kReachableLimit{2'000};

// Weights of a score, in shares of a worker's processors. Data on another rack
// doubles a run time, so it weighs more than any load; the way to another
// region costs 60 ms of a task of about a second.
constexpr double kOtherRackWeight = 4.0;
constexpr double kOtherRegionWeight = 0.1;
constexpr double kFailedThereWeight = 8.0;
// For each failure in a row on the worker.
constexpr double kFailureWeight = 1.0;
// Of headroom that runs with a target lack for comfort.
constexpr double kHeadroomWeight = 1.0;
constexpr double kComfortableHeadroom = 2.0;
// Of the share of spare images that a worker is fit for: it is kept for those
// that few workers are fit for.
constexpr double kOpennessWeight = 1.0;
// Runs with targets keep their kind together, so that there are workers where
// a disturber of one kind disturbs nobody.
constexpr double kSameImageWeight = 1.5;
// What an empty worker counts as: better than a mixture.
constexpr double kEmptyWorkerShare = 0.6;
// A spare run starts beside a run with a target only when this headroom is left
// at its full pace. The limit falls with each second that its job gets late, up
// to some: the pace protects the target then.
constexpr double kLeastHeadroom = 1.5;
constexpr double kHeadroomPerSecond = 0.1;
constexpr double kLongestLate = 3.0;
// Estimates are rough, so a task counts as late this much earlier.
constexpr Milliseconds kLateMargin{500};
constexpr int64_t kPaceStep = 25;
// Reserved processors that are in use on average; spare capacity is the rest.
constexpr double kReservedUse = 0.5;
// Runs of spare capacity ask for no more than this share of what is left, as
// beyond it they only slow down each other and everything beside them.
constexpr double kMaximumSpareShare = 1.1;

bool HasLabel(const WorkerRegistration& worker, const std::string& label) {
  return std::find(worker.labels.begin(), worker.labels.end(), label) !=
         worker.labels.end();
}

// Processors that runs of spare capacity would ask for with one more run, as a
// share of what the others leave.
double SpareShare(const WorkerTrack& worker, const JobStep& step) {
  const double left =
      static_cast<double>(worker.registration().capacity.processor_millis) -
      kReservedUse * static_cast<double>(worker.reserved().processor_millis);
  return static_cast<double>(worker.spare_processor_millis() +
                             step.size.processor_millis) /
         std::max(left, 1.0);
}

bool HasRoom(const WorkerTrack& worker, const JobStep& step) {
  ResourceAmounts needed = worker.reserved();
  const ResourceAmounts& capacity = worker.registration().capacity;
  needed.memory_mib += step.size.memory_mib;
  needed.accelerators += step.size.accelerators;
  if (!step.uses_spare_capacity) {
    needed.processor_millis += step.size.processor_millis;
  }
  return needed.FitsInto(capacity) &&
         (!step.uses_spare_capacity ||
          SpareShare(worker, step) <= kMaximumSpareShare);
}

// Share of the kind among the runs with a target on the worker.
double SameImageShare(const WorkerTrack& worker, const std::string& image) {
  double with_target = 0;
  double same = 0;
  for (const auto& [key, run] : worker.runs()) {
    if (run.step != nullptr && run.step->target_latency_ms > 0) {
      with_target += 1;
      same += run.step->image == image ? 1 : 0;
    }
  }
  return with_target == 0 ? kEmptyWorkerShare : same / with_target;
}

double MissingHeadroom(double headroom) {
  return std::max(0.0, kComfortableHeadroom - headroom);
}

}  // namespace

int64_t WorkerChoice::FirstPace(const JobStep& step,
                                const WorkerTrack& worker,
                                const DisturbanceModel& model) {
  int64_t percent = 100;
  while (percent > kPaceStep &&
         model.LowestHeadroomWith(step, worker, percent) < kLeastHeadroom) {
    percent -= kPaceStep;
  }
  return percent;
}

bool WorkerChoice::IsInOtherRegion(const std::string& failure_domain) const {
  const auto region = options_.region_of_failure_domain.find(failure_domain);
  return region != options_.region_of_failure_domain.end() &&
         region->second != options_.own_region;
}

bool WorkerChoice::IsUsable(const WorkerTrack& worker,
                            const std::string& pool,
                            const std::set<std::string>& evacuated,
                            MonotonicTime now) {
  const WorkerRegistration& registration = worker.registration();
  // Without the worker's clock, a start would carry no lease.
  return worker.heard && worker.knows_clock() && !worker.leaving &&
         !registration.draining && registration.pool == pool &&
         !evacuated.contains(registration.failure_domain) &&
         now - worker.last_answer < kReachableLimit &&
         now >= worker.avoid_until;
}

double WorkerChoice::Score(const RunRequest& request,
                           const WorkerTrack& worker,
                           const DisturbanceModel& model) const {
  const JobStep& step = *request.step;
  const WorkerRegistration& registration = worker.registration();
  const auto capacity = static_cast<double>(
      std::max<int64_t>(registration.capacity.processor_millis, 1));
  const auto reserved = static_cast<double>(worker.reserved().processor_millis);
  double score = kFailureWeight * worker.consecutive_failures;
  if (!step.uses_spare_capacity) {
    const double share =
        (reserved + static_cast<double>(step.size.processor_millis)) / capacity;
    // Long-running tasks are packed, which leaves workers with room for large
    // tasks and for spare runs that would disturb them; others are spread.
    score += step.long_running ? -share : share;
  }
  if (step.target_latency_ms > 0) {
    score +=
        kHeadroomWeight * MissingHeadroom(model.HeadroomBeside(worker, step)) -
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
    score += kFailedThereWeight;
  }
  return score;
}

WorkerTrack* WorkerChoice::Choose(const RunRequest& request,
                                  const WorkerTracks& workers,
                                  const std::set<std::string>& evacuated,
                                  const DisturbanceModel& model,
                                  MonotonicTime now) const {
  const JobStep& step = *request.step;
  const double late_s =
      static_cast<double>((request.late + kLateMargin).count()) / 1'000;
  const double least_headroom =
      kLeastHeadroom -
      kHeadroomPerSecond * std::clamp(late_s, 0.0, kLongestLate);
  const size_t source = model.BusySourceOf(step.image);
  WorkerTrack* best = nullptr;
  double best_score = 0;
  for (const auto& [id, worker] : workers) {
    if (!IsUsable(*worker, request.job->pool, evacuated, now) ||
        !HasRoom(*worker, step)) {
      continue;
    }
    if (!step.required_label.empty() &&
        !HasLabel(worker->registration(), step.required_label)) {
      continue;
    }
    if (step.maximum_tasks_per_worker > 0 &&
        worker->RunsOf(request.task.job, request.task.occurrence,
                       request.task.step) >= step.maximum_tasks_per_worker) {
      continue;
    }
    double score = 0;
    if (step.uses_spare_capacity) {
      if (!worker->outlook) {
        worker->outlook = model.OutlookOf(*worker);
      }
      const double headroom = model.LowestHeadroomWith(
          source, *worker->outlook, SpareShareOf(step, *worker));
      if (worker->outlook->misses_target || headroom < least_headroom) {
        continue;
      }
      score += SpareShare(*worker, step) +
               kHeadroomWeight * MissingHeadroom(headroom) +
               kOpennessWeight * worker->outlook->openness;
    }
    score += Score(request, *worker, model);
    if (best == nullptr || score < best_score) {
      best = worker.get();
      best_score = score;
    }
  }
  return best;
}

}  // namespace bramleyrail
