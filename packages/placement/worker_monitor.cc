#include "packages/placement/worker_monitor.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "packages/placement/placement_events.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kRetryInterval{1000};

// A suspended worker is reachable again when its last report is at most this
// old.
constexpr Milliseconds kRecentReportAge{1000};

int64_t MillisecondsBetween(MonotonicTime then, MonotonicTime now) {
  return std::chrono::duration_cast<Milliseconds>(now - then).count();
}

// A delayed report of an earlier boot must not end the attempts of the current
// boot: they would keep running while they are placed elsewhere.
bool IsRetiredBoot(const WorkerState& worker, const std::string& boot_id) {
  const auto& retired = worker.retired_boot_ids;
  return std::find(retired.begin(), retired.end(), boot_id) != retired.end();
}

bool HasSpec(const Resource& resource, WorkerSpec spec) {
  const auto& current = std::get<WorkerSpec>(resource.spec);
  spec.drained = current.drained;
  return spec == current;
}

}  // namespace

WorkerMonitor::WorkerMonitor() : proposal_limiter_(kRetryInterval) {}

WorkerMonitor::WorkerContact& WorkerMonitor::ContactOf(std::string_view name,
                                                       MonotonicTime now) {
  const absl::string_view key(name.data(), name.size());
  // A newly elected leader has no contact times. It counts the moment when it
  // first sees a worker as a contact, so every worker gets a full silence
  // timeout.
  return contacts_.try_emplace(key, WorkerContact{.last_contact = now})
      .first->second;
}

bool WorkerMonitor::HandleReport(const ClusterState& state,
                                 const WorkerReport& report,
                                 MonotonicTime now,
                                 const std::function<std::string()>& new_uid,
                                 std::vector<CommandBody>* commands) {
  const WorkerState* worker = state.FindWorkerState(report.worker);
  if (worker != nullptr && IsRetiredBoot(*worker, report.boot_id)) {
    LogEvent(kStaleBootIgnored,
             {{"worker", report.worker}, {"boot_id", report.boot_id}});
    return false;
  }
  WorkerContact& contact = ContactOf(report.worker, now);
  const bool same_boot = worker != nullptr && worker->boot_id == report.boot_id;
  contact.last_contact = now;
  contact.last_report = now;
  const Resource* resource =
      state.FindResource(ResourceKind::kWorker, report.worker);
  if (same_boot && resource != nullptr && HasSpec(*resource, report.spec)) {
    return true;
  }
  if (proposal_limiter_.Allow(
          absl::StrCat("register ", report.worker, " ", report.boot_id), now)) {
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
  WorkerContact& contact = ContactOf(name, now);
  if (worker.suspended || worker.expired) {
    StepSuspended(name, worker, &contact, now, commands);
    return;
  }
  contact.suspended_since.reset();
  if (now - contact.last_contact < kWorkerSilenceTimeout ||
      !proposal_limiter_.Allow(absl::StrCat("suspend ", name), now)) {
    return;
  }
  LogEvent(kWorkerSuspended,
           {{"worker", name},
            {"silent_ms", MillisecondsBetween(contact.last_contact, now)}});
  commands->push_back(SuspendWorker{name, worker.boot_id});
}

void WorkerMonitor::StepSuspended(const std::string& name,
                                  const WorkerState& worker,
                                  WorkerContact* contact,
                                  MonotonicTime now,
                                  std::vector<CommandBody>* commands) {
  // Counted from the moment when this leader applied the suspension, whoever
  // proposed it. That is never before the commit.
  if (!contact->suspended_since) {
    contact->suspended_since = now;
  }
  // Only a report counts here, not the time when a new leader first saw the
  // worker.
  const bool reports_again =
      contact->last_report &&
      *contact->last_report >= *contact->suspended_since &&
      now - *contact->last_report < kRecentReportAge;
  if (reports_again) {
    if (proposal_limiter_.Allow(absl::StrCat("resume ", name), now)) {
      LogEvent(kWorkerResumed, {{"worker", name}, {"expired", worker.expired}});
      commands->push_back(ResumeWorker{name, worker.boot_id});
      // The resumption may be applied and followed by another suspension before
      // this leader sees it, so the expiry delay starts over.
      contact->suspended_since = now;
    }
    return;
  }
  if (worker.expired || now - *contact->suspended_since < kWorkerExpiryDelay ||
      !proposal_limiter_.Allow(absl::StrCat("expire ", name), now)) {
    return;
  }
  LogEvent(
      kWorkerExpired,
      {{"worker", name},
       {"suspended_ms", MillisecondsBetween(*contact->suspended_since, now)}});
  commands->push_back(ExpireWorker{name, worker.boot_id});
}

}  // namespace bramleyrail
