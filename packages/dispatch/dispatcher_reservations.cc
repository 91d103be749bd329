// Reservations of workers for long-running tasks that wait for room.

#include <algorithm>
#include <map>
#include <set>

#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

// A step that waits this long reserves workers. Small tasks take each part of
// the room that a larger one needs as soon as it is free, so it could wait for
// as long as they come.
constexpr Milliseconds kReservationWait{500};
// At most one worker of the pool in this many is reserved.
constexpr size_t kWorkersPerReservation = 10;

// What the runs that do not end by themselves occupy.
ResourceAmounts OccupiedForLong(const TrackedWorker& worker) {
  ResourceAmounts occupied;
  for (const auto& [key, run] : worker.runs()) {
    if (run.step != nullptr && run.step->long_running) {
      occupied.processor_millis += run.reserved.processor_millis;
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

bool HasTaskLimit(const TrackedWorker& worker,
                  const JobStep& step,
                  const TaskName& first) {
  return step.maximum_tasks_per_worker > 0 &&
         worker.CountRunsOfStep(first.job, first.occurrence, first.step) >=
             step.maximum_tasks_per_worker;
}

bool HasRequiredLabel(const TrackedWorker& worker, const JobStep& step) {
  const auto& labels = worker.registration().labels;
  return step.required_label.empty() ||
         std::find(labels.begin(), labels.end(), step.required_label) !=
             labels.end();
}

// Finds workers that will have room for a step once other runs have ended.
class ReservationSearch {
 public:
  // Returns the worker on which the least has to become free; null when no
  // worker will have room. `first` names the step.
  TrackedWorker* FindWorker(const EligibleWorkers& eligible,
                            const JobStep& step,
                            const TaskName& first) {
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
    return best;
  }

 private:
  bool WillHaveRoom(const TrackedWorker& worker,
                    const JobStep& step,
                    const TaskName& first) {
    const auto [occupied, added] = occupied_.try_emplace(&worker);
    if (added) {
      occupied->second = OccupiedForLong(worker);
    }
    // A worker that has room rejects the step for another reason.
    return !worker.reserved_for && !worker.HasRunOfUnknownSize() &&
           !WorkerSelector::HasCapacityFor(worker, step) &&
           FitsBeside(occupied->second, step, worker.registration().capacity) &&
           !HasTaskLimit(worker, step, first) && HasRequiredLabel(worker, step);
  }

  std::map<const TrackedWorker*, ResourceAmounts> occupied_;
};

}  // namespace

bool Dispatcher::IsReservedFor(TaskName task) const {
  task.index = 0;
  return reservations_.contains(task);
}

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

void Dispatcher::EndReservations(const PlacementPass& pass) {
  if (reservations_.empty()) {
    return;
  }
  std::set<const TrackedWorker*> eligible;
  for (const auto& [pool, workers] : pass.eligible) {
    eligible.insert(workers.workers.begin(), workers.workers.end());
  }
  reservations_.clear();
  for (const auto& [id, worker] : workers_) {
    if (!worker->reserved_for) {
      continue;
    }
    const TaskName first = *worker->reserved_for;
    TrackedJob* job = FindJob(first.job);
    // When there is room and the step still waits, it waits for something else.
    const bool is_useful =
        job != nullptr && !job->step_record(first).ready_tasks.empty() &&
        eligible.contains(worker.get()) &&
        !WorkerSelector::HasCapacityFor(*worker, job->step(first)) &&
        !HasTaskLimit(*worker, job->step(first), first);
    if (is_useful) {
      ++reservations_[first];
      continue;
    }
    worker->reserved_for.reset();
    LogEvent(kRoomReservationEnded,
             {{"task", first.ToString()},
              {"worker", id},
              {"reserved_ms", std::chrono::floor<Milliseconds>(
                                  pass.now - worker->reserved_since)
                                  .count()}});
  }
}

void Dispatcher::UpdateReservations(const PlacementPass& pass) {
  // Otherwise some steps were not tried.
  if (pass.IsOver()) {
    return;
  }
  EndReservations(pass);
  size_t reserved = 0;
  for (const auto& [step, workers] : reservations_) {
    reserved += workers;
  }
  ReservationSearch search;
  for (const auto& [key, job] : ready_.deferred_steps()) {
    const TaskName first{key.job, key.occurrence, key.step, 0};
    const JobStep& step = job->step(first);
    const TrackedStep& tracked_step = job->step_record(first);
    const auto pool = pass.eligible.find(job->job().pool);
    if (!step.long_running || pool == pass.eligible.end() ||
        WaitOf(tracked_step, pass.now) < kReservationWait) {
      continue;
    }
    const size_t maximum = std::max<size_t>(
        1, pool->second.workers.size() / kWorkersPerReservation);
    while (reserved < maximum &&
           (!reservations_.contains(first) ||
            reservations_.at(first) < tracked_step.ready_tasks.size())) {
      TrackedWorker* worker = search.FindWorker(pool->second, step, first);
      if (worker == nullptr) {
        break;
      }
      Reserve(worker, first, tracked_step, pass.now);
      ++reserved;
    }
  }
}

}  // namespace bramleyrail
