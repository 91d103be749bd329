#include "packages/placement/preemptor.h"

#include <algorithm>
#include <utility>

namespace bramleyrail {

namespace {

// Urgent work must start within 4.3 s; the checkpoint gets the larger part of
// that time.
constexpr Milliseconds kCheckpointTimeout{2000};

// A plan that has not freed its capacity after this time has failed, for
// example because the worker became unreachable.
constexpr Milliseconds kPlanTimeout{8000};

// Comparing a few workers is enough to find one with few attempts to evict.
constexpr size_t kMaximumComparedWorkers = 8;

ResourceAmounts AvailableAmounts(const FleetWorker& worker,
                                 const PlacementRequest& request,
                                 const ResourceAmounts& planned,
                                 const ResourceAmounts& evicted) {
  ResourceAmounts available = worker.FreeFor(request.capacity_class);
  available -= planned;
  available += evicted;
  return available;
}

}  // namespace

Preemptor::Preemptor(const Fleet* fleet, OwnerCatalog* owners)
    : fleet_(fleet), owners_(owners) {}

size_t Preemptor::PlanCount(const std::string& owner_uid) const {
  size_t count = 0;
  for (const auto& [worker, plans] : plans_) {
    count += std::count_if(plans.begin(), plans.end(), [&](const Plan& plan) {
      return plan.owner_uid == owner_uid;
    });
  }
  return count;
}

ResourceAmounts Preemptor::PlannedOn(uint32_t worker) const {
  ResourceAmounts planned;
  const auto found = plans_.find(worker);
  if (found != plans_.end()) {
    for (const Plan& plan : found->second) {
      planned += plan.size;
    }
  }
  return planned;
}

bool Preemptor::IsVictim(uint32_t worker, const std::string& task_id) const {
  const auto found = plans_.find(worker);
  if (found == plans_.end()) {
    return false;
  }
  return std::any_of(
      found->second.begin(), found->second.end(), [&](const Plan& plan) {
        return std::any_of(plan.victims.begin(), plan.victims.end(),
                           [&](const AttemptEscalation& victim) {
                             return victim.task_id == task_id;
                           });
      });
}

bool Preemptor::PlanEvictions(const ClusterState& state,
                              const PlacementRequest& request,
                              MonotonicTime now,
                              std::vector<DesiredStateChange>* changes) {
  const auto worker_count = static_cast<uint32_t>(fleet_->worker_count());
  std::vector<AttemptEscalation> best;
  uint32_t best_worker = 0;
  size_t compared = 0;
  for (uint32_t i = 0; i < worker_count && compared < kMaximumComparedWorkers;
       ++i) {
    const uint32_t index = (first_worker_ + i) % worker_count;
    const FleetWorker& worker = fleet_->worker(index);
    if (!IsEligible(request, worker) ||
        !request.size.FitsInto(AvailableAmounts(
            worker, request, PlannedOn(index), worker.preemptible))) {
      continue;
    }
    ++compared;
    auto victims = ChooseVictims(state, request, index);
    if (!victims.empty() && (best.empty() || victims.size() < best.size())) {
      best = std::move(victims);
      best_worker = index;
    }
  }
  if (best.empty()) {
    return false;
  }
  first_worker_ = best_worker + 1;
  for (AttemptEscalation& victim : best) {
    // Throttling does not free reserved capacity, so an eviction begins with a
    // checkpoint.
    changes->push_back(victim.Enter(
        victim.checkpointable ? DesiredAttemptState::kCheckpoint
                              : DesiredAttemptState::kStop,
        *victim.Find(state), "makes room for work of a higher rank", now));
  }
  plans_[best_worker].push_back(
      {request.owner_uid, request.size, now + kPlanTimeout, std::move(best)});
  return true;
}

std::vector<AttemptEscalation> Preemptor::ChooseVictims(
    const ClusterState& state,
    const PlacementRequest& request,
    uint32_t worker_index) const {
  const FleetWorker& worker = fleet_->worker(worker_index);
  std::vector<std::pair<const std::string*, const FleetTask*>> candidates;
  for (const auto& [task_id, task] : worker.tasks) {
    if (Fleet::IsPreemptible(task)) {
      candidates.emplace_back(&task_id, &task);
    }
  }
  // Low priority first, then the largest, so that few attempts are evicted. The
  // id makes the order independent of the hash table.
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& left, const auto& right) {
              const auto key = [](const auto& candidate) {
                const FleetTask& task = *candidate.second;
                return std::tuple<bool, int64_t, std::string_view>(
                    task.priority != Priority::kLow,
                    -task.reserved.processor_millis, *candidate.first);
              };
              return key(left) < key(right);
            });
  ResourceAmounts available =
      AvailableAmounts(worker, request, PlannedOn(worker_index), {});
  std::vector<AttemptEscalation> victims;
  for (const auto& [task_id, fleet_task] : candidates) {
    if (request.size.FitsInto(available)) {
      break;
    }
    const Task* task = state.FindTask(*task_id);
    if (task == nullptr || !task->HasLiveAttempt() ||
        task->attempt != fleet_task->attempt) {
      continue;
    }
    available += fleet_task->reserved;
    // Attempts that are already being stopped or evicted need no further
    // change.
    if (task->desired != DesiredAttemptState::kStop &&
        !IsVictim(worker_index, *task_id)) {
      const auto owner = owners_->Find(state, task->owner);
      victims.push_back(
          {.task_id = *task_id,
           .attempt = task->attempt,
           .checkpointable = owner != nullptr && owner->checkpointable});
    }
  }
  if (!request.size.FitsInto(available)) {
    victims.clear();
  }
  return victims;
}

void Preemptor::Step(const ClusterState& state,
                     MonotonicTime now,
                     std::vector<DesiredStateChange>* changes) {
  for (auto& [worker, plans] : plans_) {
    for (Plan& plan : plans) {
      StepPlan(state, now, &plan, changes);
    }
    // The capacity that a finished plan freed has been used by the placement of
    // this step.
    std::erase_if(plans, [&](const Plan& plan) {
      return plan.victims.empty() || now >= plan.deadline;
    });
  }
  absl::erase_if(plans_,
                 [](const auto& entry) { return entry.second.empty(); });
}

void Preemptor::StepPlan(const ClusterState& state,
                         MonotonicTime now,
                         Plan* plan,
                         std::vector<DesiredStateChange>* changes) {
  for (AttemptEscalation& victim : plan->victims) {
    const Task* task = victim.Find(state);
    if (task == nullptr || victim.desired == DesiredAttemptState::kStop) {
      continue;
    }
    const bool saved = task->checkpoint != victim.checkpoint_at_step;
    if (saved || now - victim.since >= kCheckpointTimeout) {
      changes->push_back(victim.Enter(DesiredAttemptState::kStop, *task,
                                      "makes room for work of a higher rank",
                                      now));
    }
  }
  std::erase_if(plan->victims, [&](const AttemptEscalation& victim) {
    return victim.Find(state) == nullptr;
  });
}

}  // namespace bramleyrail
