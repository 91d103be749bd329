// Admission of jobs, and the release of their occurrences.

#include <algorithm>
#include <utility>

#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

// A worker that has not responded for longer counts as lost. Shorter silences
// are mostly those of a link.
constexpr Milliseconds kLostAfter{3'000};

// Interval at which occurrences are looked at that wait for memory.
constexpr Milliseconds kHeldReleaseInterval{100};

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

int64_t CountInactive(const TrackedStep& step) {
  return std::count_if(
      step.tasks.begin(), step.tasks.end(),
      [](const auto& task) { return task.phase != TaskPhase::kActive; });
}

// Places the tasks of accepted jobs that do not run yet.
void PlaceWaitingTasks(TrackedJob* job,
                       const ShortWorkNeed& need,
                       PoolRoom* room) {
  const std::vector<JobStep>& steps = job->job().specification.steps;
  const int64_t occurrences = job->job().specification.OccurrenceCount();
  for (int64_t number = 0; number < occurrences; ++number) {
    const auto records = job->occurrences().find(number);
    for (size_t step = 0; step < steps.size(); ++step) {
      if (!steps[step].long_running) {
        continue;
      }
      // All tasks of an occurrence without records wait: one with a
      // long-running step never finishes.
      const int64_t waiting = records == job->occurrences().end()
                                  ? steps[step].tasks
                                  : CountInactive(records->second.steps[step]);
      room->PlaceLongRunning(steps[step], waiting, need);
    }
  }
}

}  // namespace

Result<AdmissionDecision> Dispatcher::Admit(const QueueState& state,
                                            const SubmitJob& job,
                                            MonotonicTime now) {
  TRY(memory, job_memory_.Decide(state, job, now));
  if (!memory.admitted) {
    ++counters_.job_memory_rejected;
    return memory;
  }
  const AdmissionDecision decision = AdmitLongRunning(state, job, now);
  if (!decision.admitted) {
    job_memory_.Withdraw(job.id);
  }
  return decision;
}

void Dispatcher::WithdrawAdmission(std::string_view job) {
  admission_.Withdraw(job);
  job_memory_.Withdraw(job);
}

AdmissionDecision Dispatcher::AdmitLongRunning(const QueueState& state,
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

bool Dispatcher::ReleaseOccurrence(const QueueState& state,
                                   const std::string& id) {
  TrackedJob* job = FindJob(id);
  const int64_t bytes = job->OverlapBytesOfNextRelease();
  if (bytes > 0 &&
      !job_memory_.HasRoomForOverlap(state, *overlap_bytes_ + bytes)) {
    return false;
  }
  EnqueueReadyTasks(job, job->ReleaseNext());
  if (const auto next = job->NextReleaseUnixMs()) {
    releases_.emplace(*next, id);
  }
  return true;
}

void Dispatcher::ReleaseDueJobs(const QueueState& state, MonotonicTime now) {
  if (now >= next_held_release_) {
    next_held_release_ = now + kHeldReleaseInterval;
    std::erase_if(held_releases_, [&](const auto& release) {
      return ReleaseOccurrence(state, release.second);
    });
  }
  while (!releases_.empty() && releases_.begin()->first <= unix_ms_) {
    auto release = releases_.extract(releases_.begin());
    const auto& [due_unix_ms, id] = release.value();
    if (ReleaseOccurrence(state, id)) {
      continue;
    }
    ++counters_.occurrences_held;
    if (held_lines_.Allow(now)) {
      LogEvent(kOccurrenceHeld, {{"job", id},
                                 {"due_unix_ms", due_unix_ms},
                                 {"overlap_bytes", *overlap_bytes_},
                                 {"job_bytes", state.job_bytes()},
                                 {"suppressed", held_lines_.TakeSuppressed()}});
    }
    held_releases_.insert(std::move(release));
  }
}

}  // namespace bramleyrail
