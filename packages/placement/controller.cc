#include "packages/placement/controller.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/placement/placement_events.h"
#include "packages/placement/report_filter.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kRetryInterval{1000};

// The cancellation of many jobs at once is reconciled over several steps, so
// that its log entries do not delay starts.
constexpr int kMaximumReconciliationsPerStep = 16;

// Reports lag by some seconds: a measurement was taken beside the tasks that
// the worker held then, not those that it holds now.
constexpr Milliseconds kMaximumReportLag{5000};

// Bounds memory when reports arrive while Step is not called. Workers repeat
// their reports, so dropping the oldest ones loses nothing.
constexpr size_t kMaximumQueuedReports = 10'000;

Controller::Options WithDefaults(Controller::Options options) {
  if (!options.new_uid) {
    options.new_uid = NewUniqueId;
  }
  if (!options.unix_clock) {
    options.unix_clock = UnixMilliseconds;
  }
  return options;
}

}  // namespace

Controller::Controller(Options options)
    : options_(WithDefaults(std::move(options))),
      fleet_(options_.headroom_permille),
      owners_(&fleet_),
      synchronizer_(&fleet_, &owners_),
      scored_policy_(&interference_, options_.seed),
      relief_(&fleet_, &owners_, &interference_),
      preemptor_(&fleet_, &owners_),
      placer_(&fleet_, &owners_, &synchronizer_, PlacerHooks()),
      proposal_limiter_(kRetryInterval) {}

void Controller::EnqueueReport(WorkerReport report) {
  absl::MutexLock lock(&mutex_);
  if (reports_.size() >= kMaximumQueuedReports) {
    reports_.erase(reports_.begin(),
                   reports_.begin() + kMaximumQueuedReports / 2);
  }
  reports_.push_back(std::move(report));
}

std::vector<WorkerReport> Controller::TakeReports() {
  absl::MutexLock lock(&mutex_);
  return std::exchange(reports_, {});
}

std::vector<Command> Controller::Step(const ClusterState& state,
                                      MonotonicTime now) {
  std::vector<CommandBody> bodies;
  synchronizer_.Synchronize(state, now);
  for (const WorkerReport& report : TakeReports()) {
    if (monitor_.HandleReport(state, report, now, options_.new_uid, &bodies)) {
      ApplyReport(state, report, now, &bodies);
      RecordUsage(state, report, now);
    }
  }
  monitor_.Step(state, now, &bodies);
  probation_.Step(state, now, &bodies);
  desired_changes_.clear();
  placer_.Step(state, now, &bodies);
  if (options_.eviction == Eviction::kOn) {
    relief_.Step(state, now, &desired_changes_);
    preemptor_.Step(state, now, &desired_changes_);
  }
  StopUnstartedAttempts(state, now, &desired_changes_);
  ProposeDesired(state, std::move(desired_changes_), &bodies);
  ReconcileOwners(state, now, &bodies);

  std::vector<Command> commands;
  commands.reserve(bodies.size());
  const int64_t unix_ms = options_.unix_clock();
  for (CommandBody& body : bodies) {
    commands.push_back({unix_ms, std::move(body)});
  }
  return commands;
}

void Controller::ApplyReport(const ClusterState& state,
                             const WorkerReport& report,
                             MonotonicTime now,
                             std::vector<CommandBody>* commands) {
  ReportAttempts accepted{report.worker, report.boot_id, {}};
  for (const HeldAttempt& held : report.attempts) {
    auto new_report =
        FilterAttemptReport(state, report.worker, report.boot_id, held.report);
    if (!new_report) {
      continue;
    }
    if (ProbationTracker::IsEarlyFailure(*new_report, held.ran_ms)) {
      const Task* task = state.FindTask(new_report->task_id);
      probation_.AddEarlyFailure(report, *new_report, task->owner.uid, now);
      continue;
    }
    if (new_report->state == ReportedAttemptState::kCompleted) {
      probation_.AddSuccess(report.worker);
    }
    const std::string key = absl::StrCat(
        "report ", new_report->task_id, " ", new_report->attempt, " ",
        static_cast<int>(new_report->state), " ", new_report->checkpoint);
    if (proposal_limiter_.Allow(key, now)) {
      accepted.reports.push_back(*std::move(new_report));
    }
  }
  if (!accepted.reports.empty()) {
    commands->emplace_back(std::move(accepted));
  }
}

void Controller::ReconcileOwners(const ClusterState& state,
                                 MonotonicTime now,
                                 std::vector<CommandBody>* commands) {
  int reconciled = 0;
  for (const auto& [uid, owner] : state.owners_to_reconcile()) {
    if (reconciled == kMaximumReconciliationsPerStep) {
      return;
    }
    if (proposal_limiter_.Allow(absl::StrCat("reconcile ", uid), now)) {
      commands->emplace_back(ReconcileTasks{owner});
      ++reconciled;
    }
  }
}

