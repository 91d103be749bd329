// Contact with workers: looks, repeated orders, lost workers.

#include <algorithm>
#include <utility>

#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

// An order without an answer is sent again after this, and a start this often
// before it is withdrawn.
constexpr Milliseconds kOrderRepeat{100};
constexpr Milliseconds kStopRepeat{500};
constexpr int kStartAttempts = 3;
// Pause between looks at a worker that does not answer.
constexpr Milliseconds kFailedLookPause{200};
// A worker that did not answer for this long takes no repeated orders.
constexpr Milliseconds kContactLimit{2'500};
// Longest wait of a look while a run with a target is over it.
constexpr Milliseconds kOverTargetWait{300};
// Failures in a row after which a worker gets no new runs for a while.
constexpr int kFailuresBeforeAvoided = 3;
constexpr Milliseconds kAvoidedFor{8'000};

}  // namespace

void Dispatcher::StepWorker(WorkerTrack* worker, MonotonicTime now) {
  if (RunsSurelyEnded(*worker, now) && !worker->runs().empty()) {
    LoseRuns(worker, "the lease has ended without contact", now);
  }
  if (!worker->look_in_flight && !worker->recording &&
      now >= worker->next_look) {
    Look(worker, now);
  }
  RepeatOrders(worker, now);
  if (worker->registration().draining && !worker->leaving) {
    MoveOffLeavingWorker(worker, now);
  }
}

bool Dispatcher::RunsSurelyEnded(const WorkerTrack& worker,
                                 MonotonicTime now) const {
  const auto ended = worker.LeaseSurelyEnded();
  // Without a grant of this leader only one of an earlier leader can be in
  // force.
  return ended ? now > *ended
               : now - begun_ >
                     options_.maximum_lease * 51 / 50 + Milliseconds(600);
}

void Dispatcher::Look(WorkerTrack* worker, MonotonicTime now) {
  LookOrder order;
  // A worker that does not answer gets no longer lease, so that its end can be
  // waited for.
  if (worker->failed_looks == 0 && !worker->leaving) {
    order.lease_until_ms = worker->GrantLease(options_.lease, now);
  }
  order.ends_recorded = worker->ends_recorded;
  if (worker->heard && worker->failed_looks == 0) {
    order.wait =
        HasRunOverTarget(*worker) ? kOverTargetWait : options_.look_wait;
  }
  worker->look_in_flight = true;
  ++counters_.looks;
  orders_.push_back({worker->Address(), order});
}

void Dispatcher::RepeatOrders(WorkerTrack* worker, MonotonicTime now) {
  if (now - worker->last_answer > kContactLimit) {
    return;
  }
  for (auto& [key, run] : worker->runs()) {
    if (run.order_in_flight || now - run.order_sent < kOrderRepeat) {
      continue;
    }
    if (run.phase == RunPhase::kStarting && run.orders_sent < kStartAttempts) {
      SendStart(worker, key, &run, now);
    } else if (run.phase == RunPhase::kStarting) {
      SendStop(worker, key, &run, "the start was not answered", now);
    } else if (run.phase == RunPhase::kStopping &&
               now - run.order_sent >= kStopRepeat) {
      SendStop(worker, key, &run, "", now);
    }
  }
}

void Dispatcher::MoveOffLeavingWorker(WorkerTrack* worker, MonotonicTime now) {
  for (auto& [key, run] : worker->runs()) {
    const bool movable = run.step != nullptr &&
                         (run.step->long_running || run.step->checkpointing) &&
                         !run.step->gang && run.phase == RunPhase::kRunning;
    if (movable) {
      SendStop(worker, key, &run, "the worker is draining", now);
    }
  }
}

void Dispatcher::LoseRuns(WorkerTrack* worker,
                          std::string_view reason,
                          MonotonicTime now) {
  if (worker->runs().empty()) {
    return;
  }
  LogEvent(
      kRunsLost,
      {{"worker", worker->registration().id},
       {"runs", worker->runs().size()},
       {"reason", reason},
       {"silent_ms",
        std::chrono::floor<Milliseconds>(now - worker->last_answer).count()}});
  std::vector<RunKey> keys;
  for (const auto& [key, run] : worker->runs()) {
    keys.push_back(key);
  }
  counters_.runs_lost += keys.size();
  for (const RunKey& key : keys) {
    worker->RemoveRun(key);
    Requeue(key.first, key.second, now);
  }
}

void Dispatcher::Requeue(const TaskName& task,
                         uint64_t run,
                         MonotonicTime not_before) {
  JobTrack* job = FindJob(task.job);
  if (job == nullptr || !job->Names(task)) {
    return;
  }
  TaskTrack& track = job->task(task);
  if (track.phase != TaskPhase::kActive || track.last_run != run) {
    return;
  }
  track.not_before = not_before;
  QueueReady(*job, job->MarkReady(task));
}

void Dispatcher::NoteFailure(WorkerTrack* worker,
                             std::string_view why,
                             MonotonicTime now) {
  ++worker->consecutive_failures;
  if (worker->consecutive_failures < kFailuresBeforeAvoided ||
      now < worker->avoid_until) {
    return;
  }
  worker->avoid_until = now + kAvoidedFor;
  LogEvent(kWorkerAvoided, {{"worker", worker->registration().id},
                            {"failures", worker->consecutive_failures},
                            {"reason", why},
                            {"for_ms", kAvoidedFor.count()}});
}

void Dispatcher::ObserveClock(const std::string& worker,
                              int64_t started_unix_ms,
                              int64_t clock_ms,
                              MonotonicTime now) {
  if (WorkerTrack* track = FindWorker({worker, started_unix_ms, ""})) {
    track->ObserveClock(clock_ms, now);
  }
}

Dispatcher::EndBatch Dispatcher::TakeEnds() {
  EndBatch batch;
  if (ends_seen_.empty()) {
    return batch;
  }
  batch.number = ++last_batch_;
  batch.ends = std::exchange(ends_, {});
  batches_[batch.number] = std::exchange(ends_seen_, {});
  return batch;
}

void Dispatcher::EndsRecorded(uint64_t batch) {
  const auto found = batches_.find(batch);
  if (found == batches_.end()) {
    return;
  }
  for (const auto& [id, number] : found->second) {
    const auto worker = workers_.find(id);
    if (worker != workers_.end() && worker->second->ends_seen == number) {
      worker->second->ends_recorded = number;
      worker->second->recording = false;
    }
  }
  batches_.erase(found);
}

void Dispatcher::HandleLookAnswer(const WorkerAddress& address,
                                  OrderOutcome outcome,
                                  const LookAnswer& answer,
                                  MonotonicTime sent,
                                  MonotonicTime now) {
  WorkerTrack* worker = FindWorker(address);
  if (worker == nullptr) {
    return;
  }
  worker->look_in_flight = false;
  if (outcome == OrderOutcome::kFenced) {
    deposed_ = true;
    return;
  }
  if (outcome != OrderOutcome::kAccepted) {
    ++worker->failed_looks;
    worker->next_look = now + kFailedLookPause;
    if (outcome == OrderOutcome::kOtherLife ||
        (outcome == OrderOutcome::kNobodyListens && worker->leaving)) {
      LoseRuns(worker, "this life of the worker has ended", now);
      worker->heard = true;
      worker->avoid_until = now + kAvoidedFor;
    }
    if (worker->failed_looks == 1) {
      LogEvent(kWorkerUnreachable, {{"worker", address.id},
                                    {"outcome", OrderOutcomeName(outcome)},
                                    {"runs", worker->runs().size()}});
    }
    return;
  }
  if (worker->failed_looks > 0) {
    LogEvent(kWorkerReachable, {{"worker", address.id},
                                {"silent_ms", std::chrono::floor<Milliseconds>(
                                                  now - worker->last_answer)
                                                  .count()}});
    worker->failed_looks = 0;
  }
  worker->last_answer = now;
  worker->next_look = now;
  worker->ObserveClock(answer.clock_ms, now);
  for (const ListedEnd& end : answer.ended) {
    TakeEnd(worker, end, now);
  }
  TakeRunning(worker, answer, sent, now);
  worker->heard = true;
  disturbance_.Observe(*worker, now);
  ProtectTargets(worker, now);
  worker->outlook.reset();
}

void Dispatcher::SendPace(WorkerTrack* worker,
                          const RunKey& key,
                          TrackedRun* run) {
  run->pace_in_flight = true;
  ++counters_.paces;
  orders_.push_back(
      {worker->Address(), PaceOrder{key.first, key.second, run->pace}});
}

void Dispatcher::ProtectTargets(WorkerTrack* worker, MonotonicTime now) {
  for (const PacePolicy::Change& change :
       pace_policy_.Decide(*worker, disturbance_, now)) {
    TrackedRun* run = worker->FindRun(change.run);
    worker->spare_changed = now;
    if (change.percent < run->pace || change.move) {
      worker->pace_lowered = now;
    }
    if (change.move) {
      if (JobTrack* job = FindJob(change.run.first.job)) {
        job->task(change.run.first).avoid_worker = worker->registration().id;
      }
      SendStop(worker, change.run, run, "it disturbs runs with a target", now);
      continue;
    }
    LogEvent(kRunPaced, {{"task", change.run.first.ToString()},
                         {"run", change.run.second},
                         {"worker", worker->registration().id},
                         {"percent", change.percent},
                         {"disturbance", change.disturbance}});
    run->pace = change.percent;
    run->pace_changed = now;
    SendPace(worker, change.run, run);
  }
}

}  // namespace bramleyrail
