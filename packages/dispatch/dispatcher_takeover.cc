// Runs of earlier leaders, and the records from which a later leader learns of
// the runs of this one.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

// Added to the longest lease of the earlier leaders, whose end is computed for
// clocks that are 2% slow. Covers a worker that was paused and stops its runs
// only after it resumes.
constexpr Milliseconds kTakeoverMargin{600};
// Added to the maximum lease of a worker that was restarted. Covers orders to
// the earlier incarnation that are on their way.
constexpr Milliseconds kInheritedLeaseMargin{1'600};
// Workers that have not responded this long after the takeover are logged.
constexpr Milliseconds kHeldRunsReport{1'000};
// Bounds the length of a log line.
constexpr size_t kMaximumLoggedTasks = 50;

std::string NamesOfTasks(const std::map<RunKey, TrackedRun>& runs) {
  std::string names;
  size_t count = 0;
  for (const auto& [key, run] : runs) {
    if (++count > kMaximumLoggedTasks) {
      break;
    }
    absl::StrAppend(&names, names.empty() ? "" : ",", key.first.ToString());
  }
  return names;
}

}  // namespace

MonotonicTime Dispatcher::EndOfEarlierLeases() const {
  return takeover_time_ + longest_earlier_lease_ * 51 / 50 + kTakeoverMargin;
}

MonotonicTime Dispatcher::EndOfInheritedLeases(MonotonicTime now,
                                               Milliseconds maximum_lease) {
  return now + maximum_lease * 51 / 50 + kInheritedLeaseMargin;
}

MonotonicTime Dispatcher::EndOfEarlierLease(bool restarted,
                                            MonotonicTime now) const {
  return restarted ? EndOfInheritedLeases(now, options_.maximum_lease)
                   : EndOfEarlierLeases();
}

void Dispatcher::TrackWithdrawnWorkers(const QueueState& state,
                                       MonotonicTime now) {
  for (const auto& [id, withdrawn] : state.withdrawn_workers()) {
    if (workers_.contains(id)) {
      continue;  // A later incarnation has registered.
    }
    auto worker = std::make_unique<TrackedWorker>(withdrawn.registration);
    worker->last_response = now;
    worker->in_other_region =
        selector_.IsInOtherRegion(withdrawn.registration.failure_domain);
    worker->AssumeLease(EndOfEarlierLease(withdrawn.restarted, now));
    worker->deregistered = true;
    worker->deregistered_since = now;
    workers_[id] = std::move(worker);
  }
}

std::vector<WorkerIncarnation> Dispatcher::EndedWithdrawals(
    const QueueState& state) const {
  std::vector<WorkerIncarnation> ended;
  // The sweep erases a withdrawn worker once it runs nothing.
  for (const auto& [id, withdrawn] : state.withdrawn_workers()) {
    if (!workers_.contains(id)) {
      ended.push_back({id, withdrawn.registration.started_unix_ms});
    }
  }
  return ended;
}

void Dispatcher::RestoreSuspicions(const QueueState& state, MonotonicTime now) {
  for (const auto& [id, suspected] : state.suspected_runs()) {
    const auto found = workers_.find(id);
    if (found == workers_.end()) {
      continue;
    }
    TrackedWorker* worker = found->second.get();
    const bool is_back = worker->registration().started_unix_ms !=
                         suspected.worker.started_unix_ms;
    worker->crash_suspected = !is_back;
    for (const FinishedRun& run : suspected.runs) {
      const PossibleCrash possible{run, /*is_recent=*/true, /*has_begun=*/true};
      if (is_back) {
        CountCrash(*worker, possible, "a later incarnation registered");
      } else {
        Suspect(possible, worker, now);
        worker->possible_crashes.push_back(possible);
      }
    }
  }
}

std::vector<SuspectedRuns> Dispatcher::SuspicionChanges(
    const QueueState& state) const {
  std::set<std::string> ids = suspected_workers_;
  for (const auto& [id, recorded] : state.suspected_runs()) {
    ids.insert(id);
  }
  std::vector<SuspectedRuns> changes;
  for (const std::string& id : ids) {
    SuspectedRuns suspected{.worker = {.id = id}};
    if (const auto found = workers_.find(id); found != workers_.end()) {
      suspected.worker.started_unix_ms =
          found->second->registration().started_unix_ms;
      for (const PossibleCrash& possible : found->second->suspected_runs) {
        if (possible.has_begun) {
          suspected.runs.push_back(possible.run);
        }
      }
    }
    const auto recorded = state.suspected_runs().find(id);
    const bool is_recorded = recorded != state.suspected_runs().end();
    const bool changed =
        suspected.runs.empty()
            ? is_recorded
            : !is_recorded || recorded->second.worker != suspected.worker ||
                  recorded->second.runs.size() != suspected.runs.size();
    if (changed) {
      changes.push_back(std::move(suspected));
    }
  }
  return changes;
}

void Dispatcher::CheckEarlierRuns(MonotonicTime now) {
  if (all_workers_contacted_) {
    return;
  }
  int64_t not_contacted = 0;
  bool resolved = true;
  for (const auto& [id, worker] : workers_) {
    not_contacted += worker->contacted ? 0 : 1;
    resolved = resolved && worker->earlier_runs_resolved();
  }
  const Milliseconds waited =
      std::chrono::floor<Milliseconds>(now - takeover_time_);
  all_workers_contacted_ = resolved;
  accounts_.UpdateEarlierRuns(workers_, resolved);
  if (!resolved && waited >= kHeldRunsReport) {
    ReportHeldRuns(now);
  }
  if (all_workers_contacted_) {
    LogEvent(kAllWorkersContacted, {{"leadership", leader_epoch_},
                                    {"unheard", not_contacted},
                                    {"waited_ms", waited.count()}});
  }
}

void Dispatcher::ReportHeldRuns(MonotonicTime now) {
  if (std::exchange(held_runs_reported_, true)) {
    return;
  }
  for (const auto& [id, worker] : workers_) {
    if (worker->earlier_runs_resolved()) {
      continue;
    }
    const MonotonicTime until =
        std::max(worker->LeaseDeadline().value_or(EndOfEarlierLeases()),
                 EndOfEarlierLeases());
    LogEvent(kEarlierRunsHeld,
             {{"worker", id},
              {"runs", worker->runs().size()},
              {"tasks", NamesOfTasks(worker->runs())},
              {"lease_left_ms",
               std::chrono::ceil<Milliseconds>(until - now).count()}});
  }
}

void Dispatcher::TrackRecordedRuns(const QueueState& state, TrackedJob* job) {
  for (const auto& [key, run] :
       state.recorded_runs().OfJob(job->shared_id().View())) {
    const auto& [occurrence, step, index] = key;
    TrackRecordedRun(state, {job->shared_id(), occurrence, step, index}, run,
                     job);
  }
}

void Dispatcher::TrackRecordedRun(const QueueState& state,
                                  const TaskName& task,
                                  const RecordedRuns::Run& recorded,
                                  TrackedJob* job) {
  TrackedTask& tracked_task = job->task(task);
  const auto found = workers_.find(recorded.worker.id);
  const bool incarnation_followed =
      found != workers_.end() &&
      found->second->registration().started_unix_ms <=
          recorded.worker.started_unix_ms;
  // A drained worker that has left runs nothing once it is not followed as
  // withdrawn any more.
  if (tracked_task.phase == TaskPhase::kDone ||
      (state.HasDeparted(recorded.worker) && !incarnation_followed)) {
    return;
  }
  tracked_task.last_run = recorded.number;
  if (found == workers_.end()) {
    // A delayed withdrawal of an earlier incarnation may have removed it.
    tracked_task.not_before = EndOfEarlierLeases();
    accounts_.ChargeUntil(tracked_task.not_before, job->account,
                          job->step(task));
    return;
  }
  TrackedWorker* worker = found->second.get();
  job->workers.insert(recorded.worker.id);
  job->occurrence(task.occurrence).started = true;
  tracked_task.phase = TaskPhase::kActive;
  tracked_task.worker = recorded.worker.id;
  const JobStep& step = job->step(task);
  TrackedRun run;
  run.from_earlier_leader = true;
  run.job = job->shared_job();
  run.step = &step;
  run.reserved = step.size;
  run.charge = accounts_.Charge(job->account, step);
  run.started = takeover_time_;
  run.progress_changed = takeover_time_;
  run.last_order_sent = takeover_time_;
  run.order_in_flight = true;
  worker->AddRun({task, recorded.number}, std::move(run));
}

Dispatcher::PlacementBatch Dispatcher::TakePlacements() {
  PlacementBatch batch;
  if (placements_.empty()) {
    return batch;
  }
  batch.number = ++last_placement_batch_;
  batch.command = {leader_epoch_, MakePlacementList(placements_)};
  UnsentStarts& unsent = unsent_starts_[batch.number];
  unsent.last_finished_batch = last_batch_;
  for (const RunPlacement& placement : std::exchange(placements_, {})) {
    if (placement.worker) {
      unsent.runs.emplace_back(placement.worker->id,
                               RunKey(placement.task, placement.run));
    }
  }
  return batch;
}

std::vector<WorkerOrder> Dispatcher::MarkPlacementsDurable(uint64_t batch,
                                                           MonotonicTime now) {
  const auto found = unsent_starts_.find(batch);
  if (found == unsent_starts_.end() || superseded_) {
    return {};
  }
  found->second.durable = true;
  SendRecordedStarts(now);
  return std::exchange(orders_, {});
}

void Dispatcher::SendRecordedStarts(MonotonicTime now) {
  for (auto position = unsent_starts_.begin();
       position != unsent_starts_.end();) {
    const UnsentStarts& unsent = position->second;
    // A later leader must not see a run without the end of the one before it,
    // or of a task on which its own depends.
    const bool ends_durable =
        unconfirmed_batches_.empty() ||
        unconfirmed_batches_.begin()->first > unsent.last_finished_batch;
    if (!unsent.durable || !ends_durable) {
      ++position;
      continue;
    }
    SendStartsOfBatch(unsent.runs, now);
    position = unsent_starts_.erase(position);
  }
}

void Dispatcher::SendStartsOfBatch(
    const std::vector<std::pair<std::string, RunKey>>& runs,
    MonotonicTime now) {
  // Members of a gang that start alone would wait for the others.
  const auto gang_of = [](const RunKey& key) {
    TaskName gang = key.first;
    gang.index = 0;
    return gang;
  };
  std::set<TaskName> incomplete_gangs;
  for (const auto& [worker, key] : runs) {
    TrackedJob* job = FindJob(key.first.job);
    if (job != nullptr && job->step(key.first).gang &&
        !MayOrderStart(worker, key)) {
      incomplete_gangs.insert(gang_of(key));
    }
  }
  for (const auto& [worker_id, key] : runs) {
    const auto worker = workers_.find(worker_id);
    TrackedRun* run =
        worker == workers_.end() ? nullptr : worker->second->FindRun(key);
    // The job or the worker may have ended meanwhile.
    if (run == nullptr || run->phase != RunPhase::kStarting ||
        run->orders_sent > 0) {
      continue;
    }
    if (!MayOrderStart(worker_id, key) ||
        incomplete_gangs.contains(gang_of(key))) {
      worker->second->RemoveRun(key);
      RecordEnd(key);
      Requeue(key.first, key.second, now);
      continue;
    }
    SendStart(worker->second.get(), key, run, now);
  }
}

bool Dispatcher::MayOrderStart(const std::string& worker_id,
                               const RunKey& key) const {
  const auto found = workers_.find(worker_id);
  if (found == workers_.end() || !found->second->runs().contains(key)) {
    return false;
  }
  const TrackedWorker& worker = *found->second;
  // After a failed renewal, a later incarnation might execute the order.
  return worker.failed_renewals == 0 && !worker.has_unresolved_lists() &&
         !worker.deregistered && !worker.registration().draining;
}

void Dispatcher::RecordEnd(const RunKey& key) {
  const TrackedJob* job = FindJob(key.first.job);
  if (job != nullptr && job->HasTask(key.first) &&
      job->step(key.first).long_running) {
    placements_.push_back({key.first, key.second, std::nullopt});
  }
}

}  // namespace bramleyrail
