// Runs that are missing in the lists of their workers, and lists with entries
// that cannot be read.

#include <utility>
#include <vector>

#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

// A worker lists at most this many finished runs at a time.
constexpr size_t kMaximumListedFinishedRuns = 500;
// A worker responds at once while an end is not acknowledged, and an unreadable
// one may never be.
constexpr Milliseconds kUnreadableListPause{200};

// Whether a worker that responded with this clock rejects all start orders of
// the run. Its clock alone does not show that: it may have jumped ahead.
bool CanNoLongerBegin(const TrackedRun& run,
                      int64_t clock_ms,
                      MonotonicTime now) {
  return run.start_validity && clock_ms > run.start_validity->until_ms &&
         now >= run.start_validity->until;
}

// Whether some leader may have ordered the start.
bool MayHaveBegun(const TrackedRun& run) {
  return run.listed || run.from_earlier_leader || run.orders_sent > 0;
}

}  // namespace

bool Dispatcher::HandleUnknownLists(TrackedWorker* worker,
                                    const LeaseRenewalResponse& response,
                                    MonotonicTime sent,
                                    MonotonicTime now) {
  if (response.IsComplete() || worker->contacted ||
      AllLeasesExpired(*worker, sent)) {
    return false;
  }
  // The ends are not acknowledged, and are handled again when the whole list
  // can be read: an end before them may be the unreadable one.
  const int64_t received_through = worker->received_through;
  for (const ReportedFinishedRun& reported : response.finished) {
    HandleFinishedRun(worker, reported, now);
  }
  worker->received_through = received_through;
  worker->awaiting_durability = false;
  received_through_.erase(worker->registration().id);
  return true;
}

bool Dispatcher::MayHaveResult(const RunKey& key) {
  const TrackedJob* job = FindJob(key.first.job);
  return job != nullptr && job->HasTask(key.first) &&
         !job->step(key.first).long_running;
}

Dispatcher::UnlistedRun Dispatcher::ClassifyUnlistedRun(
    const RunKey& key,
    const TrackedRun& run,
    const ListEvidence& list,
    MonotonicTime now) {
  const LeaseRenewalResponse& response = list.response;
  // The lease renewal was sent after the worker had confirmed the run or its
  // stop, so the worker would report the run if it were still active. After
  // a renewal of this leader, it rejects the start orders of earlier ones.
  const bool expected = (run.confirmed && *run.confirmed < list.sent) ||
                        run.from_earlier_leader ||
                        CanNoLongerBegin(run, response.clock_ms, now);
  if (response.IsComplete()) {
    return expected ? UnlistedRun::kEnded : UnlistedRun::kPending;
  }
  if (!MayHaveBegun(run)) {
    return UnlistedRun::kPending;
  }
  // Whatever its end was, it is acknowledged after the lease, so it does not
  // count.
  if (list.after_all_leases) {
    return UnlistedRun::kEnded;
  }
  if (expected && response.running_complete && !MayHaveResult(key)) {
    return UnlistedRun::kEnded;
  }
  // Its end would be listed, so its own entry cannot be read.
  if (run.phase == RunPhase::kRunning && response.finished_complete &&
      response.finished.size() < kMaximumListedFinishedRuns) {
    return UnlistedRun::kActive;
  }
  return expected ? UnlistedRun::kUnresolved : UnlistedRun::kPending;
}

void Dispatcher::ResolveUnlistedRuns(TrackedWorker* worker,
                                     const LeaseRenewalResponse& response,
                                     MonotonicTime sent,
                                     MonotonicTime now) {
  const bool complete = response.IsComplete();
  const bool was_withheld = std::exchange(worker->lease_withheld, false);
  if (complete) {
    worker->acknowledgement_limit.reset();
  }
  // The end of a run may be behind the listed ones.
  if (complete && response.finished.size() >= kMaximumListedFinishedRuns) {
    return;
  }
  const ListEvidence list{response, sent, AllLeasesExpired(*worker, sent)};
  worker->contacted = true;
  std::vector<RunKey> ended;
  size_t unresolved = 0;
  bool may_hide_result = false;
  for (const auto& [key, run] : worker->runs()) {
    if (run.list_number == worker->list_number) {
      continue;
    }
    const UnlistedRun kind = ClassifyUnlistedRun(key, run, list, now);
    if (kind == UnlistedRun::kEnded) {
      ended.push_back(key);
      continue;
    }
    unresolved += kind == UnlistedRun::kUnresolved ? 1 : 0;
    may_hide_result =
        may_hide_result || (MayHaveBegun(run) && kind != UnlistedRun::kActive &&
                            !response.finished_complete && MayHaveResult(key));
  }
  for (const RunKey& key : ended) {
    worker->RemoveRun(key);
    LogEvent(
        kRunEnded,
        {{"task", key.first.ToString()},
         {"run", key.second},
         {"worker", worker->registration().id},
         {"end", std::string_view(complete ? "not_listed" : "unreadable")}});
    AvoidWorker(key.first, *worker);
    RecordEnd(key);
    Requeue(key.first, key.second, now);
  }
  if (complete) {
    return;
  }
  if (!ended.empty()) {
    RecordFailure(worker, "its lists cannot be read", now);
  }
  worker->next_renewal = now + kUnreadableListPause;
  worker->lease_withheld = unresolved > 0;
  // The acknowledgement of a later end would make the worker forget one that
  // may be `done`, and that end would count.
  if (!may_hide_result) {
    worker->acknowledgement_limit.reset();
  } else if (!worker->acknowledgement_limit) {
    worker->acknowledgement_limit = worker->acknowledged_through;
  }
  if (worker->lease_withheld && !was_withheld) {
    LogEvent(kLeaseWithheld, {{"worker", worker->registration().id},
                              {"unresolved_runs", unresolved},
                              {"runs", worker->runs().size()},
                              {"running_readable", response.running_complete},
                              {"ends_readable", response.finished_complete}});
  }
}

}  // namespace bramleyrail
