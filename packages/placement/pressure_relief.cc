#include "packages/placement/pressure_relief.h"

#include <algorithm>
#include <utility>

namespace bramleyrail {

namespace {

// 30% more time is clearly above noise; up to 10% counts as free of
// interference. The gap prevents a task from alternating between throttled and
// released.
constexpr int64_t kSlowThresholdPermille = 1300;
constexpr int64_t kStableThresholdPermille = 1100;

// Reports lag by some seconds. One slow report alone therefore changes nothing,
// and each step gets time to show its effect before the next one.
constexpr Milliseconds kSlowTimeBeforeThrottling{3000};
constexpr Milliseconds kMinimumStepDuration{10'000};
constexpr Milliseconds kStableTimeBeforeRelease{20'000};

// Measurements older than this are ignored.
constexpr Milliseconds kMeasurementMaximumAge{30'000};

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
  WorkerPressure& pressure = pressures_[worker];
  // Of the services that report at the same time, the slowest one counts.
  if (pressure.measured == now &&
      pressure.slowdown_permille >= slowdown_permille) {
    return;
  }
  pressure.measured = now;
  pressure.slowdown_permille = slowdown_permille;
  pressure.service_kind = service_kind;
}

void PressureRelief::Step(const ClusterState& state,
                          MonotonicTime now,
                          std::vector<DesiredStateChange>* changes) {
  for (auto& [worker, pressure] : pressures_) {
    StepWorker(state, worker, &pressure, now, changes);
  }
  absl::erase_if(pressures_, [&](const auto& item) {
    return now - item.second.measured >= kMeasurementMaximumAge &&
           !item.second.escalation;
  });
}

void PressureRelief::StepWorker(const ClusterState& state,
                                uint32_t worker,
                                WorkerPressure* pressure,
                                MonotonicTime now,
                                std::vector<DesiredStateChange>* changes) {
  const bool measured = now - pressure->measured < kMeasurementMaximumAge;
  const bool slow =
      measured && pressure->slowdown_permille >= kSlowThresholdPermille;
  const bool stable =
      !measured || pressure->slowdown_permille <= kStableThresholdPermille;
  pressure->slow_since =
      slow ? std::optional(pressure->slow_since.value_or(now)) : std::nullopt;
  pressure->stable_since =
      stable ? std::optional(pressure->stable_since.value_or(now))
             : std::nullopt;
  const Task* task =
      pressure->escalation ? pressure->escalation->Find(state) : nullptr;
  if (task == nullptr) {
    pressure->escalation.reset();
  }
  if (!pressure->escalation) {
    if (!slow || now - *pressure->slow_since < kSlowTimeBeforeThrottling) {
      return;
    }
    pressure->escalation =
        ChooseInterferingAttempt(state, worker, pressure->service_kind);
    if (pressure->escalation) {
      task = pressure->escalation->Find(state);
      changes->push_back(pressure->escalation->Enter(
          DesiredAttemptState::kThrottle, *task,
          "a service on the same worker is slowed down", now));
    }
    return;
  }
  AttemptEscalation& escalation = *pressure->escalation;
  if (escalation.desired == DesiredAttemptState::kThrottle && stable &&
      now - *pressure->stable_since >= kStableTimeBeforeRelease) {
    changes->push_back(escalation.Enter(
        DesiredAttemptState::kRun, *task,
        "the services on the worker are undisturbed again", now));
    pressure->escalation.reset();
    return;
  }
  const bool waited = now - escalation.since >= kMinimumStepDuration;
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

std::optional<AttemptEscalation> PressureRelief::ChooseInterferingAttempt(
    const ClusterState& state,
    uint32_t worker,
    int32_t service_kind) const {
  const std::string* most_interfering = nullptr;
  std::pair<double, int64_t> highest_rank;
  for (const auto& [task_id, task] : fleet_->worker(worker).tasks) {
    if (task.capacity_class != CapacityClass::kBatch ||
        task.priority == Priority::kUrgent) {
      continue;
    }
    // Between kinds with the same known effect (or none), the larger task ranks
    // higher.
    const std::pair rank(interference_->Effect(service_kind, task.task_kind),
                         task.reserved.processor_millis);
    if (most_interfering == nullptr || rank > highest_rank ||
        (rank == highest_rank && task_id < *most_interfering)) {
      most_interfering = &task_id;
      highest_rank = rank;
    }
  }
  const Task* task =
      most_interfering == nullptr ? nullptr : state.FindTask(*most_interfering);
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
