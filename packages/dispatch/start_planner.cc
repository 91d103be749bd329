#include "packages/dispatch/start_planner.h"

#include <algorithm>
#include <optional>

#include "packages/dispatch/dispatch_events.h"
#include "packages/dispatch/room_search.h"

namespace bramleyrail {

namespace {

// A step that waits this long gets plans. Small tasks take each part of the
// room that a larger one needs as soon as it is free, so it could wait for as
// long as they come.
constexpr Milliseconds kPlanningWait{500};
// One end makes room for tasks that are no larger than the others: they get it
// by their urgency, without a plan. A step that waits this long has lost such
// room to others.
constexpr Milliseconds kUrgencyWait{1'000};
// At most one worker of a pool in this many has a plan for a single
// long-running task, and at most one in twice as many for another task; always
// one. The workers of a gang come on top.
constexpr size_t kWorkersPerPlan = 10;
// After this time another worker may suit better: the runs on this one may not
// end soon.
constexpr Milliseconds kMaximumPlan{5'000};
// A single start that is expected this much later than planned may come sooner
// on another worker.
constexpr Milliseconds kMaximumDelay{1'000};
// Tasks that start before a long-running one end within this time of the plan.
// A long-running task may not stand for 3 s, and has waited before.
constexpr Milliseconds kLongRunningBackfill{1'000};

int64_t CountMilliseconds(MonotonicTime::duration duration) {
  return std::chrono::floor<Milliseconds>(duration).count();
}

// Whether the worker gets no new runs for a short time only, in which the room
// that is collected there would be lost.
bool IsPaused(const TrackedWorker& worker, MonotonicTime now) {
  return (worker.failed_renewals == 1 || now < worker.avoid_until ||
          now < worker.isolated_until) &&
         !worker.deregistered && !worker.registration().draining;
}

// Whether the pass may start tasks on the worker; true for a pool that it has
// not tried.
bool IsEligible(const TrackedWorker& worker,
                const std::string& pool_name,
                const PlacementPass& pass) {
  const auto pool = pass.eligible.find(pool_name);
  if (pool == pass.eligible.end()) {
    return true;
  }
  const std::vector<TrackedWorker*>& eligible = pool->second.workers;
  return std::find(eligible.begin(), eligible.end(), &worker) != eligible.end();
}

// Runs that outlast their estimates leave no more time to other tasks, so that
// these can't put off the start again and again.
void MoveStart(MonotonicTime start, PlannedStart* plan) {
  plan->start = start;
  plan->room_kept_from = std::min(start, plan->first_start);
  if (plan->long_running) {
    plan->room_kept_from = std::min<MonotonicTime>(
        plan->room_kept_from, plan->planned + kLongRunningBackfill);
  }
}

}  // namespace

std::string_view StartPlanner::EndName(End end) {
  switch (end) {
    case End::kNone:
      return "none";
    case End::kStarted:
      return "started";
    case End::kNotNeeded:
      return "not_needed";
    case End::kReplaced:
      return "replaced";
    case End::kExpired:
      return "expired";
    case End::kWorkerLost:
      return "worker_lost";
    case End::kNoRoom:
      return "no_room";
    case End::kLate:
      return "late";
  }
  return "";
}

void StartPlanner::Update(const View& view) {
  EndPlans(view);
  RoomSearch search(view.pass.now);
  // Long-running tasks first: they break a rule when they stand still.
  for (const bool long_running : {true, false}) {
    for (const auto& [key, job] : view.waiting) {
      const TaskName first{key.job, key.occurrence, key.step, 0};
      if (job->step(first).long_running == long_running) {
        PlanForStep(first, job, view, &search);
      }
    }
  }
  counters_->plan_visits += search.visits();
}

void StartPlanner::RecordStart(const TaskName& task,
                               bool long_running,
                               TrackedWorker* worker,
                               MonotonicTime now) {
  if (!worker->planned_start) {
    return;
  }
  TaskName first = task;
  first.index = 0;
  if (worker->planned_start->step == first) {
    EndPlan(worker, End::kStarted, now);
  } else if (!long_running) {
    ++worker->planned_start->backfilled;
    ++counters_->backfilled_starts;
  }
}

EligibleWorkers StartPlanner::FindPlannedWorkers(
    const TaskName& task,
    const EligibleWorkers& eligible) const {
  TaskName first = task;
  first.index = 0;
  EligibleWorkers planned{.ineligible = eligible.ineligible};
  if (CountPlans(first) == 0) {
    return planned;
  }
  for (TrackedWorker* worker : eligible.workers) {
    if (worker->planned_start && worker->planned_start->step == first) {
      planned.workers.push_back(worker);
    }
  }
  return planned;
}

size_t StartPlanner::CountPlans(const TaskName& first) const {
  const auto found = plans_.find(first);
  return found == plans_.end() ? 0 : found->second;
}

void StartPlanner::EndPlan(TrackedWorker* worker, End end, MonotonicTime now) {
  const PlannedStart& plan = *worker->planned_start;
  LogEvent(kStartPlanEnded,
           {{"task", plan.step.ToString()},
            {"worker", worker->registration().id},
            {"end", EndName(end)},
            {"planned_ms", CountMilliseconds(now - plan.planned)},
            {"late_ms", CountMilliseconds(now - plan.first_start)},
            {"backfilled", plan.backfilled}});
  if (end == End::kStarted) {
    ++counters_->plans_kept;
  } else if (end != End::kNotNeeded) {
    ++counters_->plans_failed;
  }
  const auto counted = plans_.find(plan.step);
  if (counted != plans_.end() && --counted->second == 0) {
    plans_.erase(counted);
  }
  worker->planned_start.reset();
}

void StartPlanner::EndPlans(const View& view) {
  // The last plans of a gang may have ended with its start.
  planned_gangs_.clear();
  if (plans_.empty()) {
    return;
  }
  const std::map<TaskName, End> gangs = FindEndsOfGangs(view);
  plans_.clear();
  for (const auto& [id, worker] : view.workers) {
    if (!worker->planned_start) {
      continue;
    }
    // Counted before it ends, because EndPlan() takes it out of the count.
    const TaskName first = worker->planned_start->step;
    const auto gang = gangs.find(first);
    const End end =
        gang == gangs.end() ? FindEnd(worker.get(), view) : gang->second;
    ++plans_[first];
    if (end != End::kNone) {
      EndPlan(worker.get(), end, view.pass.now);
    }
  }
}

StartPlanner::End StartPlanner::FindEnd(TrackedWorker* worker,
                                        const View& view) const {
  const PlacementPass& pass = view.pass;
  PlannedStart& plan = *worker->planned_start;
  const TaskName& first = plan.step;
  TrackedJob* job = view.find_job(first.job);
  if (job == nullptr || !job->HasTask(first) ||
      job->step_record(first).ready_tasks.size() <= CountPlans(first) ||
      WorkerSelector::IsAtTaskLimit(*worker, job->step(first), first) ||
      view.is_held(*job, first)) {
    return End::kNotNeeded;
  }
  if (pass.now - plan.planned >= kMaximumPlan) {
    return End::kExpired;
  }
  const auto room = StartForecast().FindRoom(*worker, plan.size, pass.now);
  if (!room) {
    return End::kNoRoom;
  }
  // The step waits for something else. A pass that is over has not tried all
  // steps.
  if (!pass.IsOver() &&
      WorkerSelector::HasCapacityFor(*worker, job->step(first))) {
    return End::kNotNeeded;
  }
  if (!IsPaused(*worker, pass.now) &&
      !IsEligible(*worker, job->job().pool, pass)) {
    return End::kWorkerLost;
  }
  if (room->time - plan.first_start >= kMaximumDelay) {
    return End::kLate;
  }
  MoveStart(room->time, &plan);
  return End::kNone;
}

std::map<TaskName, StartPlanner::End> StartPlanner::FindEndsOfGangs(
    const View& view) {
  std::map<TaskName, std::vector<TrackedWorker*>> gangs;
  std::map<TaskName, End> ends;
  for (const auto& [id, worker] : view.workers) {
    if (!worker->planned_start) {
      continue;
    }
    const TaskName& first = worker->planned_start->step;
    TrackedJob* job = view.find_job(first.job);
    if (job != nullptr && job->step(first).gang) {
      gangs[first].push_back(worker.get());
    }
  }
  for (const auto& [first, workers] : gangs) {
    const End end = FindEndOfGang(first, workers, view);
    ends.emplace(first, end);
    if (end == End::kNone) {
      TrackedJob* job = view.find_job(first.job);
      planned_gangs_.emplace(
          PoolKey(job->job().pool, job->step(first).long_running), first);
    }
  }
  return ends;
}

StartPlanner::End StartPlanner::FindEndOfGang(
    const TaskName& first,
    const std::vector<TrackedWorker*>& workers,
    const View& view) {
  const MonotonicTime now = view.pass.now;
  TrackedJob* job = view.find_job(first.job);
  if (!job->AreAllTasksReady(first) || view.is_held(*job, first)) {
    return End::kNotNeeded;
  }
  const JobStep& step = job->step(first);
  StartForecast forecast;
  MonotonicTime start = now;
  int64_t fitting_now = 0;
  int64_t fitting = 0;
  for (const TrackedWorker* worker : workers) {
    if (now - worker->planned_start->planned >= kMaximumPlan) {
      return End::kExpired;
    }
    fitting += CountMembers(HeldForLong(*worker), *worker, step, first);
    if (const auto room =
            forecast.FindRoom(*worker, worker->planned_start->size, now)) {
      start = std::max(start, room->time);
    }
    if (IsPaused(*worker, now)) {
      continue;
    }
    if (!IsEligible(*worker, job->job().pool, view.pass)) {
      return End::kWorkerLost;
    }
    fitting_now += CountMembers(worker->reserved(), *worker, step, first);
  }
  // Fewer fit, too, when one of the workers has been removed.
  if (fitting < step.tasks) {
    return End::kNoRoom;
  }
  // A gang that has room waits for something else. A pass that is over has not
  // tried all steps.
  if (!view.pass.IsOver() && fitting_now >= step.tasks) {
    return End::kNotNeeded;
  }
  for (TrackedWorker* worker : workers) {
    MoveStart(start, &*worker->planned_start);
  }
  return End::kNone;
}

void StartPlanner::PlanForStep(const TaskName& first,
                               TrackedJob* job,
                               const View& view,
                               RoomSearch* search) {
  const MonotonicTime now = view.pass.now;
  const JobStep& step = job->step(first);
  const TrackedStep& record = job->step_record(first);
  const auto pool = view.pass.eligible.find(job->job().pool);
  if (pool == view.pass.eligible.end() ||
      record.WaitTime(now) < kPlanningWait || view.is_held(*job, first)) {
    return;
  }
  // A best-effort task needs no processors of its own, and a late job gives way
  // to those that can still end in time.
  if (!step.long_running && (!plans_ending_steps_ || step.best_effort ||
                             record.lateness != Lateness::kOnTime)) {
    return;
  }
  const auto gang = planned_gangs_.find({pool->first, step.long_running});
  const bool has_gang = gang != planned_gangs_.end();
  if (step.gang) {
    if (!has_gang) {
      PlanForGang(first, job, pool->second, view, search);
    }
    return;
  }
  if (CountPlans(first) >= record.ready_tasks.size()) {
    return;
  }
  size_t& in_pool = search->CountPlanned(
      pool->second, step.long_running,
      has_gang ? std::optional(gang->second) : std::nullopt);
  const size_t workers_per_plan = kWorkersPerPlan * (step.long_running ? 1 : 2);
  if (in_pool >=
      std::max<size_t>(1, pool->second.workers.size() / workers_per_plan)) {
    return;
  }
  const auto found = search->FindWorker(pool->second, step, first);
  if (!found || (!step.long_running && found->ends < 2 &&
                 record.WaitTime(now) < kUrgencyWait)) {
    return;
  }
  Plan(found->worker, first, job, HeldBy(step), found->start, now);
  ++in_pool;
}

void StartPlanner::PlanForGang(const TaskName& first,
                               TrackedJob* job,
                               const EligibleWorkers& pool,
                               const View& view,
                               RoomSearch* search) {
  if (!job->AreAllTasksReady(first)) {
    return;
  }
  // All workers at once, so that no two gangs wait for each other's.
  const JobStep& step = job->step(first);
  const std::vector<RoomSearch::Candidate> found =
      search->FindWorkersForGang(pool, step, first);
  MonotonicTime start = view.pass.now;
  for (const RoomSearch::Candidate& candidate : found) {
    start = std::max(start, candidate.start);
  }
  for (const RoomSearch::Candidate& candidate : found) {
    ResourceAmounts size;
    for (int64_t member = 0; member < candidate.members; ++member) {
      size += HeldBy(step);
    }
    Plan(candidate.worker, first, job, size, start, view.pass.now);
  }
  if (!found.empty()) {
    planned_gangs_.emplace(PoolKey(job->job().pool, step.long_running), first);
  }
}

void StartPlanner::Plan(TrackedWorker* worker,
                        const TaskName& first,
                        TrackedJob* job,
                        const ResourceAmounts& size,
                        MonotonicTime start,
                        MonotonicTime now) {
  if (worker->planned_start) {
    EndPlan(worker, End::kReplaced, now);
  }
  const TrackedStep& record = job->step_record(first);
  worker->planned_start =
      PlannedStart{.step = first,
                   .priority = job->job().priority,
                   .long_running = job->step(first).long_running,
                   .size = size,
                   .planned = now,
                   .first_start = start};
  MoveStart(start, &*worker->planned_start);
  ++plans_[first];
  ++counters_->starts_planned;
  LogEvent(kStartPlanned, {{"task", first.ToString()},
                           {"worker", worker->registration().id},
                           {"waited_ms", record.WaitTime(now).count()},
                           {"ready_tasks", record.ready_tasks.size()},
                           {"starts_in_ms", CountMilliseconds(start - now)}});
}

}  // namespace bramleyrail
