// Synchronization with the replicated state, and placement.

#include "packages/dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

#include "packages/dispatch/dispatch_events.h"

namespace bramleyrail {

namespace {

// Runs of one leadership are numbered above those of all earlier ones, without
// a durable write for each. A task is never started this often in one.
constexpr uint64_t kRunsPerLeadership = 10'000;
// Searches for a worker in one step; bounds its time. Tasks of steps that are
// known to find none do not count, or they would hold up those behind them.
constexpr size_t kPlacementsPerStep = 400;
// A step whose task found no worker is looked at again after this.
constexpr Milliseconds kPlacementRetry{75};
// Added to the longest lease for clocks that are 2% slow and for a worker that
// was paused.
constexpr Milliseconds kTakeoverMargin{600};

}  // namespace

Dispatcher::Dispatcher(Options options, int64_t leadership, MonotonicTime now)
    : options_(std::move(options)),
      leadership_(leadership),
      begun_(now),
      choice_(options_.placement) {}

WorkerTrack* Dispatcher::FindWorker(const WorkerAddress& address) {
  const auto found = workers_.find(address.id);
  const bool same_life =
      found != workers_.end() &&
      found->second->registration().started_unix_ms == address.started_unix_ms;
  return same_life ? found->second.get() : nullptr;
}

JobTrack* Dispatcher::FindJob(const std::string& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

bool Dispatcher::HasStarted(const std::string& job) const {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && found->second->started;
}

uint64_t Dispatcher::NextRun(const TaskTrack& task) const {
  const uint64_t base =
      static_cast<uint64_t>(leadership_ - 1) * kRunsPerLeadership;
  return std::max(base, task.last_run) + 1;
}

void Dispatcher::Synchronize(const QueueState& state, MonotonicTime now) {
  SynchronizeWorkers(state, now);
  SynchronizeJobs(state, now);
  if (!synchronized_) {
    synchronized_ = true;
    LogEvent(kLeadershipBegun, {{"leadership", leadership_},
                                {"workers", workers_.size()},
                                {"open_jobs", jobs_.size()}});
  }
}

void Dispatcher::SynchronizeWorkers(const QueueState& state,
                                    MonotonicTime now) {
  std::set<std::string> addresses;
  for (const auto& [id, registration] : state.workers()) {
    addresses.insert(registration.address);
    auto& track = workers_[id];
    if (track != nullptr &&
        track->registration().started_unix_ms != registration.started_unix_ms) {
      LoseRuns(track.get(), "the worker was started again", now);
      track.reset();
    }
    if (track == nullptr) {
      track = std::make_unique<WorkerTrack>(registration);
      track->last_answer = now;
      track->in_other_region =
          choice_.IsInOtherRegion(registration.failure_domain);
      // Nothing of an earlier leader can be on a worker that is new.
      track->heard = synchronized_;
    } else {
      track->Update(registration);
      track->leaving = false;
    }
  }
  for (auto& [id, track] : workers_) {
    if (state.workers().contains(id) || track->leaving) {
      continue;
    }
    track->leaving = true;
    track->leaving_since = now;
    // The address was taken by another worker, so the process is gone.
    if (addresses.contains(track->registration().address)) {
      LoseRuns(track.get(), "another worker has its address", now);
    }
  }
}

void Dispatcher::SynchronizeJobs(const QueueState& state, MonotonicTime now) {
  for (const auto& [id, job] : state.jobs()) {
    if (job->outcome != JobOutcome::kOpen || jobs_.contains(id)) {
      continue;
    }
    auto track = std::make_unique<JobTrack>(
        job, synchronized_ ? JobTrack::Origin::kThisLeadership
                           : JobTrack::Origin::kEarlierLeadership);
    LogEvent(kJobTracked, {{"job", id},
                           {"queue", job->queue},
                           {"steps", job->job.steps.size()},
                           {"priority", job->priority},
                           {"objective_unix_ms", track->objective_unix_ms()},
                           {"new", synchronized_}});
    jobs_.emplace(id, std::move(track));
    unreleased_.insert(id);
  }
  std::vector<std::string> closed;
  for (const auto& [id, track] : jobs_) {
    const QueuedJob* job = state.FindJob(id);
    if (job == nullptr || job->outcome != JobOutcome::kOpen) {
      closed.push_back(id);
    }
  }
  for (const std::string& id : closed) {
    const QueuedJob* job = state.FindJob(id);
    const JobOutcome outcome =
        job == nullptr ? JobOutcome::kCancelled : job->outcome;
    CloseJob(id, outcome == JobOutcome::kCompleted ? "completed"
                 : outcome == JobOutcome::kFailed  ? "failed"
                                                   : "cancelled");
    for (auto& [worker_id, worker] : workers_) {
      for (auto& [key, run] : worker->runs()) {
        if (key.first.job == id && run.phase != RunPhase::kStopping) {
          SendStop(worker.get(), key, &run, "the job has ended", now);
        }
      }
    }
  }
}

void Dispatcher::CloseJob(const std::string& id, std::string_view reason) {
  LogEvent(kJobClosed, {{"job", id}, {"reason", reason}});
  std::erase_if(
      ready_, [&](const ReadyKey& key) { return std::get<2>(key).job == id; });
  unreleased_.erase(id);
  jobs_.erase(id);
}

void Dispatcher::QueueReady(const JobTrack& job,
                            const std::vector<TaskName>& tasks) {
  for (const TaskName& task : tasks) {
    ready_.emplace(job.job().priority, job.objective_unix_ms(), task);
  }
}

std::vector<WorkerOrder> Dispatcher::Step(const QueueState& state,
                                          MonotonicTime now,
                                          int64_t unix_ms) {
  if (deposed_) {
    return {};
  }
  unix_ms_ = unix_ms;
  for (auto position = unreleased_.begin(); position != unreleased_.end();) {
    JobTrack* job = FindJob(*position);
    QueueReady(*job, job->Release(unix_ms));
    const bool released = std::all_of(
        job->occurrences().begin(), job->occurrences().end(),
        [](const OccurrenceTrack& occurrence) { return occurrence.released; });
    position = released ? unreleased_.erase(position) : std::next(position);
  }
  for (auto position = workers_.begin(); position != workers_.end();) {
    WorkerTrack* worker = position->second.get();
    StepWorker(worker, now);
    const bool gone = worker->leaving && worker->runs().empty() &&
                      !worker->recording &&
                      (worker->heard || RunsSurelyEnded(*worker, now));
    position = gone ? workers_.erase(position) : std::next(position);
  }
  PlaceReadyTasks(state, now);
  return std::exchange(orders_, {});
}

bool Dispatcher::KnowsAllWorkers(MonotonicTime now) {
  if (knows_all_workers_) {
    return true;
  }
  int64_t unheard = 0;
  for (const auto& [id, worker] : workers_) {
    unheard += worker->heard ? 0 : 1;
  }
  const Milliseconds waited = std::chrono::floor<Milliseconds>(now - begun_);
  knows_all_workers_ =
      unheard == 0 ||
      waited > options_.maximum_lease * 51 / 50 + kTakeoverMargin;
  if (knows_all_workers_) {
    LogEvent(kWorkersKnownAgain, {{"leadership", leadership_},
                                  {"unheard", unheard},
                                  {"waited_ms", waited.count()}});
  }
  return knows_all_workers_;
}

void Dispatcher::PlaceReadyTasks(const QueueState& state, MonotonicTime now) {
  const bool knows_all = KnowsAllWorkers(now);
  size_t attempts = 0;
  // Placing a task removes its key, so the loop follows a copy.
  const std::vector<ReadyKey> candidates(ready_.begin(), ready_.end());
  for (const ReadyKey& key : candidates) {
    const TaskName& task = std::get<2>(key);
    JobTrack* job = FindJob(task.job);
    StepTrack& step_track = job->occurrence(task.occurrence).steps[task.step];
    if (now < step_track.next_search) {
      continue;
    }
    const TaskTrack& track = step_track.tasks[task.index];
    // A worker that was not heard may run any task of an earlier leadership.
    const bool blocked =
        !knows_all && job->origin() == JobTrack::Origin::kEarlierLeadership;
    if (blocked || track.phase != TaskPhase::kReady || now < track.not_before) {
      continue;
    }
    if (++attempts > kPlacementsPerStep) {
      break;
    }
    const bool placed = job->step(task).gang ? PlaceGang(state, job, task, now)
                                             : Place(state, job, task, now);
    if (!placed) {
      step_track.next_search = now + kPlacementRetry;
    }
  }
}

bool Dispatcher::Place(const QueueState& state,
                       JobTrack* job,
                       const TaskName& task,
                       MonotonicTime now) {
  const JobStep& step = job->step(task);
  TaskTrack& track = job->task(task);
  RunRequest request{
      &job->job(),    &step,
      task,           track.avoid_worker,
      step.data_rack, Milliseconds(unix_ms_ - job->LatestStartUnixMs(task))};
  if (step.tightly_coupled && request.preferred_rack.empty()) {
    for (const auto& [id, worker] : workers_) {
      if (worker->RunsOf(task.job, task.occurrence, task.step) > 0) {
        request.preferred_rack = worker->rack();
      }
    }
  }
  WorkerTrack* worker =
      choice_.Choose(request, workers_, state.evacuated(), disturbance_, now);
  if (worker == nullptr) {
    return false;
  }
  Start(job, task, NextRun(track), worker, now);
  return true;
}

bool Dispatcher::PlaceGang(const QueueState& state,
                           JobTrack* job,
                           const TaskName& first,
                           MonotonicTime now) {
  const JobStep& step = job->step(first);
  // All members must have room at the same time, or those that started first
  // would wait in vain. Trial reservations find that out.
  std::vector<std::pair<TaskName, WorkerTrack*>> members;
  uint64_t run = 0;
  std::string rack = step.data_rack;
  for (int64_t index = 0; index < step.tasks; ++index) {
    TaskName task = first;
    task.index = index;
    run = std::max(run, NextRun(job->task(task)));
    const RunRequest request{&job->job(), &step, task,
                             "",          rack,  Milliseconds(0)};
    WorkerTrack* worker =
        choice_.Choose(request, workers_, state.evacuated(), disturbance_, now);
    if (worker == nullptr) {
      break;
    }
    if (step.tightly_coupled && rack.empty()) {
      rack = worker->rack();
    }
    TrackedRun trial;
    trial.job = job->shared_job();
    trial.step = &step;
    trial.reserved = step.size;
    worker->AddRun({task, 0}, std::move(trial));
    members.emplace_back(task, worker);
  }
  for (const auto& [task, worker] : members) {
    worker->RemoveRun({task, 0});
  }
  if (static_cast<int64_t>(members.size()) < step.tasks) {
    return false;
  }
  for (const auto& [task, worker] : members) {
    Start(job, task, run, worker, now);
  }
  return true;
}

void Dispatcher::Start(JobTrack* job,
                       const TaskName& task,
                       uint64_t run,
                       WorkerTrack* worker,
                       MonotonicTime now) {
  const JobStep& step = job->step(task);
  TaskTrack& track = job->task(task);
  ready_.erase({job->job().priority, job->objective_unix_ms(), task});
  track.phase = TaskPhase::kActive;
  track.worker = worker->registration().id;
  track.last_run = run;
  TrackedRun tracked;
  tracked.job = job->shared_job();
  tracked.step = &step;
  tracked.reserved = step.size;
  tracked.payload = job->job().job.payload;
  TaskName source = task;
  source.index = step.gang ? 0 : task.index;
  tracked.checkpoint = job->task(source).checkpoint;
  tracked.percent_changed = now;
  if (step.uses_spare_capacity) {
    tracked.pace = choice_.FirstPace(step, *worker, disturbance_);
  }
  TrackedRun& added = worker->AddRun({task, run}, std::move(tracked));
  LogEvent(
      kRunStarted,
      {{"task", task.ToString()},
       {"run", run},
       {"worker", worker->registration().id},
       {"failures", job->FailuresOf(task).failed_runs.size()},
       {"resumed", !added.checkpoint.empty()},
       {"reserved_millis", worker->reserved().processor_millis},
       {"spare_millis", worker->spare_processor_millis()},
       {"pace", added.pace},
       {"answer_age_ms",
        std::chrono::floor<Milliseconds>(now - worker->last_answer).count()}});
  ++counters_.starts;
  SendStart(worker, {task, run}, &added, now);
}

void Dispatcher::SendStart(WorkerTrack* worker,
                           const RunKey& key,
                           TrackedRun* run,
                           MonotonicTime now) {
  const auto until_ms = worker->GrantLease(options_.lease, now);
  run->order_sent = now;
  run->order_in_flight = true;
  ++run->orders_sent;
  orders_.push_back({worker->Address(),
                     StartOrder{key.first, key.second, run->payload,
                                until_ms.value_or(0), run->checkpoint, ""}});
}

void Dispatcher::SendStop(WorkerTrack* worker,
                          const RunKey& key,
                          TrackedRun* run,
                          std::string_view reason,
                          MonotonicTime now) {
  if (run->phase != RunPhase::kStopping) {
    LogEvent(kRunStopOrdered, {{"task", key.first.ToString()},
                               {"run", key.second},
                               {"worker", worker->registration().id},
                               {"reason", reason}});
    run->phase = RunPhase::kStopping;
    // The run counts as there until a look after the stop does not list it.
    run->confirmed.reset();
  }
  run->order_sent = now;
  run->order_in_flight = true;
  ++run->orders_sent;
  orders_.push_back({worker->Address(), StopOrder{key.first, key.second}});
}

}  // namespace bramleyrail
