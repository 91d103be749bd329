#include "packages/queue/queue_state.h"

#include <algorithm>
#include <atomic>
#include <utility>

#include "packages/queue/job_memory.h"

namespace bramleyrail {

namespace {

int64_t TasksOfOccurrence(const JobSpecification& job) {
  int64_t tasks = 0;
  for (const JobStep& step : job.steps) {
    tasks += step.tasks;
  }
  return tasks;
}

bool HasTask(const JobSpecification& job, const TaskName& task) {
  return task.occurrence < job.OccurrenceCount() &&
         task.step < static_cast<int64_t>(job.steps.size()) &&
         task.index < job.steps[task.step].tasks;
}

// Of the id of a job that was cancelled before it was submitted, and the copies
// that a snapshot makes.
constexpr int64_t kBytesPerCancelledUnknownJob = 500;
// A leader follows the changes many times a second, and looks at all jobs when
// it has missed more than these.
constexpr size_t kMaximumJobChanges = 1'000;

uint64_t NextRevision() {
  static std::atomic<uint64_t> last{0};
  return ++last;
}

}  // namespace

int64_t QueuedJob::MemoryBytes() const {
  return outcome == JobOutcome::kOpen ? BytesOfOpenJob(specification)
                                      : BytesOfEndedJob(specification);
}

QueueState::QueueState()
    : workers_revision_(NextRevision()),
      jobs_revision_(NextRevision()),
      job_changes_since_(jobs_revision_) {}

QueueOutcome QueueState::Apply(const QueueCommand& command) {
  return std::visit(
      [&](const auto& body) { return Handle(body, command.proposed_unix_ms); },
      command.body);
}

std::optional<std::vector<std::string>> QueueState::JobsChangedSince(
    uint64_t revision) const {
  if (revision < job_changes_since_) {
    return std::nullopt;
  }
  const auto first =
      std::upper_bound(job_changes_.begin(), job_changes_.end(), revision,
                       [](uint64_t known, const JobChange& change) {
                         return known < change.revision;
                       });
  std::vector<std::string> changed;
  for (auto change = first; change != job_changes_.end(); ++change) {
    changed.push_back(change->job);
  }
  return changed;
}

void QueueState::RecordJobChange(const std::string& id) {
  jobs_revision_ = NextRevision();
  job_changes_.push_back({jobs_revision_, id});
  if (job_changes_.size() > kMaximumJobChanges) {
    job_changes_since_ = job_changes_.front().revision;
    job_changes_.pop_front();
  }
}

const QueuedJob* QueueState::FindJob(std::string_view id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

bool QueueState::HasDeparted(const WorkerIncarnation& worker) const {
  const auto found = departed_workers_.find(worker.id);
  return found != departed_workers_.end() &&
         found->second.started_unix_ms >= worker.started_unix_ms;
}

std::optional<int64_t> QueueState::longest_lease_ms() const {
  return longest_lease_ms_ == 0 ? std::nullopt
                                : std::optional(longest_lease_ms_);
}

QueueOutcome QueueState::Handle(const BeginLeadership& command, int64_t) {
  const bool first = leader_epoch_ == 0;
  if (!first && !leader_records_placements_) {
    for (const auto& [id, job] : jobs_) {
      if (job->outcome == JobOutcome::kOpen) {
        jobs_with_unrecorded_runs_.insert(id);
      }
    }
  }
  leader_records_placements_ = command.records_placements;
  const bool lease_known =
      command.longest_lease_ms > 0 && (first || longest_lease_ms_ > 0);
  longest_lease_ms_ =
      lease_known ? std::max(longest_lease_ms_, command.longest_lease_ms) : 0;
  return {.found = true, .changed = true, .leader_epoch = ++leader_epoch_};
}

QueueOutcome QueueState::Handle(const RecordPlacements& command, int64_t) {
  const auto placements = PlacementsOf(command.placements);
  if (command.leader_epoch != leader_epoch_ || !placements) {
    return {};
  }
  for (const RunPlacement& placement : *placements) {
    const QueuedJob* job = FindJob(placement.task.job);
    if (job != nullptr && job->outcome == JobOutcome::kOpen &&
        HasTask(job->specification, placement.task)) {
      recorded_runs_.Record(placement);
    }
  }
  return {.found = true, .changed = !placements->empty()};
}

QueueOutcome QueueState::Handle(const ReplaceConfiguration& command, int64_t) {
  if (command.configuration.version <= configuration_.version) {
    return {.found = true};
  }
  configuration_ = command.configuration;
  return {.found = true, .changed = true};
}

int64_t QueueState::EvacuationRevision(
    const std::string& failure_domain) const {
  const auto found = evacuation_revisions_.find(failure_domain);
  return found == evacuation_revisions_.end() ? 0 : found->second;
}

QueueOutcome QueueState::Handle(const SetEvacuated& command, int64_t) {
  if (command.expected_revision &&
      *command.expected_revision !=
          EvacuationRevision(command.failure_domain)) {
    return {};
  }
  // An order that changes nothing counts, too: it may be newer than one that is
  // still on its way.
  ++evacuation_revisions_[command.failure_domain];
  const bool changed = command.evacuated
                           ? evacuated_.insert(command.failure_domain).second
                           : evacuated_.erase(command.failure_domain) > 0;
  return {.found = true, .changed = changed};
}

QueueOutcome QueueState::Handle(const PutWorker& command, int64_t) {
  const WorkerRegistration& added = command.registration;
  const auto current = workers_.find(added.id);
  // A delayed heartbeat may arrive after a newer one, after a newer incarnation
  // has registered, or after the worker has left. The leader that takes it may
  // not have seen the newer one.
  if (current != workers_.end() &&
      std::pair(added.started_unix_ms, added.heartbeat_sequence) <
          std::pair(current->second.started_unix_ms,
                    current->second.heartbeat_sequence)) {
    return {.found = true};
  }
  const auto departed = departed_workers_.find(added.id);
  if (departed != departed_workers_.end() &&
      added.started_unix_ms <= departed->second.started_unix_ms) {
    return {.found = true};
  }
  const auto withdrawn = withdrawn_workers_.find(added.id);
  if (withdrawn != withdrawn_workers_.end() &&
      added.started_unix_ms < withdrawn->second.registration.started_unix_ms) {
    return {.found = true};
  }
  // An address belongs to one process, so an older worker with this address no
  // longer exists.
  std::erase_if(workers_, [&](const auto& item) {
    return item.first != added.id && item.second.address == added.address &&
           item.second.started_unix_ms <= added.started_unix_ms;
  });
  std::erase_if(withdrawn_workers_, [&](const auto& item) {
    const WorkerRegistration& earlier = item.second.registration;
    return (earlier.id == added.id || earlier.address == added.address) &&
           earlier.started_unix_ms <= added.started_unix_ms;
  });
  workers_revision_ = NextRevision();
  if (current != workers_.end() &&
      current->second.started_unix_ms != added.started_unix_ms) {
    restarted_workers_.insert(added.id);
  }
  WorkerRegistration& stored = workers_[added.id];
  const bool changed = !DescribeAlike(stored, added);
  stored = added;
  return {.found = true, .changed = changed};
}

QueueOutcome QueueState::Handle(const RemoveWorker& command, int64_t unix_ms) {
  const auto current = workers_.find(command.id);
  if (current == workers_.end() ||
      (command.started_unix_ms != 0 &&
       current->second.started_unix_ms != command.started_unix_ms)) {
    return {};
  }
  // Only a drained worker certainly leaves. The removal of another one may be a
  // delayed one of an earlier incarnation.
  if (current->second.draining && current->second.started_unix_ms != 0) {
    departed_workers_[command.id] = {command.id,
                                     current->second.started_unix_ms, unix_ms};
  }
  const bool restarted = restarted_workers_.erase(command.id) > 0;
  withdrawn_workers_[command.id] = {std::move(current->second), restarted};
  workers_.erase(current);
  workers_revision_ = NextRevision();
  return {.found = true, .changed = true};
}

QueueOutcome QueueState::Handle(const ForgetWithdrawnWorkers& command,
                                int64_t) {
  if (command.leader_epoch != leader_epoch_) {
    return {};
  }
  size_t erased = 0;
  for (const WorkerIncarnation& worker : command.workers) {
    const auto found = withdrawn_workers_.find(worker.id);
    if (found != withdrawn_workers_.end() &&
        found->second.registration.started_unix_ms == worker.started_unix_ms) {
      withdrawn_workers_.erase(found);
      ++erased;
    }
  }
  return {.found = true, .changed = erased > 0};
}

QueueOutcome QueueState::Handle(const RecordSuspectedRuns& command, int64_t) {
  if (command.leader_epoch != leader_epoch_) {
    return {};
  }
  for (const SuspectedRuns& suspected : command.workers) {
    if (suspected.runs.empty()) {
      suspected_runs_.erase(suspected.worker.id);
    } else {
      suspected_runs_[suspected.worker.id] = suspected;
    }
  }
  return {.found = true, .changed = !command.workers.empty()};
}

QueueOutcome QueueState::Handle(const SubmitJob& command, int64_t unix_ms) {
  auto [position, inserted] = jobs_.try_emplace(command.id);
  if (!inserted) {
    return {.found = true};
  }
  auto job = std::make_shared<QueuedJob>();
  job->id = command.id;
  job->queue = command.queue;
  job->pool = command.pool;
  job->maximum_attempts = command.maximum_attempts;
  job->priority = command.priority;
  job->stretch_factor = command.stretch_factor;
  job->target_latency_ms = command.target_latency_ms;
  job->specification = command.specification;
  job->account = command.account;
  job->submitted_unix_ms = unix_ms;
  job->unfinished_tasks = TasksOfOccurrence(command.specification) *
                          command.specification.OccurrenceCount();
  job_bytes_ += job->MemoryBytes();
  position->second = std::move(job);
  RecordJobChange(command.id);
  if (cancelled_unknown_jobs_.erase(command.id) > 0) {
    EndJob(position->second.get(), JobOutcome::kCancelled, unix_ms);
  }
  return {.found = true, .changed = true};
}

QueueOutcome QueueState::Handle(const CancelQueuedJob& command,
                                int64_t unix_ms) {
  const auto found = jobs_.find(command.id);
  if (found == jobs_.end()) {
    cancelled_unknown_jobs_[command.id] = unix_ms;
    return {};
  }
  if (found->second->outcome != JobOutcome::kOpen) {
    return {.found = true};
  }
  EndJob(found->second.get(), JobOutcome::kCancelled, unix_ms);
  return {.found = true, .changed = true};
}

QueueOutcome QueueState::Handle(const RecordFinishedRuns& command,
                                int64_t unix_ms) {
  for (const FinishedRun& finished : command.finished_runs) {
    const auto found = jobs_.find(finished.task.job);
    if (found != jobs_.end() && found->second->outcome == JobOutcome::kOpen &&
        HasTask(found->second->specification, finished.task)) {
      Record(finished, found->second.get(), unix_ms);
    }
  }
  return {.found = true, .changed = !command.finished_runs.empty()};
}

void QueueState::Record(const FinishedRun& finished,
                        QueuedJob* job,
                        int64_t unix_ms) {
  const JobStep& step = job->specification.steps[finished.task.step];
  const int64_t occurrence = finished.task.occurrence;
  if (finished.outcome == RunOutcome::kDone && !step.long_running &&
      !job->finished_occurrences.Contains(occurrence)) {
    MarkDone(finished.task, job);
  }
  // The runs of a worker that has crashed count until their leases have
  // expired.
  if (finished.outcome != RunOutcome::kCrashSuspected &&
      finished.outcome != RunOutcome::kCrashAttributed) {
    recorded_runs_.Erase(finished.task, finished.run);
  }
  if (job->finished_occurrences.Contains(occurrence)) {
    if (job->unfinished_tasks == 0) {
      EndJob(job, JobOutcome::kCompleted, unix_ms);
    }
    return;
  }
  TaskName failure_holder = finished.task;
  failure_holder.index = step.gang ? 0 : failure_holder.index;
  TaskProgress& progress = job->progress[failure_holder];
  if (finished.outcome == RunOutcome::kFailed && !progress.done &&
      std::find(progress.failed_runs.begin(), progress.failed_runs.end(),
                finished.run) == progress.failed_runs.end()) {
    progress.failed_runs.push_back(finished.run);
  }
  RecordCrash(finished, &progress);
  if (!finished.checkpoint.empty() && finished.run >= progress.checkpoint_run) {
    progress.checkpoint_run = finished.run;
    progress.checkpoint = finished.checkpoint;
  }
  const auto failures = static_cast<int64_t>(progress.failed_runs.size());
  if (job->unfinished_tasks == 0) {
    EndJob(job, JobOutcome::kCompleted, unix_ms);
  } else if ((!step.long_running && failures >= job->maximum_attempts) ||
             IsCrashLimitReached(step, progress.crashes())) {
    EndJob(job, JobOutcome::kFailed, unix_ms);
  }
}

void QueueState::RecordCrash(const FinishedRun& finished,
                             TaskProgress* progress) {
  const bool attributed = finished.outcome == RunOutcome::kCrashAttributed;
  const bool crashed =
      attributed || finished.outcome == RunOutcome::kCrashSuspected;
  if (!crashed || progress->done ||
      std::find(progress->crashed_runs.begin(), progress->crashed_runs.end(),
                finished.run) != progress->crashed_runs.end()) {
    return;
  }
  progress->crashed_runs.push_back(finished.run);
  progress->attributed_crashes += attributed ? 1 : 0;
}

void QueueState::MarkDone(const TaskName& task, QueuedJob* job) {
  const JobStep& step = job->specification.steps[task.step];
  // One finished member completes the whole gang.
  const int64_t first = step.gang ? 0 : task.index;
  const int64_t last = step.gang ? step.tasks - 1 : task.index;
  for (int64_t index = first; index <= last; ++index) {
    TaskName member = task;
    member.index = index;
    TaskProgress& progress = job->progress[member];
    if (progress.done) {
      continue;
    }
    progress.done = true;
    --job->unfinished_tasks;
    if (job->specification.repetitions > 0) {
      ++job->done_tasks[task.occurrence];
    }
  }
  if (step.gang) {
    recorded_runs_.EraseStep(task);
  }
  FinishOccurrence(task.occurrence, job);
}

void QueueState::FinishOccurrence(int64_t number, QueuedJob* job) {
  const auto done = job->done_tasks.find(number);
  if (done == job->done_tasks.end() ||
      done->second < TasksOfOccurrence(job->specification)) {
    return;
  }
  job->done_tasks.erase(done);
  job->finished_occurrences.Insert(number);
  const SharedText id(job->id);
  job->progress.erase(job->progress.lower_bound({id, number, 0, 0}),
                      job->progress.lower_bound({id, number + 1, 0, 0}));
}

void QueueState::RestoreOccurrences(QueuedJob* job) {
  if (job->specification.repetitions == 0) {
    return;
  }
  for (const auto& [task, progress] : job->progress) {
    if (progress.done) {
      ++job->done_tasks[task.occurrence];
    }
  }
  // Versions that keep the progress until the job ends have written some
  // snapshots.
  const std::map<int64_t, int64_t> done_tasks = job->done_tasks;
  for (const auto& [number, tasks] : done_tasks) {
    FinishOccurrence(number, job);
  }
}

void QueueState::EndJob(QueuedJob* job, JobOutcome outcome, int64_t unix_ms) {
  job_bytes_ -= job->MemoryBytes();
  job->outcome = outcome;
  job->ended_unix_ms = unix_ms;
  job->progress.clear();
  job->done_tasks.clear();
  job->finished_occurrences = {};
  job->specification.payload.clear();
  job_bytes_ += job->MemoryBytes();
  recorded_runs_.EraseJob(job->id);
  jobs_with_unrecorded_runs_.erase(job->id);
  RecordJobChange(job->id);
}

int64_t QueueState::job_bytes() const {
  return job_bytes_ +
         std::ssize(cancelled_unknown_jobs_) * kBytesPerCancelledUnknownJob;
}

bool QueueState::HasJobsEndedBefore(int64_t unix_ms) const {
  return std::any_of(jobs_.begin(), jobs_.end(),
                     [unix_ms](const auto& item) {
                       return item.second->outcome != JobOutcome::kOpen &&
                              item.second->ended_unix_ms < unix_ms;
                     }) ||
         std::any_of(
             cancelled_unknown_jobs_.begin(), cancelled_unknown_jobs_.end(),
             [unix_ms](const auto& item) { return item.second < unix_ms; });
}

QueueOutcome QueueState::Handle(const PurgeJobsEndedBefore& command, int64_t) {
  std::erase_if(cancelled_unknown_jobs_, [&](const auto& item) {
    return item.second < command.unix_ms;
  });
  const size_t erased = std::erase_if(jobs_, [&](const auto& item) {
    const bool erase = item.second->outcome != JobOutcome::kOpen &&
                       item.second->ended_unix_ms < command.unix_ms;
    job_bytes_ -= erase ? item.second->MemoryBytes() : 0;
    return erase;
  });
  std::erase_if(departed_workers_, [&](const auto& item) {
    return item.second.departed_unix_ms < command.unix_ms;
  });
  return {.found = true, .changed = erased > 0};
}

QueueOutcome QueueState::Handle(const StartWave& command, int64_t unix_ms) {
  auto [position, inserted] = waves_.try_emplace(command.wave.number);
  if (!inserted) {
    return {.found = true};
  }
  position->second = command.wave;
  position->second.started_unix_ms = unix_ms;
  return {.found = true, .changed = true};
}

QueueOutcome QueueState::Handle(const FinishMachineMaintenance& command,
                                int64_t) {
  const auto found = waves_.find(command.wave);
  if (found == waves_.end()) {
    return {};
  }
  std::vector<std::string>& finished_machines = found->second.finished_machines;
  if (std::find(finished_machines.begin(), finished_machines.end(),
                command.machine) != finished_machines.end()) {
    return {.found = true};
  }
  finished_machines.push_back(command.machine);
  return {.found = true, .changed = true};
}

QueueOutcome QueueState::Handle(const ReadBarrier&, int64_t) {
  return {.found = true};
}

}  // namespace bramleyrail