TaskPlacer::Hooks Controller::PlacerHooks() {
  TaskPlacer::Hooks hooks;
  hooks.policy = options_.policy;
  if (!hooks.policy) {
    hooks.policy = [this](const PlacementRequest& request, const Fleet& fleet) {
      return scored_policy_(request, fleet);
    };
  }
  if (options_.size_source == SizeSource::kEstimate) {
    hooks.estimate = [this](int32_t kind, const ResourceAmounts& declared) {
      return estimator_.Estimate(kind, declared);
    };
  }
  if (options_.eviction == Eviction::kOff) {
    return hooks;
  }
  hooks.request_evictions = [this](const ClusterState& state,
                                   const PlacementRequest& request,
                                   size_t waiting, MonotonicTime now) {
    PlanEvictions(state, request, waiting, now);
  };
  return hooks;
}

bool Controller::HasStableTaskSet(uint32_t worker, MonotonicTime now) {
  const int64_t count = fleet_.worker(worker).task_set_version;
  TaskSetVersion& version = task_set_versions_[worker];
  if (version.count != count) {
    version = {count, now};
  }
  return now - version.since >= kMaximumReportLag;
}

void Controller::RecordUsage(const ClusterState& state,
                             const WorkerReport& report,
                             MonotonicTime now) {
  const auto worker = fleet_.FindWorker(report.worker);
  if (!worker) {
    return;
  }
  const bool stable = HasStableTaskSet(*worker, now);
  const FleetWorker& fleet_worker = fleet_.worker(*worker);
  for (const AttemptUsage& usage : report.usage) {
    const Task* task = state.FindTask(usage.task_id);
    if (task == nullptr || !task->HasLiveAttempt() ||
        task->attempt != usage.attempt || task->worker != report.worker) {
      continue;
    }
    const auto owner = owners_.Find(state, task->owner);
    if (owner == nullptr) {
      continue;
    }
    estimator_.Observe(owner->task_kind, owner->declared, usage.used);
    if (usage.slowdown_permille == 0) {
      continue;
    }
    if (stable) {
      interference_.Observe(owner->task_kind, fleet_worker.kind_counts,
                            usage.slowdown_permille, now);
    }
    if (owner->capacity_class == CapacityClass::kService) {
      relief_.Observe(*worker, owner->task_kind, usage.slowdown_permille, now);
    }
  }
}

void Controller::PlanEvictions(const ClusterState& state,
                               const PlacementRequest& request,
                               size_t waiting,
                               MonotonicTime now) {
  for (size_t plans = preemptor_.PlanCount(request.owner_uid); plans < waiting;
       ++plans) {
    if (!preemptor_.PlanEvictions(state, request, now, &desired_changes_)) {
      return;
    }
  }
}

void Controller::StopUnstartedAttempts(
    const ClusterState& state,
    MonotonicTime now,
    std::vector<DesiredStateChange>* changes) {
  for (const auto& [name, worker] : state.worker_states()) {
    // A suspended worker does not receive orders; its attempts end with its
    // lease.
    const bool may_not_start =
        !worker.suspended && !worker.task_ids.empty() &&
        (worker.on_probation || state.IsWorkerDrained(name));
    if (!may_not_start ||
        !proposal_limiter_.Allow(absl::StrCat("withdraw ", name), now)) {
      continue;
    }
    for (const auto& task_id : worker.task_ids) {
      const Task* task = state.FindTask(task_id);
      if (task->reported == ReportedAttemptState::kAccepted &&
          task->desired != DesiredAttemptState::kStop) {
        changes->push_back({std::string(task_id), task->attempt,
                            DesiredAttemptState::kStop,
                            "the worker may not start it any more"});
      }
    }
  }
}

void Controller::ProposeDesired(const ClusterState& state,
                                std::vector<DesiredStateChange> changes,
                                std::vector<CommandBody>* commands) {
  for (const DesiredStateChange& change : changes) {
    const Task* task = state.FindTask(change.task_id);
    const std::string_view worker = task->worker;
    LogEvent(kAttemptDesired,
             {{"task", change.task_id},
              {"attempt", change.attempt},
              {"worker", worker},
              {"desired", DesiredAttemptStateName(change.desired)},
              {"reason", change.reason}});
  }
  if (!changes.empty()) {
    commands->emplace_back(SetDesiredAttempts{std::move(changes)});
  }
}

}  // namespace bramleyrail
