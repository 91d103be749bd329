#include "packages/placement/task_placer.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/placement/placement_events.h"

namespace bramleyrail {

namespace {

// The peak of 550 starts/s is 28 starts in a step of 50 ms. This limit leaves
// capacity to catch up after a change of leader without one very large log
// entry.
constexpr size_t kMaximumStartsPerStep = 128;

// A request that finds no worker through the index costs a scan of all workers,
// so the number of different requests that may fail in one step is limited.
constexpr size_t kMaximumFailedRequestsPerStep = 32;

constexpr Milliseconds kRetryInterval{1000};

// Reasons of owners without waiting tasks stay cached until this limit is
// reached.
constexpr size_t kMaximumCachedReasons = 10'000;

// Services are placed before batch work that may wait, but after urgent work,
// which has a deadline of 4.3 s.
constexpr int kUrgentRank = 0;
constexpr int kServiceRank = 1;
constexpr int kNormalRank = 2;
constexpr int kLowRank = 3;

int RankOf(const OwnerProfile& profile) {
  const bool is_service = profile.capacity_class == CapacityClass::kService;
  if (!is_service && profile.priority == Priority::kUrgent) {
    return kUrgentRank;
  }
  if (is_service) {
    return kServiceRank;
  }
  return profile.priority == Priority::kLow ? kLowRank : kNormalRank;
}

// Heap order: the element that is served first compares as the largest.
bool ServedLater(int left_rank,
                 double left_share,
                 int right_rank,
                 double right_share) {
  return left_rank != right_rank ? left_rank > right_rank
                                 : left_share > right_share;
}

PendingReason MakeReason(const std::string& team, QuotaStatus status) {
  switch (status) {
    case QuotaStatus::kUnknownTeam:
      return {absl::StrCat("team ", team, " does not exist; declare it"), true};
    case QuotaStatus::kLargerThanQuota:
      return {absl::StrCat("one task is larger than the quota of team ", team,
                           "; declare a smaller size or a larger quota"),
              true};
    case QuotaStatus::kExhausted:
    case QuotaStatus::kWithinQuota:
      break;
  }
  return {absl::StrCat("the quota of team ", team, " is used up"), false};
}

PendingReason MakeReason(const PlacementRequest& request,
                         const EmptyFleetCapacity& capacity) {
  if (!capacity.any_worker) {
    return {"no worker of an allowed failure domain has registered", false};
  }
  if (capacity.fits) {
    return {
        "no worker has enough free capacity that would not slow down services",
        false};
  }
  return {
      absl::StrCat("one task needs ", request.size.processor_millis,
                   " processor_millis, ", request.size.memory_mib,
                   " memory_mib and ", request.size.accelerators,
                   " accelerators, which no single worker offers; the largest "
                   "amounts are ",
                   capacity.largest.processor_millis, ", ",
                   capacity.largest.memory_mib, " and ",
                   capacity.largest.accelerators,
                   "; declare a smaller size or add a larger worker"),
      true};
}

}  // namespace

TaskPlacer::TaskPlacer(Fleet* fleet,
                       OwnerCatalog* owners,
                       FleetSynchronizer* synchronizer,
                       Hooks hooks)
    : fleet_(fleet),
      owners_(owners),
      synchronizer_(synchronizer),
      hooks_(std::move(hooks)),
      proposal_limiter_(kRetryInterval) {}

void TaskPlacer::Step(const ClusterState& state,
                      MonotonicTime now,
                      std::vector<CommandBody>* commands) {
  failed_requests_.clear();
  TeamAccounting accounting(state, *fleet_, *synchronizer_);
  std::vector<WaitingOwner> heap = CollectWaiting(state, &accounting);
  const auto order = [](const WaitingOwner& left, const WaitingOwner& right) {
    return ServedLater(left.rank, left.share, right.rank, right.share);
  };
  std::make_heap(heap.begin(), heap.end(), order);
  std::vector<AttemptStart> starts;
  while (!heap.empty() && starts.size() < kMaximumStartsPerStep) {
    std::pop_heap(heap.begin(), heap.end(), order);
    WaitingOwner& waiting = heap.back();
    if (!PlaceNext(state, now, &accounting, &waiting, &starts, commands)) {
      heap.pop_back();
      continue;
    }
    waiting.share = accounting.Share(waiting.profile->team);
    std::push_heap(heap.begin(), heap.end(), order);
  }
  if (!starts.empty()) {
    commands->emplace_back(StartAttempts{std::move(starts)});
  }
}

std::vector<TaskPlacer::WaitingOwner> TaskPlacer::CollectWaiting(
    const ClusterState& state,
    TeamAccounting* accounting) {
  std::vector<WaitingOwner> waiting;
  for (const auto& [uid, task_ids] : state.pending_by_owner()) {
    if (task_ids.empty()) {
      continue;
    }
    const Task* task = state.FindTask(*task_ids.begin());
    BRAMLEYRAIL_ASSERT(task != nullptr, "a pending task has no record");
    auto profile = owners_->Find(state, task->owner);
    // Tasks of cancelled or deleted owners are not placed; they are removed
    // when their owner is reconciled.
    if (profile == nullptr || profile->cancelled) {
      continue;
    }
    const double share = accounting->Share(profile->team);
    const int rank = RankOf(*profile);
    waiting.push_back(
        {rank, share, std::move(profile), task_ids.begin(), task_ids.end()});
  }
  return waiting;
}

bool TaskPlacer::PlaceNext(const ClusterState& state,
                           MonotonicTime now,
                           TeamAccounting* accounting,
                           WaitingOwner* waiting,
                           std::vector<AttemptStart>* starts,
                           std::vector<CommandBody>* commands) {
  while (waiting->next != waiting->end &&
         synchronizer_->IsProposed(*waiting->next)) {
    ++waiting->next;
  }
  if (waiting->next == waiting->end) {
    return false;
  }
  const OwnerProfile& profile = *waiting->profile;
  PlacementRequest request = RequestFor(profile, accounting);
  const QuotaStatus status = accounting->Check(profile.team, request.size);
  if (status != QuotaStatus::kWithinQuota) {
    SetReason(state, now, profile, MakeReason(profile.team, status), commands);
    return false;
  }
  auto choice = Choose(request);
  if (!choice && request.size != profile.declared &&
      PendingReasonFor(profile, request).unplaceable) {
    // The estimate may exceed every worker although the declared size fits one.
    request.size = profile.declared;
    choice = Choose(request);
  }
  if (!choice) {
    SetReason(state, now, profile, PendingReasonFor(profile, request),
              commands);
    RequestEvictions(state, now, request, *waiting);
    return false;
  }
  const Task* task = state.FindTask(*waiting->next);
  BRAMLEYRAIL_ASSERT(task != nullptr, "a pending task has no record");
  accounting->Charge(profile.team, request.size);
  Start(*task, *waiting, request, *choice, now, starts);
  ++waiting->next;
  return true;
}

void TaskPlacer::Start(const Task& task,
                       const WaitingOwner& waiting,
                       const PlacementRequest& request,
                       const PlacementChoice& choice,
                       MonotonicTime now,
                       std::vector<AttemptStart>* starts) {
  const OwnerProfile& profile = *waiting.profile;
  const FleetWorker& worker = fleet_->worker(choice.worker);
  starts->push_back(
      {task.id, task.attempt, worker.name, worker.boot_id, request.size});
  LogEvent(kTaskPlaced, {{"task", task.id},
                         {"attempt", task.attempt + 1},
                         {"worker", worker.name},
                         {"task_kind", fleet_->TaskKindName(request.task_kind)},
                         {"team", profile.team},
                         {"rank", waiting.rank},
                         {"share", waiting.share},
                         {"candidates", choice.candidates},
                         {"score", choice.score}});
  synchronizer_->AddProposed(
      task.id, choice.worker,
      {profile.owner.uid, profile.task_kind, profile.capacity_class,
       profile.priority, request.size, task.attempt + 1},
      profile.team, now);
}

void TaskPlacer::RequestEvictions(const ClusterState& state,
                                  MonotonicTime now,
                                  const PlacementRequest& request,
                                  const WaitingOwner& waiting) {
  const bool outranks = waiting.rank < kNormalRank;
  if (!hooks_.request_evictions || !outranks ||
      PendingReasonFor(*waiting.profile, request).unplaceable ||
      !proposal_limiter_.Allow(absl::StrCat("room ", request.owner_uid), now)) {
    return;
  }
  size_t count = 0;
  for (auto next = waiting.next;
       next != waiting.end && count < kMaximumEvictionRequests; ++next) {
    count += synchronizer_->IsProposed(*next) ? 0 : 1;
  }
  hooks_.request_evictions(state, request, count, now);
}

PlacementRequest TaskPlacer::RequestFor(const OwnerProfile& profile,
                                        TeamAccounting* accounting) const {
  PlacementRequest request{profile.owner.uid,      profile.task_kind,
                           profile.capacity_class, profile.priority,
                           profile.declared,       profile.failure_domains};
  if (hooks_.estimate) {
    const ResourceAmounts estimate =
        hooks_.estimate(profile.task_kind, profile.declared);
    // The estimate may exceed a quota although the declared size fits it.
    if (accounting->Check(profile.team, estimate) !=
        QuotaStatus::kLargerThanQuota) {
      request.size = estimate;
    }
  }
  return request;
}

std::optional<PlacementChoice> TaskPlacer::Choose(
    const PlacementRequest& request) {
  const bool cannot_fit =
      std::any_of(failed_requests_.begin(), failed_requests_.end(),
                  [&](const FailedRequest& failed) {
                    return failed.task_kind == request.task_kind &&
                           failed.capacity_class == request.capacity_class &&
                           failed.size.FitsInto(request.size) &&
                           (failed.failure_domains.empty() ||
                            failed.failure_domains == request.failure_domains);
                  });
  if (cannot_fit || failed_requests_.size() >= kMaximumFailedRequestsPerStep) {
    return std::nullopt;
  }
  auto choice = hooks_.policy(request, *fleet_);
  if (!choice) {
    failed_requests_.push_back({request.task_kind, request.capacity_class,
                                request.size, request.failure_domains});
  }
  return choice;
}

const PendingReason& TaskPlacer::PendingReasonFor(
    const OwnerProfile& profile,
    const PlacementRequest& request) {
  if (reasons_.size() >= kMaximumCachedReasons) {
    reasons_.clear();
  }
  CachedReason& cached = reasons_[profile.owner.uid];
  if (cached.shape_count != fleet_->shape_count() ||
      cached.generation != profile.generation) {
    cached = {fleet_->shape_count(), profile.generation,
              MakeReason(request, EvaluateEmptyFleet(request, *fleet_))};
  }
  return cached.reason;
}

void TaskPlacer::SetReason(const ClusterState& state,
                           MonotonicTime now,
                           const OwnerProfile& profile,
                           PendingReason reason,
                           std::vector<CommandBody>* commands) {
  const PendingReason* current = state.FindPendingReason(profile.owner.uid);
  if (current != nullptr && current->reason == reason.reason &&
      current->unplaceable == reason.unplaceable) {
    return;
  }
  if (!proposal_limiter_.Allow(absl::StrCat("reason ", profile.owner.uid),
                               now)) {
    return;
  }
  LogEvent(kTaskNotPlaced, {{"owner", profile.owner.name},
                            {"team", profile.team},
                            {"unplaceable", reason.unplaceable},
                            {"reason", reason.reason}});
  commands->emplace_back(SetPendingReason{
      profile.owner, std::move(reason.reason), reason.unplaceable});
}

}  // namespace bramleyrail
