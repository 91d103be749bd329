#include "packages/placement/worker_monitor.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "packages/placement/placement_events.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kRetryInterval{1000};

// A poll that came in this recently counts as a worker that reports again.
constexpr Milliseconds kRecentContact{1000};

int64_t Since(MonotonicTime then, MonotonicTime now) {
  return std::chrono::duration_cast<Milliseconds>(now - then).count();
}

// A report of an earlier boot that was delayed on its way must not end the
// attempts of the current boot: they would run on while they are placed again.
bool IsRetired(const WorkerState& worker, const std::string& boot_id) {
  const auto& retired = worker.retired_boot_ids;
  return std::find(retired.begin(), retired.end(), boot_id) != retired.end();
}

bool HasSpec(const Resource& resource, WorkerSpec spec) {
  const auto& current = std::get<WorkerSpec>(resource.spec);
  spec.drained = current.drained;
  return spec == current;
}

}  // namespace

WorkerMonitor::WorkerMonitor() : gate_(kRetryInterval) {}

WorkerMonitor::Entry& WorkerMonitor::EntryOf(std::string_view name,
                                             MonotonicTime now) {
  const absl::string_view key(name.data(), name.size());
  // A leader that has just been elected knows no contact times. The first
  // sight counts as a contact, so every worker gets a full silence period.
  return entries_.try_emplace(key, Entry{.last_contact = now}).first->second;
}

bool WorkerMonitor::Contact(const ClusterState& state,
                            const WorkerReport& report,
                            MonotonicTime now,
                            const std::function<std::string()>& new_uid,
                            std::vector<CommandBody>* commands) {
  const WorkerState* worker = state.FindWorkerState(report.worker);
  if (worker != nullptr && IsRetired(*worker, report.boot_id)) {
    LogEvent(kStaleBootIgnored,
             {{"worker", report.worker}, {"boot_id", report.boot_id}});
    return false;
  }
  Entry& entry = EntryOf(report.worker, now);
  const bool same_boot = worker != nullptr && worker->boot_id == report.boot_id;
  entry.last_contact = now;
  entry.last_report = now;
  const Resource* resource =
      state.FindResource(ResourceKind::kWorker, report.worker);
  if (same_boot && resource != nullptr && HasSpec(*resource, report.spec)) {
    return true;
  }
  if (gate_.Allow(absl::StrCat("register ", report.worker, " ", report.boot_id),
                  now)) {
    LogEvent(kWorkerRegistered, {{"worker", report.worker},
                                 {"boot_id", report.boot_id},
                                 {"failure_domain", report.spec.failure_domain},
                                 {"rack", report.spec.rack}});
    commands->push_back(
        RegisterWorker{report.worker, report.boot_id, report.spec, new_uid()});
  }
  return same_boot;
}

void WorkerMonitor::Step(const ClusterState& state,
                         MonotonicTime now,
                         std::vector<CommandBody>* commands) {
  for (const auto& [name, worker] : state.worker_states()) {
    if (!worker.boot_id.empty()) {
      StepWorker(name, worker, now, commands);
    }
  }
}

void WorkerMonitor::StepWorker(const std::string& name,
                               const WorkerState& worker,
                               MonotonicTime now,
                               std::vector<CommandBody>* commands) {
  Entry& entry = EntryOf(name, now);
  if (worker.suspended || worker.expired) {
    StepSuspended(name, worker, &entry, now, commands);
    return;
  }
  entry.suspended_since.reset();
  if (now - entry.last_contact < kSilenceLimit ||
      !gate_.Allow(absl::StrCat("suspend ", name), now)) {
    return;
  }
  LogEvent(kWorkerSuspended,
           {{"worker", name}, {"silent_ms", Since(entry.last_contact, now)}});
  commands->push_back(SuspendWorker{name, worker.boot_id});
}

void WorkerMonitor::StepSuspended(const std::string& name,
                                  const WorkerState& worker,
                                  Entry* entry,
                                  MonotonicTime now,
                                  std::vector<CommandBody>* commands) {
  // Counted from the moment this leader applied the suspension, whoever
  // proposed it: that is never before its commit.
  if (!entry->suspended_since) {
    entry->suspended_since = now;
  }
  // Only a report counts here, not the first sight by a new leader.
  const bool reports_again = entry->last_report &&
                             *entry->last_report >= *entry->suspended_since &&
                             now - *entry->last_report < kRecentContact;
  if (reports_again) {
    if (gate_.Allow(absl::StrCat("resume ", name), now)) {
      LogEvent(kWorkerResumed, {{"worker", name}, {"expired", worker.expired}});
      commands->push_back(ResumeWorker{name, worker.boot_id});
      // The proposal may take effect unseen, followed by another suspension,
      // so the wait starts over.
      entry->suspended_since = now;
    }
    return;
  }
  if (worker.expired || now - *entry->suspended_since < kSuspensionWait ||
      !gate_.Allow(absl::StrCat("expire ", name), now)) {
    return;
  }
  LogEvent(kWorkerExpired,
           {{"worker", name},
            {"suspended_ms", Since(*entry->suspended_since, now)}});
  commands->push_back(ExpireWorker{name, worker.boot_id});
}

}  // namespace bramleyrail
