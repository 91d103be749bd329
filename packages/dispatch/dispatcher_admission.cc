// Admission of jobs with long-running steps.

#include <algorithm>
#include <utility>

#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

// A worker that has not responded for longer counts as lost. Shorter silences
// are mostly those of a link.
constexpr Milliseconds kLostAfter{3'000};

// Whether short or long-running tasks can be expected to start on the worker.
bool CountsAsCapacity(const TrackedWorker& worker,
                      const std::set<std::string>& evacuated,
                      MonotonicTime now) {
  const WorkerRegistration& registration = worker.registration();
  return !worker.deregistered && !registration.draining &&
         !worker.HasRunOfUnknownSize() &&
         !evacuated.contains(registration.failure_domain) &&
         now - worker.last_response < kLostAfter;
}

// Places the tasks of accepted jobs that do not run yet.
void PlaceWaitingTasks(TrackedJob* job,
                       const ShortWorkNeed& need,
                       PoolRoom* room) {
  const std::vector<JobStep>& steps = job->job().specification.steps;
  for (const TrackedOccurrence& occurrence : job->occurrences()) {
    for (size_t number = 0; number < steps.size(); ++number) {
      if (!steps[number].long_running) {
        continue;
      }
      const std::vector<TrackedTask>& tasks = occurrence.steps[number].tasks;
      const int64_t waiting = std::count_if(
          tasks.begin(), tasks.end(),
          [](const auto& task) { return task.phase != TaskPhase::kActive; });
      room->PlaceLongRunning(steps[number], waiting, need);
    }
  }
}

}  // namespace

AdmissionDecision Dispatcher::Admit(const QueueState& state,
                                    const SubmitJob& job,
                                    MonotonicTime now) {
  if (!LongRunningAdmission::HasLongRunningStep(job.specification) ||
      state.FindJob(job.id) != nullptr || admission_.AdmitAgain(job.id)) {
    return {};
  }
  PoolRoom room;
  if (const ShortWorkNeed* need = admission_.FindNeed(job)) {
    for (const auto& [id, worker] : workers_) {
      const WorkerRegistration& registration = worker->registration();
      if (registration.pool == job.pool &&
          CountsAsCapacity(*worker, state.evacuated(), now)) {
        room.AddWorker(registration.capacity, worker->reserved_for_long(),
                       registration.labels);
      }
    }
    for (const auto& [id, accepted] : jobs_) {
      if (accepted->job().pool == job.pool) {
        PlaceWaitingTasks(accepted.get(), *need, &room);
      }
    }
    admission_.PlaceAdmitted(job.pool, *need, &room);
  }
  const AdmissionDecision decision =
      admission_.Decide(job, std::move(room), now);
  ++(decision.admitted ? counters_.long_running_admitted
                       : counters_.long_running_rejected);
  return decision;
}

}  // namespace bramleyrail
