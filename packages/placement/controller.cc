#include "packages/placement/controller.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/placement/baselines.h"
#include "packages/placement/report_filter.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kRetryInterval{1000};

// A cancellation of many jobs at once is reconciled over several steps, so
// that the log stays free for starts.
constexpr int kReconciledOwnersInStep = 16;

// Bounds memory when reports arrive while nobody calls Step. Workers repeat
// their reports, so dropping the oldest loses nothing.
constexpr size_t kMaximumReports = 10'000;

Controller::Options WithDefaults(Controller::Options options) {
  if (!options.policy) {
    options.policy = MakeLeastLoadedPolicy();
  }
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
      placer_(&fleet_, &owners_, &synchronizer_, options_.policy),
      gate_(kRetryInterval) {}

void Controller::Observe(WorkerReport report) {
  absl::MutexLock lock(&mutex_);
  if (reports_.size() >= kMaximumReports) {
    reports_.erase(reports_.begin(), reports_.begin() + kMaximumReports / 2);
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
    if (monitor_.Contact(state, report, now, options_.new_uid, &bodies)) {
      ApplyReport(state, report, now, &bodies);
    }
  }
  monitor_.Step(state, now, &bodies);
  placer_.Step(state, now, &bodies);
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
    auto news = NewsOf(state, report.worker, report.boot_id, held.report);
    if (!news) {
      continue;
    }
    const std::string key =
        absl::StrCat("report ", news->task_id, " ", news->attempt, " ",
                     static_cast<int>(news->state), " ", news->checkpoint);
    if (gate_.Allow(key, now)) {
      accepted.reports.push_back(*std::move(news));
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
    if (reconciled == kReconciledOwnersInStep) {
      return;
    }
    if (gate_.Allow(absl::StrCat("reconcile ", uid), now)) {
      commands->emplace_back(ReconcileTasks{owner});
      ++reconciled;
    }
  }
}

}  // namespace bramleyrail
