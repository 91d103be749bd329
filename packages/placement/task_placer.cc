#include "packages/placement/task_placer.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/placement/placement_events.h"

namespace bramleyrail {

namespace {

// 550 starts/s at the peak are 28 in a step of 50 ms; this leaves room to
// catch up after a change of leader without one huge log entry.
constexpr size_t kStartsInStep = 128;

// A request that finds no worker through the index costs a scan of all
// workers, so only a few different requests may fail in one step.
constexpr size_t kFailedRequestsInStep = 32;

constexpr Milliseconds kRetryInterval{1000};

// Reasons of owners that wait no longer stay until this bound is reached.
constexpr size_t kMaximumReasons = 10'000;

// Services come before batch work that may wait, but after urgent work, which
// has a deadline of 4.3 s.
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

// Heap order: the element to serve first compares as the largest.
bool ServedLater(int left_rank,
                 double left_share,
                 int right_rank,
                 double right_share) {
  return left_rank != right_rank ? left_rank > right_rank
                                 : left_share > right_share;
}

PendingReason MakeReason(const std::string& team, QuotaVerdict verdict) {
  switch (verdict) {
    case QuotaVerdict::kNoTeam:
      return {absl::StrCat("team ", team, " does not exist; declare it"), true};
    case QuotaVerdict::kLargerThanQuota:
      return {absl::StrCat("one task is larger than the quota of team ", team,
                           "; declare a smaller size or a larger quota"),
              true};
    case QuotaVerdict::kUsedUp:
    case QuotaVerdict::kWithin:
      break;
  }
  return {absl::StrCat("the quota of team ", team, " is used up"), false};
}

PendingReason MakeReason(const PlacementRequest& request,
                         const EmptyFleetVerdict& verdict) {
  if (!verdict.any_worker) {
    return {"no worker of an allowed failure domain has registered", false};
  }
  if (verdict.fits) {
    return {
        "no worker has enough free capacity that would not slow down services",
        false};
  }
  return {absl::StrCat(
              "one task needs ", request.size.processor_millis,
              " processor_millis, ", request.size.memory_mib,
              " memory_mib and ", request.size.accelerators,
              " accelerators, which no single worker offers; the largest "
              "amounts are ",
              verdict.largest.processor_millis, ", ",
              verdict.largest.memory_mib, " and ", verdict.largest.accelerators,
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
      gate_(kRetryInterval) {}

void TaskPlacer::Step(const ClusterState& state,
                      MonotonicTime now,
                      std::vector<CommandBody>* commands) {
  failed_.clear();
  TeamLedger ledger(state, *fleet_, *synchronizer_);
  std::vector<Waiting> heap = CollectWaiting(state, &ledger);
  const auto order = [](const Waiting& left, const Waiting& right) {
    return ServedLater(left.rank, left.share, right.rank, right.share);
  };
  std::make_heap(heap.begin(), heap.end(), order);
  std::vector<AttemptStart> starts;
  while (!heap.empty() && starts.size() < kStartsInStep) {
    std::pop_heap(heap.begin(), heap.end(), order);
    Waiting& waiting = heap.back();
    if (!PlaceNext(state, now, &ledger, &waiting, &starts, commands)) {
      heap.pop_back();
      continue;
    }
    waiting.share = ledger.Share(waiting.profile->team);
    std::push_heap(heap.begin(), heap.end(), order);
  }
  if (!starts.empty()) {
    commands->emplace_back(StartAttempts{std::move(starts)});
  }
}

std::vector<TaskPlacer::Waiting> TaskPlacer::CollectWaiting(
    const ClusterState& state,
    TeamLedger* ledger) {
  std::vector<Waiting> waiting;
  for (const auto& [uid, task_ids] : state.pending_by_owner()) {
    if (task_ids.empty()) {
      continue;
    }
    const Task* task = state.FindTask(*task_ids.begin());
    BRAMLEYRAIL_ASSERT(task != nullptr, "a pending task has no record");
    auto profile = owners_->Find(state, task->owner);
    // Tasks of cancelled or deleted owners only wait to be reconciled.
    if (profile == nullptr || profile->cancelled) {
      continue;
    }
    const double share = ledger->Share(profile->team);
    const int rank = RankOf(*profile);
    waiting.push_back(
        {rank, share, std::move(profile), task_ids.begin(), task_ids.end()});
  }
  return waiting;
}

bool TaskPlacer::PlaceNext(const ClusterState& state,
                           MonotonicTime now,
                           TeamLedger* ledger,
                           Waiting* waiting,
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
  PlacementRequest request = RequestFor(profile, ledger);
  const QuotaVerdict verdict = ledger->Check(profile.team, request.size);
  if (verdict != QuotaVerdict::kWithin) {
    SetReason(state, now, profile, MakeReason(profile.team, verdict), commands);
    return false;
  }
  auto choice = Choose(request);
  if (!choice && request.size != profile.declared &&
      ReasonFor(profile, request).unplaceable) {
    // An estimate must not make a job unplaceable that is declared to fit.
    request.size = profile.declared;
    choice = Choose(request);
  }
  if (!choice) {
    SetReason(state, now, profile, ReasonFor(profile, request), commands);
    MakeRoom(state, now, request, *waiting);
    return false;
  }
  const Task* task = state.FindTask(*waiting->next);
  BRAMLEYRAIL_ASSERT(task != nullptr, "a pending task has no record");
  ledger->Charge(profile.team, request.size);
  Start(*task, *waiting, request, *choice, now, starts);
  ++waiting->next;
  return true;
}

void TaskPlacer::Start(const Task& task,
                       const Waiting& waiting,
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

void TaskPlacer::MakeRoom(const ClusterState& state,
                          MonotonicTime now,
                          const PlacementRequest& request,
                          const Waiting& waiting) {
  const bool outranks = waiting.rank < kNormalRank;
  if (!hooks_.make_room || !outranks ||
      ReasonFor(*waiting.profile, request).unplaceable ||
      !gate_.Allow(absl::StrCat("room ", request.owner_uid), now)) {
    return;
  }
  size_t count = 0;
  for (auto next = waiting.next;
       next != waiting.end && count < kMaximumRoomRequests; ++next) {
    count += synchronizer_->IsProposed(*next) ? 0 : 1;
  }
  hooks_.make_room(state, request, count, now);
}

PlacementRequest TaskPlacer::RequestFor(const OwnerProfile& profile,
                                        TeamLedger* ledger) const {
  PlacementRequest request{profile.owner.uid,      profile.task_kind,
                           profile.capacity_class, profile.priority,
                           profile.declared,       profile.failure_domains};
  if (hooks_.estimate) {
    const ResourceAmounts estimate =
        hooks_.estimate(profile.task_kind, profile.declared);
    // An estimate must not exceed a quota that the declared size fits into.
    if (ledger->Check(profile.team, estimate) !=
        QuotaVerdict::kLargerThanQuota) {
      request.size = estimate;
    }
  }
  return request;
}

std::optional<PlacementChoice> TaskPlacer::Choose(
    const PlacementRequest& request) {
  const bool certain_failure = std::any_of(
      failed_.begin(), failed_.end(), [&](const FailedRequest& failed) {
        return failed.task_kind == request.task_kind &&
               failed.capacity_class == request.capacity_class &&
               failed.size.FitsInto(request.size) &&
               (failed.failure_domains.empty() ||
                failed.failure_domains == request.failure_domains);
      });
  if (certain_failure || failed_.size() >= kFailedRequestsInStep) {
    return std::nullopt;
  }
  auto choice = hooks_.policy(request, *fleet_);
  if (!choice) {
    failed_.push_back({request.task_kind, request.capacity_class, request.size,
                       request.failure_domains});
  }
  return choice;
}

const PendingReason& TaskPlacer::ReasonFor(const OwnerProfile& profile,
                                           const PlacementRequest& request) {
  if (reasons_.size() >= kMaximumReasons) {
    reasons_.clear();
  }
  CachedReason& cached = reasons_[profile.owner.uid];
  if (cached.shape_count != fleet_->shape_count() ||
      cached.generation != profile.generation) {
    cached = {fleet_->shape_count(), profile.generation,
              MakeReason(request, JudgeEmptyFleet(request, *fleet_))};
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
  if (!gate_.Allow(absl::StrCat("reason ", profile.owner.uid), now)) {
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
