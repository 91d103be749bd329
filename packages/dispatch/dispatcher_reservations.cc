// Reservations of workers for long-running tasks that wait for room.

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

// A step that waits this long reserves workers. Small tasks take each part of
// the room that a larger one needs as soon as it is free, so it could wait for
// as long as they come.
constexpr Milliseconds kReservationWait{500};
// At most one worker of a pool in this many is reserved, and always one. The
// workers of a gang come on top.
constexpr size_t kWorkersPerReservation = 10;
// After this time another worker may suit better: the runs on this one may not
// end soon.
constexpr Milliseconds kMaximumReservation{5'000};
// A search visits all workers of a pool.
constexpr int kMaximumSearchesPerUpdate = 20;

// What the runs that do not end by themselves occupy.
ResourceAmounts OccupiedForLong(const TrackedWorker& worker) {
  ResourceAmounts occupied;
  for (const auto& [key, run] : worker.runs()) {
    if (run.step != nullptr && run.step->long_running) {
      // Best-effort runs take what the others leave of the processors.
      occupied.processor_millis +=
          run.step->best_effort ? 0 : run.reserved.processor_millis;
      occupied.memory_mib += run.reserved.memory_mib;
      occupied.accelerators += run.reserved.accelerators;
    }
  }
  return occupied;
}

// Whether a run of the step fits beside the occupied amounts.
bool FitsBeside(const ResourceAmounts& occupied,
                const JobStep& step,
                const ResourceAmounts& capacity) {
  ResourceAmounts needed = occupied;
  needed.processor_millis += step.size.processor_millis;
  needed.memory_mib += step.size.memory_mib;
  needed.accelerators += step.size.accelerators;
  return needed.FitsInto(capacity);
}

int64_t CountParts(int64_t free, int64_t part, int64_t maximum) {
  return part <= 0 ? maximum : std::min(free / part, maximum);
}

// How many more members of the gang fit on the worker beside the occupied
// amounts. `first` names the step.
int64_t CountMembers(const ResourceAmounts& occupied,
                     const TrackedWorker& worker,
                     const JobStep& step,
                     const TaskName& first) {
  const ResourceAmounts& capacity = worker.registration().capacity;
  if (worker.HasRunOfUnknownSize() || !occupied.FitsInto(capacity) ||
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
    count = CountParts(capacity.processor_millis - occupied.processor_millis,
                       step.size.processor_millis, count);
  }
  count = CountParts(capacity.memory_mib - occupied.memory_mib,
                     step.size.memory_mib, count);
  return CountParts(capacity.accelerators - occupied.accelerators,
                    step.size.accelerators, count);
}

double MissingShare(int64_t reserved, int64_t needed, int64_t capacity) {
  return static_cast<double>(
             std::max<int64_t>(reserved + needed - capacity, 0)) /
         static_cast<double>(std::max<int64_t>(capacity, 1));
}

// The share of the worker's capacity that has to become free for the step.
double MissingShare(const TrackedWorker& worker, const JobStep& step) {
  const ResourceAmounts& reserved = worker.reserved();
  const ResourceAmounts& capacity = worker.registration().capacity;
  return std::max(
      {MissingShare(reserved.processor_millis, step.size.processor_millis,
                    capacity.processor_millis),
       MissingShare(reserved.memory_mib, step.size.memory_mib,
                    capacity.memory_mib),
       MissingShare(reserved.accelerators, step.size.accelerators,
                    capacity.accelerators)});
}

}  // namespace

// Finds workers that will have room for a step once other runs have ended.
class ReservationSearch {
 public:
  // How many workers of the pool are reserved for other steps than the gang.
  // Callers count those that they add.
  size_t& CountReserved(const EligibleWorkers& pool,
                        const std::optional<TaskName>& gang) {
    const auto [count, added] = reserved_.try_emplace(&pool, 0);
    if (added) {
      count->second = static_cast<size_t>(std::count_if(
          pool.workers.begin(), pool.workers.end(),
          [&gang](const TrackedWorker* worker) {
            return worker->reserved_for && worker->reserved_for != gang;
          }));
    }
    return count->second;
  }

  // Returns the worker on which the least has to become free; null when no
  // worker will have room, or after too many searches. `first` names the step.
  TrackedWorker* FindWorker(const EligibleWorkers& eligible,
                            const JobStep& step,
                            const TaskName& first) {
    if (searches_ >= kMaximumSearchesPerUpdate || HasFailedFor(step)) {
      return nullptr;
    }
    ++searches_;
    TrackedWorker* best = nullptr;
    double best_missing = 0;
    for (TrackedWorker* worker : eligible.workers) {
      if (!WillHaveRoom(*worker, step, first)) {
        continue;
      }
      const double missing = MissingShare(*worker, step);
      if (best == nullptr || missing < best_missing) {
        best = worker;
        best_missing = missing;
      }
    }
    if (best == nullptr && step.maximum_tasks_per_worker == 0) {
      failed_.push_back(&step);
    }
    return best;
  }

