#include "packages/placement/probation_tracker.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/placement/placement_events.h"

namespace bramleyrail {

namespace {

constexpr int64_t kEarlyFailureMs = 30'000;

// Tasks of one job may all be faulty; three jobs are hardly so by chance.
constexpr size_t kJobsInStreak = 3;

// A charge cannot be taken back, so an early failure waits for others on the
// same worker. A worker that fails everything gets new tasks at once, so this
// is enough to see three; a task that is itself faulty is retried this much
// later.
constexpr Milliseconds kHoldTime{10'000};

constexpr size_t kMaximumStreak = 64;

// A worker that is still broken is found again after three failures, which are
// not charged. One that was repaired without a restart comes back by itself.
constexpr std::chrono::minutes kProbationTime{10};

constexpr Milliseconds kRetryInterval{1000};

}  // namespace

ProbationTracker::ProbationTracker() : gate_(kRetryInterval) {}

bool ProbationTracker::IsEarlyFailure(const AttemptReport& report,
                                      int64_t ran_ms) {
  return report.state == ReportedAttemptState::kFailed &&
         ran_ms < kEarlyFailureMs;
}

void ProbationTracker::AddEarlyFailure(const WorkerReport& worker,
                                       const AttemptReport& report,
                                       std::string_view owner_uid,
                                       MonotonicTime now) {
  Entry& entry = entries_[worker.worker];
  if (entry.boot_id != worker.boot_id) {
    entry = {worker.boot_id, false, {}};
  }
  for (Failure& failure : entry.streak) {
    if (failure.report.task_id == report.task_id &&
        failure.report.attempt == report.attempt) {
      return;
    }
  }
  if (entry.streak.size() >= kMaximumStreak && entry.streak.front().released) {
    entry.streak.erase(entry.streak.begin());
  }
  entry.streak.push_back({std::string(owner_uid), report, now, false});
}

void ProbationTracker::AddSuccess(std::string_view worker) {
  const auto found =
      entries_.find(absl::string_view(worker.data(), worker.size()));
  if (found != entries_.end()) {
    found->second.succeeded = true;
  }
}

void ProbationTracker::Step(const ClusterState& state,
                            MonotonicTime now,
                            std::vector<CommandBody>* commands) {
  for (auto& [name, entry] : entries_) {
    StepWorker(name, state.FindWorkerState(name), &entry, now, commands);
  }
  absl::erase_if(entries_,
                 [](const auto& entry) { return entry.second.streak.empty(); });
  EndProbations(state, now, commands);
}

void ProbationTracker::StepWorker(const std::string& name,
                                  const WorkerState* worker,
                                  Entry* entry,
                                  MonotonicTime now,
                                  std::vector<CommandBody>* commands) {
  if (worker == nullptr || worker->boot_id != entry->boot_id) {
    entry->streak.clear();
    return;
  }
  std::set<std::string> owners;
  for (const Failure& failure : entry->streak) {
    owners.insert(failure.owner_uid);
  }
  const bool broken = worker->on_probation ||
                      (owners.size() >= kJobsInStreak && !entry->succeeded);
  if (broken && !worker->on_probation && gate_.Allow(name, now)) {
    const std::string reason = absl::StrCat(
        entry->streak.size(), " tasks of ", owners.size(),
        " jobs in a row failed within 30 s of their start; check the worker");
    LogEvent(kWorkerProbation,
             {{"worker", name}, {"on_probation", true}, {"reason", reason}});
    commands->emplace_back(SetWorkerProbation{name, true, reason});
  }
  ReportAttempts reports{name, entry->boot_id, {}};
  for (Failure& failure : entry->streak) {
    const bool decided =
        broken || entry->succeeded || now - failure.added >= kHoldTime;
    if (decided && !failure.released) {
      failure.report.charged = !broken;
      reports.reports.push_back(failure.report);
      failure.released = true;
    }
  }
  if (!reports.reports.empty()) {
    commands->emplace_back(std::move(reports));
  }
  if (entry->succeeded || worker->on_probation) {
    entry->streak.clear();
  }
  entry->succeeded = false;
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
    // A new boot is the usual repair.
    const bool over = probation->second.boot_id != boot_id ||
                      now - probation->second.since >= kProbationTime;
    if (over && gate_.Allow(name, now)) {
      LogEvent(kWorkerProbation, {{"worker", name}, {"on_probation", false}});
      commands->emplace_back(SetWorkerProbation{name, false, ""});
    }
  }
}

}  // namespace bramleyrail
