#include "packages/dispatch/room_search.h"

#include <algorithm>

namespace bramleyrail {

namespace {

// A search visits all workers of a pool.
constexpr int kMaximumSearches = 20;
// The long-running steps, which come first, leave at most this many to the
// others.
constexpr int kMaximumSearchesForOthers = 5;

int64_t CountParts(int64_t free, int64_t part, int64_t maximum) {
  return part <= 0 ? maximum : std::min(free / part, maximum);
}

double MissingShare(int64_t held, int64_t needed, int64_t capacity) {
  return static_cast<double>(std::max<int64_t>(held + needed - capacity, 0)) /
         static_cast<double>(std::max<int64_t>(capacity, 1));
}

double MissingShare(const TrackedWorker& worker, const JobStep& step) {
  const ResourceAmounts& held = worker.reserved();
  const ResourceAmounts& capacity = worker.registration().capacity;
  return std::max(
      {MissingShare(held.processor_millis, step.size.processor_millis,
                    capacity.processor_millis),
       MissingShare(held.memory_mib, step.size.memory_mib, capacity.memory_mib),
       MissingShare(held.accelerators, step.size.accelerators,
                    capacity.accelerators)});
}

// A plan for a step that ends gives way to one for a long-running step.
bool MayPlan(const TrackedWorker& worker, const JobStep& step) {
  return !worker.planned_start ||
         (step.long_running && !worker.planned_start->long_running);
}

}  // namespace

int64_t CountMembers(const ResourceAmounts& held,
                     const TrackedWorker& worker,
                     const JobStep& step,
                     const TaskName& first) {
  const ResourceAmounts& capacity = worker.registration().capacity;
  if (worker.HasRunOfUnknownSize() || !held.FitsInto(capacity) ||
      !WorkerSelector::HasRequiredLabel(worker, step)) {
    return 0;
  }
  int64_t count = step.tasks;
  if (step.maximum_tasks_per_worker > 0) {
    const int64_t others =
        worker.CountRunsOfStep(first.job, first.occurrence, first.step);
    count =
        std::clamp<int64_t>(step.maximum_tasks_per_worker - others, 0, count);
  }
  if (!step.best_effort) {
    count = CountParts(capacity.processor_millis - held.processor_millis,
                       step.size.processor_millis, count);
  }
  count = CountParts(capacity.memory_mib - held.memory_mib,
                     step.size.memory_mib, count);
  return CountParts(capacity.accelerators - held.accelerators,
                    step.size.accelerators, count);
}

size_t& RoomSearch::CountPlanned(const EligibleWorkers& pool,
                                 bool long_running,
                                 const std::optional<TaskName>& gang) {
  const auto [count, added] = planned_.try_emplace({&pool, long_running}, 0);
  if (added) {
    count->second = static_cast<size_t>(std::count_if(
        pool.workers.begin(), pool.workers.end(),
        [&](const TrackedWorker* worker) {
          return worker->planned_start &&
                 worker->planned_start->long_running == long_running &&
                 worker->planned_start->step != gang;
        }));
  }
  return count->second;
}

std::optional<RoomSearch::Candidate> RoomSearch::FindWorker(
    const EligibleWorkers& eligible,
    const JobStep& step,
    const TaskName& first) {
  if (searches_ >= kMaximumSearches ||
      (!step.long_running &&
       searches_for_others_ >= kMaximumSearchesForOthers) ||
      HasFailedFor(step)) {
    return std::nullopt;
  }
  ++searches_;
  searches_for_others_ += step.long_running ? 0 : 1;
  visits_ += eligible.workers.size();
  std::optional<Candidate> best;
  for (TrackedWorker* worker : eligible.workers) {
    if (!WillHaveRoom(*worker, step, first)) {
      continue;
    }
    const auto room = forecast_.FindRoom(*worker, HeldBy(step), now_);
    if (!room) {
      continue;
    }
    const Candidate candidate{worker, 1, room->time,
                              MissingShare(*worker, step), room->ends};
    if (!best || std::pair(candidate.start, candidate.missing) <
                     std::pair(best->start, best->missing)) {
      best = candidate;
    }
  }
  if (!best && step.maximum_tasks_per_worker == 0) {
    failed_.push_back(&step);
  }
  return best;
}

std::vector<RoomSearch::Candidate> RoomSearch::FindWorkersForGang(
    const EligibleWorkers& eligible,
    const JobStep& step,
    const TaskName& first) {
  if (searches_ >= kMaximumSearches) {
    return {};
  }
  ++searches_;
  visits_ += eligible.workers.size();
  std::vector<Candidate> candidates;
  int64_t fitting_now = 0;
  for (TrackedWorker* worker : eligible.workers) {
    fitting_now += CountMembers(worker->reserved(), *worker, step, first);
    const int64_t members =
        CountMembers(FindHeldForLong(*worker), *worker, step, first);
    if (members > 0 && MayPlan(*worker, step)) {
      candidates.push_back(
          {worker, members, now_, MissingShare(*worker, step), 0});
    }
  }
  if (fitting_now >= step.tasks) {
    return {};
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& left, const Candidate& right) {
                     return std::pair(-left.members, left.missing) <
                            std::pair(-right.members, right.missing);
                   });
  int64_t missing_members = step.tasks;
  for (auto candidate = candidates.begin(); candidate != candidates.end();
       ++candidate) {
    candidate->members = std::min(candidate->members, missing_members);
    missing_members -= candidate->members;
    ResourceAmounts needed;
    for (int64_t member = 0; member < candidate->members; ++member) {
      needed += HeldBy(step);
    }
    if (const auto room =
            forecast_.FindRoom(*candidate->worker, needed, now_)) {
      candidate->start = room->time;
    }
    if (missing_members == 0) {
      candidates.erase(candidate + 1, candidates.end());
      return candidates;
    }
  }
  return {};
}

const ResourceAmounts& RoomSearch::FindHeldForLong(
    const TrackedWorker& worker) {
  const auto [held, added] = held_for_long_.try_emplace(&worker);
  if (added) {
    held->second = HeldForLong(worker);
  }
  return held->second;
}

bool RoomSearch::HasFailedFor(const JobStep& step) const {
  return std::any_of(failed_.begin(), failed_.end(),
                     [&](const JobStep* failed) {
                       return failed->size.FitsInto(step.size) &&
                              failed->required_label == step.required_label &&
                              (failed->long_running || !step.long_running);
                     });
}

bool RoomSearch::WillHaveRoom(const TrackedWorker& worker,
                              const JobStep& step,
                              const TaskName& first) {
  // A worker that has room rejects the step for another reason.
  return MayPlan(worker, step) && !worker.HasRunOfUnknownSize() &&
         !WorkerSelector::HasCapacityFor(worker, step) &&
         FitTogether(FindHeldForLong(worker), HeldBy(step),
                     worker.registration().capacity) &&
         !WorkerSelector::IsAtTaskLimit(worker, step, first) &&
         WorkerSelector::HasRequiredLabel(worker, step);
}

}  // namespace bramleyrail