  // Returns workers that will have room for the whole gang, as few as possible;
  // none when the gang waits for something else, or when they will not have it,
  // or after too many searches.
  std::vector<TrackedWorker*> FindWorkersForGang(
      const EligibleWorkers& eligible,
      const JobStep& step,
      const TaskName& first) {
    if (searches_ >= kMaximumSearchesPerUpdate) {
      return {};
    }
    ++searches_;
    std::vector<Candidate> candidates;
    int64_t fitting_now = 0;
    for (TrackedWorker* worker : eligible.workers) {
      fitting_now += CountMembers(worker->reserved(), *worker, step, first);
      const int64_t members =
          CountMembers(FindOccupied(*worker), *worker, step, first);
      if (members > 0 && !worker->reserved_for) {
        candidates.push_back({worker, members, MissingShare(*worker, step)});
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
    std::vector<TrackedWorker*> workers;
    int64_t members = 0;
    for (const Candidate& candidate : candidates) {
      workers.push_back(candidate.worker);
      members += candidate.members;
      if (members >= step.tasks) {
        return workers;
      }
    }
    return {};
  }

 private:
  struct Candidate {
    TrackedWorker* worker = nullptr;
    int64_t members = 0;
    double missing = 0;  // See MissingShare().
  };

  const ResourceAmounts& FindOccupied(const TrackedWorker& worker) {
    const auto [occupied, added] = occupied_.try_emplace(&worker);
    if (added) {
      occupied->second = OccupiedForLong(worker);
    }
    return occupied->second;
  }

  // Whether the search has failed for a step that needs no more.
  bool HasFailedFor(const JobStep& step) const {
    return std::any_of(failed_.begin(), failed_.end(),
                       [&](const JobStep* failed) {
                         return failed->size.FitsInto(step.size) &&
                                failed->required_label == step.required_label;
                       });
  }

  bool WillHaveRoom(const TrackedWorker& worker,
                    const JobStep& step,
                    const TaskName& first) {
    // A worker that has room rejects the step for another reason.
    return !worker.reserved_for && !worker.HasRunOfUnknownSize() &&
           !WorkerSelector::HasCapacityFor(worker, step) &&
           FitsBeside(FindOccupied(worker), step,
                      worker.registration().capacity) &&
           !WorkerSelector::IsAtTaskLimit(worker, step, first) &&
           WorkerSelector::HasRequiredLabel(worker, step);
  }

  std::map<const EligibleWorkers*, size_t> reserved_;
  std::map<const TrackedWorker*, ResourceAmounts> occupied_;
  std::vector<const JobStep*> failed_;
  int searches_ = 0;
};

void Dispatcher::Reserve(TrackedWorker* worker,
                         const TaskName& step,
                         const TrackedStep& tracked_step,
                         MonotonicTime now) {
  worker->reserved_for = step;
  worker->reserved_since = now;
  ++reservations_[step];
  LogEvent(kRoomReserved, {{"task", step.ToString()},
                           {"worker", worker->registration().id},
                           {"waited_ms", WaitOf(tracked_step, now).count()},
                           {"ready_tasks", tracked_step.ready_tasks.size()}});
}

bool Dispatcher::IsReservationUseful(const TrackedWorker& worker,
                                     const PlacementPass& pass) {
  const TaskName& first = *worker.reserved_for;
  TrackedJob* job = FindJob(first.job);
  const auto counted = reservations_.find(first);
  const size_t reserved = counted == reservations_.end() ? 0 : counted->second;
  if (job == nullptr || job->step(first).gang ||
      job->step_record(first).ready_tasks.size() <= reserved ||
      pass.now - worker.reserved_since >= kMaximumReservation ||
      WorkerSelector::IsAtTaskLimit(worker, job->step(first), first) ||
      IsHeldByLimit(*job, first)) {
    return false;
  }
  // A task of the step that has started may have left no room for the next one.
  if (!FitsBeside(OccupiedForLong(worker), job->step(first),
                  worker.registration().capacity)) {
    return false;
  }
  // A pass that is over has not tried all steps.
  if (!pass.IsOver() &&
      WorkerSelector::HasCapacityFor(worker, job->step(first))) {
    return false;  // The step waits for something else.
  }
  return IsPaused(worker, pass.now) ||
         IsEligible(worker, job->job().pool, pass);
}

bool Dispatcher::IsPaused(const TrackedWorker& worker, MonotonicTime now) {
  // These pauses are short, and the room would have to be collected anew.
  return (worker.failed_renewals == 1 || now < worker.avoid_until ||
          now < worker.isolated_until) &&
         !worker.deregistered && !worker.registration().draining;
}

bool Dispatcher::IsEligible(const TrackedWorker& worker,
                            const std::string& pool_name,
                            const PlacementPass& pass) {
  const auto pool = pass.eligible.find(pool_name);
  if (pool == pass.eligible.end()) {
    return true;
  }
  const std::vector<TrackedWorker*>& eligible = pool->second.workers;
  return std::find(eligible.begin(), eligible.end(), &worker) != eligible.end();
}

bool Dispatcher::IsGangReservationUseful(
    const TaskName& first,
    const std::vector<const TrackedWorker*>& workers,
    const PlacementPass& pass) {
  TrackedJob* job = FindJob(first.job);
  if (!job->AreAllTasksReady(first) || IsHeldByLimit(*job, first)) {
    return false;
  }
  const JobStep& step = job->step(first);
  int64_t fitting_now = 0;
  int64_t fitting = 0;
  for (const TrackedWorker* worker : workers) {
    if (pass.now - worker->reserved_since >= kMaximumReservation) {
      return false;
    }
    fitting += CountMembers(OccupiedForLong(*worker), *worker, step, first);
    if (IsPaused(*worker, pass.now)) {
      continue;
    }
    if (!IsEligible(*worker, job->job().pool, pass)) {
      return false;
    }
    fitting_now += CountMembers(worker->reserved(), *worker, step, first);
  }
  // A gang that has room waits for something else. A pass that is over has not
  // tried all steps.
  return fitting >= step.tasks && (pass.IsOver() || fitting_now < step.tasks);
}

std::set<TaskName> Dispatcher::FindUsefulGangReservations(
    const PlacementPass& pass) {
  std::map<TaskName, std::vector<const TrackedWorker*>> gangs;
  for (const auto& [id, worker] : workers_) {
    if (!worker->reserved_for) {
      continue;
    }
    TrackedJob* job = FindJob(worker->reserved_for->job);
    if (job != nullptr && job->step(*worker->reserved_for).gang) {
      gangs[*worker->reserved_for].push_back(worker.get());
    }
  }
  std::set<TaskName> useful;
  for (const auto& [first, workers] : gangs) {
    // A worker that has been removed leaves the others without their use.
    if (workers.size() == reservations_[first] &&
        IsGangReservationUseful(first, workers, pass)) {
      useful.insert(first);
      gang_reservations_.emplace(FindJob(first.job)->job().pool, first);
    }
  }
  return useful;
}

void Dispatcher::EndReservations(const PlacementPass& pass) {
  if (reservations_.empty()) {
    return;
  }
  gang_reservations_.clear();
  const std::set<TaskName> useful_gangs = FindUsefulGangReservations(pass);
  reservations_.clear();
  for (const auto& [id, worker] : workers_) {
    if (!worker->reserved_for) {
      continue;
    }
    if (useful_gangs.contains(*worker->reserved_for) ||
        IsReservationUseful(*worker, pass)) {
      ++reservations_[*worker->reserved_for];
      continue;
    }
    LogEvent(kRoomReservationEnded,
             {{"task", worker->reserved_for->ToString()},
              {"worker", id},
              {"reserved_ms", std::chrono::floor<Milliseconds>(
                                  pass.now - worker->reserved_since)
                                  .count()}});
    worker->reserved_for.reset();
  }
}

void Dispatcher::ReserveForStep(const TaskName& first,
                                TrackedJob* job,
                                const PlacementPass& pass,
                                ReservationSearch* search) {
  const JobStep& step = job->step(first);
  const TrackedStep& tracked_step = job->step_record(first);
  const auto pool = pass.eligible.find(job->job().pool);
  if (!step.long_running || pool == pass.eligible.end() ||
      IsHeldByLimit(*job, first) ||
      WaitOf(tracked_step, pass.now) < kReservationWait) {
    return;
  }
  const auto gang = gang_reservations_.find(pool->first);
  if (step.gang) {
    if (gang == gang_reservations_.end()) {
      ReserveForGang(first, job, pass, search);
    }
    return;
  }
  const auto reserved = reservations_.find(first);
  if (reserved != reservations_.end() &&
      reserved->second >= tracked_step.ready_tasks.size()) {
    return;
  }
  size_t& in_pool =
      search->CountReserved(pool->second, gang == gang_reservations_.end()
                                              ? std::nullopt
                                              : std::optional(gang->second));
  const size_t maximum =
      std::max<size_t>(1, pool->second.workers.size() / kWorkersPerReservation);
  if (in_pool >= maximum) {
    return;
  }
  if (TrackedWorker* worker = search->FindWorker(pool->second, step, first)) {
    Reserve(worker, first, tracked_step, pass.now);
    ++in_pool;
  }
}

void Dispatcher::ReserveForGang(const TaskName& first,
                                TrackedJob* job,
                                const PlacementPass& pass,
                                ReservationSearch* search) {
  if (!job->AreAllTasksReady(first)) {
    return;
  }
  const std::string& pool = job->job().pool;
  // All workers at once, so that no two gangs wait for each other's.
  for (TrackedWorker* worker : search->FindWorkersForGang(
           pass.eligible.at(pool), job->step(first), first)) {
    Reserve(worker, first, job->step_record(first), pass.now);
    gang_reservations_.emplace(pool, first);
  }
}

void Dispatcher::UpdateReservations(const PlacementPass& pass) {
  EndReservations(pass);
  ReservationSearch search;
  for (const auto& [key, job] : ready_.deferred_steps()) {
    ReserveForStep({key.job, key.occurrence, key.step, 0}, job, pass, &search);
  }
}

}  // namespace bramleyrail
