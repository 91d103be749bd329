// Synchronization with the replicated state, and orders to start and stop runs.

#include "packages/dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

#include "packages/dispatch/dispatch_events.h"

namespace bramleyrail {

namespace {

// Size of the range of run numbers of each leader epoch. Separate ranges make
// the runs of a leader newer than those of all earlier leaders without a
// durable write for each run. No task is started this often in one epoch.
constexpr uint64_t kRunNumbersPerLeaderEpoch = 10'000;
// Interval at which all workers are looked at for what is due by time. After a
// response of a worker, the next step looks at it.
constexpr Milliseconds kWorkerSweepInterval{10};

}  // namespace

Dispatcher::Dispatcher(Options options, int64_t leader_epoch, MonotonicTime now)
    : options_(std::move(options)),
      leader_epoch_(leader_epoch),
      takeover_time_(now),
      longest_earlier_lease_(options_.maximum_lease),
      selector_(options_.placement),
      job_memory_(options_.maximum_job_bytes),
      start_planner_(options_.plans_ending_steps, &counters_) {}

TrackedWorker* Dispatcher::FindWorker(const WorkerAddress& address) {
  const auto found = workers_.find(address.id);
  const bool same_incarnation =
      found != workers_.end() &&
      found->second->registration().started_unix_ms == address.started_unix_ms;
  return same_incarnation ? found->second.get() : nullptr;
}

TrackedJob* Dispatcher::FindJob(std::string_view id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

bool Dispatcher::HasStarted(std::string_view job) const {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && found->second->started;
}

int64_t Dispatcher::CountWaitingJobs(std::string_view queue) const {
  return std::count_if(jobs_.begin(), jobs_.end(), [queue](const auto& item) {
    return item.second->job().queue == queue && !item.second->started;
  });
}

uint64_t Dispatcher::NextRunNumber(const TrackedTask& task) const {
  const uint64_t base =
      static_cast<uint64_t>(leader_epoch_ - 1) * kRunNumbersPerLeaderEpoch;
  return std::max(base, task.last_run) + 1;
}

void Dispatcher::Synchronize(const QueueState& state, MonotonicTime now) {
  if (const auto longest_ms = state.longest_lease_ms();
      !synchronized_ && longest_ms) {
    longest_earlier_lease_ =
        std::min(options_.maximum_lease, Milliseconds(*longest_ms));
  }
  accounts_.Configure(state.configuration());
  if (!synchronized_) {
    accounts_.earlier_runs().Begin(state);
  }
  if (workers_revision_ != state.workers_revision()) {
    workers_revision_ = state.workers_revision();
    SynchronizeWorkers(state, now);
  }
  if (jobs_revision_ != state.jobs_revision()) {
    SynchronizeJobs(state, now);
    jobs_revision_ = state.jobs_revision();
  }
  if (!synchronized_) {
    synchronized_ = true;
    RestoreSuspicions(state, now);
    LogEvent(kLeadershipStarted, {{"leadership", leader_epoch_},
                                  {"workers", workers_.size()},
                                  {"open_jobs", jobs_.size()}});
  }
}

void Dispatcher::SynchronizeWorkers(const QueueState& state,
                                    MonotonicTime now) {
  std::set<std::string> addresses;
  for (const auto& [id, registration] : state.workers()) {
    addresses.insert(registration.address);
    auto& worker = workers_[id];
    std::unique_ptr<TrackedWorker> earlier;
    if (worker != nullptr && worker->registration().started_unix_ms !=
                                 registration.started_unix_ms) {
      RecordCrash(worker.get(), "a later incarnation registered");
      RequeueRunsOfEndedIncarnation(worker.get(), now);
      ForgetAcknowledgements(id);
      earlier.swap(worker);
    }
    if (worker == nullptr) {
      worker = std::make_unique<TrackedWorker>(registration);
      worker->last_response = now;
      worker->in_other_region =
          selector_.IsInOtherRegion(registration.failure_domain);
      // A worker that registers after the takeover has no runs of an earlier
      // leader, unless it was restarted before this leader had contact.
      worker->contacted =
          synchronized_ && (earlier == nullptr || earlier->contacted);
      if (!synchronized_) {
        // The first clock that this leader sees may be old, and its own lease
        // then ends before the one that its predecessor granted.
        worker->AssumeLease(EndOfEarlierLease(state.HasRestarted(id), now));
      }
      if (earlier != nullptr) {
        StopInheritedRuns(earlier.get(), worker.get(), now);
      }
    } else {
      worker->Update(registration);
      worker->deregistered = false;
    }
  }
  if (!synchronized_) {
    TrackWithdrawnWorkers(state, now);
  }
  for (auto& [id, worker] : workers_) {
    if (state.workers().contains(id) || worker->deregistered) {
      continue;
    }
    worker->deregistered = true;
    worker->deregistered_since = now;
    // Another worker registered with the address, so this process has ended.
    if (addresses.contains(worker->registration().address)) {
      RecordCrash(worker.get(), "another worker registered its address");
      RequeueLostRuns(worker.get(), "another worker has its address", now);
    }
  }
}

void Dispatcher::SynchronizeJobs(const QueueState& state, MonotonicTime now) {
  if (const auto changed = state.JobsChangedSince(jobs_revision_);
      changed && synchronized_) {
    for (const std::string& id : *changed) {
      SynchronizeJob(state, id, now);
    }
    return;
  }
  std::vector<std::string> tracked;
  for (const auto& [id, job] : jobs_) {
    tracked.push_back(id);
  }
  for (const std::string& id : tracked) {
    SynchronizeJob(state, id, now);
  }
  for (const auto& [id, job] : state.jobs()) {
    SynchronizeJob(state, id, now);
  }
}

void Dispatcher::SynchronizeJob(const QueueState& state,
                                const std::string& id,
                                MonotonicTime now) {
  ++counters_.job_visits;
  const auto found = state.jobs().find(id);
  const bool known = found != state.jobs().end();
  if (known) {
    job_memory_.MarkStored(id);
  }
  const JobOutcome outcome =
      known ? found->second->outcome : JobOutcome::kCancelled;
  if (outcome == JobOutcome::kOpen) {
    if (!jobs_.contains(id)) {
      TrackJob(state, found->second);
    }
    return;
  }
  if (jobs_.contains(id)) {
    CloseJob(id,
             outcome == JobOutcome::kCompleted ? "completed"
             : outcome == JobOutcome::kFailed  ? "failed"
                                               : "cancelled",
             now);
  }
}

void Dispatcher::TrackJob(const QueueState& state,
                          std::shared_ptr<const QueuedJob> job) {
  const std::string id = job->id;
  const auto earlier_runs = synchronized_ ? TrackedJob::EarlierRuns::kNone
                            : state.HasUnrecordedRuns(id)
                                ? TrackedJob::EarlierRuns::kUnrecorded
                                : TrackedJob::EarlierRuns::kRecorded;
  auto tracked = std::make_unique<TrackedJob>(std::move(job), earlier_runs,
                                              overlap_bytes_);
  tracked->account = accounts_.Find(tracked->job().account);
  if (!synchronized_) {
    TrackRecordedRuns(state, tracked.get());
  }
  LogEvent(kJobTracked, {{"job", id},
                         {"queue", tracked->job().queue},
                         {"steps", tracked->job().specification.steps.size()},
                         {"priority", tracked->job().priority},
                         {"objective_unix_ms", tracked->ObjectiveUnixMs(0)},
                         {"new", synchronized_}});
  if (const auto next = tracked->NextReleaseUnixMs()) {
    releases_.emplace(*next, id);
  }
  admission_.MarkTracked(id);
  jobs_.emplace(id, std::move(tracked));
}

void Dispatcher::CloseJob(const std::string& id,
                          std::string_view reason,
                          MonotonicTime now) {
  LogEvent(kJobClosed, {{"job", id}, {"reason", reason}});
  const auto closed = jobs_.find(id);
  admission_.AddEndedJob(closed->second->job(), now);
  counters_.ready_task_visits += ready_.RemoveJob(closed->second.get());
  StopRunsOfEndedJob(*closed->second, now);
  accounts_.earlier_runs().AddEndedJob(closed->second->shared_job());
  if (const auto next = closed->second->NextReleaseUnixMs()) {
    releases_.erase({*next, id});
    held_releases_.erase({*next, id});
  }
  jobs_.erase(closed);
}

void Dispatcher::StopRunsOfEndedJob(const TrackedJob& job, MonotonicTime now) {
  const SharedText& id = job.shared_id();
  for (const std::string& worker_id : job.workers) {
    const auto worker = workers_.find(worker_id);
    if (worker == workers_.end()) {
      continue;
    }
    std::map<RunKey, TrackedRun>& runs = worker->second->runs();
    for (auto run = runs.lower_bound({{id, 0, 0, 0}, 0});
         run != runs.end() && run->first.first.job == id; ++run) {
      ++counters_.run_visits;
      if (run->second.phase != RunPhase::kStopping) {
        SendStop(worker->second.get(), run->first, &run->second,
                 "the job has ended", now);
      }
    }
  }
}

void Dispatcher::EnqueueReadyTasks(TrackedJob* job,
                                   const std::vector<TaskName>& tasks) {
  for (const TaskName& task : tasks) {
    ready_.Add(job, task, unix_ms_);
  }
  for (auto first = tasks.begin(); first != tasks.end();) {
    const auto next = std::find_if(first, tasks.end(), [&](const auto& task) {
      return task.step != first->step || task.occurrence != first->occurrence;
    });
    admission_.short_work().AddReadyTasks(job->job(), job->step(*first),
                                          next - first, last_step_);
    first = next;
  }
}

std::vector<WorkerOrder> Dispatcher::Step(const QueueState& state,
                                          MonotonicTime now,
                                          int64_t unix_ms) {
  if (superseded_) {
    return {};
  }
  unix_ms_ = unix_ms;
  ObserveLag(now);
  SendRecordedStarts(now);
  ReleaseDueJobs(state, now);
  admission_.short_work().Refresh(now);
  StepWorkers(now);
  PlaceReadyTasks(state, now);
  ReportStandingTasks(now);
  return std::exchange(orders_, {});
}

void Dispatcher::StepWorkers(MonotonicTime now) {
  for (const std::string& id : std::exchange(due_workers_, {})) {
    const auto found = workers_.find(id);
    if (found != workers_.end()) {
      StepWorker(found->second.get(), now);
    }
  }
  if (now < next_worker_sweep_) {
    return;
  }
  next_worker_sweep_ = now + kWorkerSweepInterval;
  for (auto position = workers_.begin(); position != workers_.end();) {
    TrackedWorker* worker = position->second.get();
    StepWorker(worker, now);
    const bool gone = worker->deregistered && worker->runs().empty() &&
                      !worker->awaiting_durability &&
                      worker->earlier_runs_resolved();
    position = gone ? workers_.erase(position) : std::next(position);
  }
}

void Dispatcher::StartRun(TrackedJob* job,
                          const TaskName& task,
                          uint64_t run,
                          TrackedWorker* worker,
                          MonotonicTime now) {
  const JobStep& step = job->step(task);
  TrackedTask& tracked_task = job->task(task);
  ready_.Remove(job, task);
  job->occurrences()[task.occurrence].started = true;
  job->workers.insert(worker->registration().id);
  tracked_task.phase = TaskPhase::kActive;
  tracked_task.worker = worker->registration().id;
  tracked_task.last_run = run;
  TrackedRun tracked;
  tracked.started = now;
  const TrackedTask& record = job->FailureRecordOf(task);
  const bool suspected = IsSuspected(job, task, now);
  if (suspected) {
    worker->suspect_until = now + kCrashAttributionTime;
  }
  // Beside a recent run, a crash could not be attributed anyway.
  if (suspected && !worker->HasRecentRun(now)) {
    tracked.isolated = true;
    worker->isolated_until = now + kCrashAttributionTime;
  }
  tracked.job = job->shared_job();
  tracked.step = &step;
  tracked.reserved = step.size;
  tracked.charge = accounts_.Charge(job->account, step);
  tracked.payload = job->payload();
  TaskName source = task;
  source.index = step.gang ? 0 : task.index;
  tracked.checkpoint = job->task(source).checkpoint;
  tracked.progress_changed = now;
  if (step.best_effort) {
    tracked.cpu_limit_percent =
        selector_.InitialCpuLimit(step, *worker, interference_model_);
  }
  tracked.expected_end =
      now + LongestDuration(job->job(), step).value_or(Milliseconds(0));
  start_planner_.RecordStart(task, step.long_running, worker, now);
  TrackedRun& added = worker->AddRun({task, run}, std::move(tracked));
  LogEvent(kRunStarted,
           {{"task", task.ToString()},
            {"run", run},
            {"worker", worker->registration().id},
            {"failures", record.failed_runs.size()},
            {"crashes", record.crashed_runs.size()},
            {"resumed", !added.checkpoint.empty()},
            {"reserved_millis", worker->reserved().processor_millis},
            {"spare_millis", worker->best_effort_processor_millis()},
            {"pace", added.cpu_limit_percent},
            {"answer_age_ms",
             std::chrono::floor<Milliseconds>(now - worker->last_response)
                 .count()}});
  ++counters_.starts;
  if (!step.long_running) {
    SendStart(worker, {task, run}, &added, now);
    return;
  }
  // The order is sent when the placement is durable. Otherwise a later leader
  // would not know that the worker, if it is silent then, may have the run.
  added.order_in_flight = true;
  added.last_order_sent = now;
  const WorkerRegistration& registration = worker->registration();
  placements_.push_back(
      {task, run, {{registration.id, registration.started_unix_ms}}});
}

void Dispatcher::SendStart(TrackedWorker* worker,
                           const RunKey& key,
                           TrackedRun* run,
                           MonotonicTime now) {
  // A repeated start does not put off the time from which the worker rejects
  // all of them.
  if (!run->start_validity) {
    run->start_validity = worker->GrantStartLease(options_.lease, now);
  }
  run->last_order_sent = now;
  run->order_in_flight = true;
  ++run->orders_sent;
  orders_.push_back(
      {worker->Address(),
       StartOrder{key.first, key.second, run->payload,
                  run->start_validity ? run->start_validity->until_ms : 0,
                  run->checkpoint, ""}});
}

void Dispatcher::SendStop(TrackedWorker* worker,
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
    // The run counts as active until a lease renewal that is sent after the
    // confirmed stop does not report it.
    run->confirmed.reset();
  }
  run->last_order_sent = now;
  run->order_in_flight = true;
  ++run->orders_sent;
  orders_.push_back({worker->Address(), StopOrder{key.first, key.second}});
}

}  // namespace bramleyrail
