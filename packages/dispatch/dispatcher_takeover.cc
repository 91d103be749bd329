// Runs of earlier leaders, and the records from which a later leader learns of
// the runs of this one.

#include <algorithm>
#include <utility>

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

}  // namespace

MonotonicTime Dispatcher::EndOfEarlierLeases() const {
  return takeover_time_ + longest_earlier_lease_ * 51 / 50 + kTakeoverMargin;
}

MonotonicTime Dispatcher::EndOfInheritedLeases(MonotonicTime now,
                                               Milliseconds maximum_lease) {
  return now + maximum_lease * 51 / 50 + kInheritedLeaseMargin;
}

bool Dispatcher::AllWorkersContacted(MonotonicTime now) {
  if (all_workers_contacted_) {
    return true;
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
  if (!resolved && waited >= kHeldRunsReport) {
    ReportHeldRuns(now);
  }
  if (all_workers_contacted_) {
    LogEvent(kAllWorkersContacted, {{"leadership", leader_epoch_},
                                    {"unheard", not_contacted},
                                    {"waited_ms", waited.count()}});
  }
  return all_workers_contacted_;
}

void Dispatcher::ReportHeldRuns(MonotonicTime now) {
  if (std::exchange(held_runs_reported_, true)) {
    return;
  }
  for (const auto& [id, worker] : workers_) {
    if (worker->earlier_runs_resolved() || worker->runs().empty()) {
      continue;
    }
    const MonotonicTime until =
        std::max(worker->LeaseDeadline().value_or(EndOfEarlierLeases()),
                 EndOfEarlierLeases());
    LogEvent(kEarlierRunsHeld,
             {{"worker", id},
              {"runs", worker->runs().size()},
              {"task", worker->runs().begin()->first.first.ToString()},
              {"lease_left_ms",
               std::chrono::ceil<Milliseconds>(until - now).count()}});
  }
}

void Dispatcher::TrackRecordedRuns(const RecordedRuns::JobRuns& recorded,
                                   TrackedJob* job) {
  for (const auto& [key, run] : recorded) {
    const auto& [occurrence, step, index] = key;
    TrackRecordedRun({job->shared_id(), occurrence, step, index}, run, job);
  }
}

void Dispatcher::TrackRecordedRun(const TaskName& task,
                                  const RecordedRuns::Run& recorded,
                                  TrackedJob* job) {
  const auto found = workers_.find(recorded.worker.id);
  TrackedTask& tracked_task = job->task(task);
  // A worker that has left the registry has ended, and its runs with it.
  if (found == workers_.end() || tracked_task.phase == TaskPhase::kDone) {
    return;
  }
  TrackedWorker* worker = found->second.get();
  if (worker->registration().started_unix_ms !=
      recorded.worker.started_unix_ms) {
    worker->AssumeLease(
        EndOfInheritedLeases(takeover_time_, options_.maximum_lease));
  }
  job->workers.insert(recorded.worker.id);
  job->occurrences()[task.occurrence].started = true;
  tracked_task.phase = TaskPhase::kActive;
  tracked_task.worker = recorded.worker.id;
  tracked_task.last_run = recorded.number;
  const JobStep& step = job->step(task);
  TrackedRun run;
  run.from_earlier_leader = true;
  run.job = job->shared_job();
  run.step = &step;
  run.reserved = step.size;
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
  auto& runs = unrecorded_runs_[batch.number];
  for (const RunPlacement& placement : std::exchange(placements_, {})) {
    if (placement.worker) {
      runs.emplace_back(placement.worker->id,
                        RunKey(placement.task, placement.run));
    }
  }
  return batch;
}

std::vector<WorkerOrder> Dispatcher::MarkPlacementsDurable(uint64_t batch,
                                                           MonotonicTime now) {
  const auto found = unrecorded_runs_.find(batch);
  if (found == unrecorded_runs_.end() || superseded_) {
    return {};
  }
  const auto runs = std::move(found->second);
  unrecorded_runs_.erase(found);
  for (const auto& [worker_id, key] : runs) {
    const auto worker = workers_.find(worker_id);
    if (worker != workers_.end()) {
      SendRecordedStart(worker->second.get(), key, now);
    }
  }
  return std::exchange(orders_, {});
}

void Dispatcher::SendRecordedStart(TrackedWorker* worker,
                                   const RunKey& key,
                                   MonotonicTime now) {
  TrackedRun* run = worker->FindRun(key);
  // The job or the worker may have ended meanwhile.
  if (run == nullptr || run->phase != RunPhase::kStarting ||
      run->orders_sent > 0) {
    return;
  }
  // The record took long. A later incarnation might execute the order.
  if (worker->failed_renewals > 0 || worker->deregistered ||
      worker->registration().draining) {
    worker->RemoveRun(key);
    placements_.push_back({key.first, key.second, std::nullopt});
    Requeue(key.first, key.second, now);
    return;
  }
  SendStart(worker, key, run, now);
}

}  // namespace bramleyrail
