#include "packages/placement/pressure_relief.h"

#include <algorithm>
#include <utility>

namespace bramleyrail {

namespace {

// 30% more time is clearly above noise; below 10% a service counts as
// undisturbed. The gap keeps a task from being throttled and released in turn.
constexpr int64_t kSlowPermille = 1300;
constexpr int64_t kCalmPermille = 1100;

// Reports lag by some seconds, so one slow report alone changes nothing, and
// each step gets time to show its effect before the next one.
constexpr Milliseconds kSlowTime{3000};
constexpr Milliseconds kStepTime{10'000};
constexpr Milliseconds kCalmTime{20'000};

// Without measurements for this long there is no pressure to act on.
constexpr Milliseconds kForgetTime{30'000};

bool HasNewCheckpoint(const AttemptEscalation& escalation, const Task& task) {
  return task.checkpoint != escalation.checkpoint_at_step;
}

}  // namespace

PressureRelief::PressureRelief(const Fleet* fleet,
                               OwnerCatalog* owners,
                               const InterferenceModel* interference)
    : fleet_(fleet), owners_(owners), interference_(interference) {}

void PressureRelief::Observe(uint32_t worker,
                             int32_t service_kind,
                             int64_t slowdown_permille,
                             MonotonicTime now) {
  Entry& entry = entries_[worker];
  // The worst of the services that report at the same time counts.
  if (entry.measured == now && entry.slowdown_permille >= slowdown_permille) {
    return;
  }
  entry.measured = now;
  entry.slowdown_permille = slowdown_permille;
  entry.service_kind = service_kind;
}

void PressureRelief::Step(const ClusterState& state,
                          MonotonicTime now,
                          std::vector<DesiredAttempt>* changes) {
  for (auto& [worker, entry] : entries_) {
    StepWorker(state, worker, &entry, now, changes);
  }
  absl::erase_if(entries_, [&](const auto& item) {
    return now - item.second.measured >= kForgetTime && !item.second.escalation;
  });
}

void PressureRelief::StepWorker(const ClusterState& state,
                                uint32_t worker,
                                Entry* entry,
                                MonotonicTime now,
                                std::vector<DesiredAttempt>* changes) {
  const bool measured = now - entry->measured < kForgetTime;
  const bool slow = measured && entry->slowdown_permille >= kSlowPermille;
  const bool calm = !measured || entry->slowdown_permille <= kCalmPermille;
  entry->slow_since =
      slow ? std::optional(entry->slow_since.value_or(now)) : std::nullopt;
  entry->calm_since =
      calm ? std::optional(entry->calm_since.value_or(now)) : std::nullopt;
  const Task* task =
      entry->escalation ? entry->escalation->Find(state) : nullptr;
  if (task == nullptr) {
    entry->escalation.reset();
  }
  if (!entry->escalation) {
    if (!slow || now - *entry->slow_since < kSlowTime) {
      return;
    }
    entry->escalation = Choose(state, worker, entry->service_kind);
    if (entry->escalation) {
      task = entry->escalation->Find(state);
      changes->push_back(entry->escalation->Enter(
          DesiredAttemptState::kThrottle, *task,
          "a service on the same worker is slowed down", now));
    }
    return;
  }
  AttemptEscalation& escalation = *entry->escalation;
  if (escalation.desired == DesiredAttemptState::kThrottle && calm &&
      now - *entry->calm_since >= kCalmTime) {
    changes->push_back(escalation.Enter(
        DesiredAttemptState::kRun, *task,
        "the services on the worker are undisturbed again", now));
    entry->escalation.reset();
    return;
  }
  const bool waited = now - escalation.since >= kStepTime;
  if (escalation.desired == DesiredAttemptState::kThrottle && slow && waited) {
    changes->push_back(escalation.Enter(
        escalation.checkpointable ? DesiredAttemptState::kCheckpoint
                                  : DesiredAttemptState::kStop,
        *task, "throttling did not relieve the services on the worker", now));
  } else if (escalation.desired == DesiredAttemptState::kCheckpoint &&
             (waited || HasNewCheckpoint(escalation, *task))) {
    changes->push_back(escalation.Enter(
        DesiredAttemptState::kStop, *task,
        "throttling did not relieve the services on the worker", now));
  }
}

std::optional<AttemptEscalation> PressureRelief::Choose(
    const ClusterState& state,
    uint32_t worker,
    int32_t service_kind) const {
  const std::string* worst = nullptr;
  std::pair<double, int64_t> worst_rank;
  for (const auto& [task_id, task] : fleet_->worker(worker).tasks) {
    if (task.capacity_class != CapacityClass::kBatch ||
        task.priority == Priority::kUrgent) {
      continue;
    }
    // Size decides between kinds about which nothing is known.
    const std::pair rank(interference_->Effect(service_kind, task.task_kind),
                         task.reserved.processor_millis);
    if (worst == nullptr || rank > worst_rank ||
        (rank == worst_rank && task_id < *worst)) {
      worst = &task_id;
      worst_rank = rank;
    }
  }
  const Task* task = worst == nullptr ? nullptr : state.FindTask(*worst);
  if (task == nullptr || !task->HasLiveAttempt() ||
      task->desired != DesiredAttemptState::kRun) {
    return std::nullopt;
  }
  const auto owner = owners_->Find(state, task->owner);
  return AttemptEscalation{
      .task_id = std::string(task->id),
      .attempt = task->attempt,
      .checkpointable = owner != nullptr && owner->checkpointable};
}

}  // namespace bramleyrail
