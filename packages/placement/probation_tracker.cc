#include "packages/placement/probation_tracker.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/placement/placement_events.h"

namespace bramleyrail {

namespace {

constexpr int64_t kEarlyFailureMs = 30'000;

// Tasks of one job may all be faulty; early failures of three jobs are unlikely
// to be a coincidence.
constexpr size_t kMinimumFailedJobs = 3;

// A failure that is charged to a task cannot be revoked, so an early failure
// waits for others on the same worker. A worker that fails everything gets new
// tasks immediately, so this time is enough to collect failures of three jobs.
// A task that is itself faulty is retried this much later.
constexpr Milliseconds kFailureHoldTime{10'000};

constexpr size_t kMaximumHeldFailures = 64;

// A worker that is still broken is detected again after three failures, which
// are not charged. A worker that was repaired without a restart returns to
// service after this time.
constexpr std::chrono::minutes kProbationDuration{10};

constexpr Milliseconds kRetryInterval{1000};

}  // namespace

ProbationTracker::ProbationTracker() : proposal_limiter_(kRetryInterval) {}

bool ProbationTracker::IsEarlyFailure(const AttemptReport& report,
                                      int64_t ran_ms) {
  return report.state == ReportedAttemptState::kFailed &&
         ran_ms < kEarlyFailureMs;
}

void ProbationTracker::AddEarlyFailure(const WorkerReport& worker,
                                       const AttemptReport& report,
                                       std::string_view owner_uid,
                                       MonotonicTime now) {
  EarlyFailures& early_failures = failures_by_worker_[worker.worker];
  if (early_failures.boot_id != worker.boot_id) {
    early_failures = {worker.boot_id, false, {}};
  }
  for (Failure& failure : early_failures.failures) {
    if (failure.report.task_id == report.task_id &&
        failure.report.attempt == report.attempt) {
      return;
    }
  }
  if (early_failures.failures.size() >= kMaximumHeldFailures &&
      early_failures.failures.front().released) {
    early_failures.failures.erase(early_failures.failures.begin());
  }
  early_failures.failures.push_back(
      {std::string(owner_uid), report, now, false});
}

void ProbationTracker::AddSuccess(std::string_view worker) {
  const auto found =
      failures_by_worker_.find(absl::string_view(worker.data(), worker.size()));
  if (found != failures_by_worker_.end()) {
    found->second.succeeded = true;
  }
}

void ProbationTracker::Step(const ClusterState& state,
                            MonotonicTime now,
                            std::vector<CommandBody>* commands) {
  for (auto& [name, early_failures] : failures_by_worker_) {
    StepWorker(name, state.FindWorkerState(name), &early_failures, now,
               commands);
  }
  absl::erase_if(failures_by_worker_, [](const auto& early_failures) {
    return early_failures.second.failures.empty();
  });
  EndProbations(state, now, commands);
}

void ProbationTracker::StepWorker(const std::string& name,
                                  const WorkerState* worker,
                                  EarlyFailures* early_failures,
                                  MonotonicTime now,
                                  std::vector<CommandBody>* commands) {
  if (worker == nullptr || worker->boot_id != early_failures->boot_id) {
    early_failures->failures.clear();
    return;
  }
  std::set<std::string> owners;
  for (const Failure& failure : early_failures->failures) {
    owners.insert(failure.owner_uid);
  }
  const bool broken =
      worker->on_probation ||
      (owners.size() >= kMinimumFailedJobs && !early_failures->succeeded);
  if (broken && !worker->on_probation && proposal_limiter_.Allow(name, now)) {
    const std::string reason = absl::StrCat(
        early_failures->failures.size(), " tasks of ", owners.size(),
        " jobs in a row failed within 30 s of their start; check the worker");
    LogEvent(kWorkerProbation,
             {{"worker", name}, {"on_probation", true}, {"reason", reason}});
    commands->emplace_back(SetWorkerProbation{name, true, reason});
  }
  ReportAttempts reports{name, early_failures->boot_id, {}};
  for (Failure& failure : early_failures->failures) {
    const bool decided = broken || early_failures->succeeded ||
                         now - failure.added >= kFailureHoldTime;
    if (decided && !failure.released) {
      failure.report.charged = !broken;
      reports.reports.push_back(failure.report);
      failure.released = true;
    }
  }
  if (!reports.reports.empty()) {
    commands->emplace_back(std::move(reports));
  }
  if (early_failures->succeeded || worker->on_probation) {
    early_failures->failures.clear();
  }
  early_failures->succeeded = false;
}

void ProbationTracker::EndProbations(const ClusterState& state,
                                     MonotonicTime now,
                                     std::vector<CommandBody>* commands) {
  for (const auto& [name, worker] : state.worker_states()) {
    if (!worker.on_probation) {
      probations_.erase(name);
      continue;
    }
    const std::string boot_id(worker.boot_id);
    const auto [probation, is_new] =
        probations_.try_emplace(name, Probation{boot_id, now});
    // A reboot is the usual repair.
    const bool over = probation->second.boot_id != boot_id ||
                      now - probation->second.since >= kProbationDuration;
    if (over && proposal_limiter_.Allow(name, now)) {
      LogEvent(kWorkerProbation, {{"worker", name}, {"on_probation", false}});
      commands->emplace_back(SetWorkerProbation{name, false, ""});
    }
  }
}

}  // namespace bramleyrail
