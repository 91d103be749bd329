#include "packages/placement/scored_policy.h"

#include <algorithm>

namespace bramleyrail {

namespace {

// More candidates hardly improve the choice, since the best score of a random
// sample improves slowly with its size, and each one costs about a microsecond.
constexpr size_t kMaximumCandidates = 16;

// Weights of the parts of a score. Interference is the added time summed over
// the tasks concerned, so a weight of 1 makes 10% more time of a neighbour
// equal to 10 points of load. The slowdown of batch work itself has a smaller
// weight.
constexpr double kInterferenceWeight = 1.0;
constexpr double kServiceSlowdownWeight = 1.0;
constexpr double kBatchSlowdownWeight = 0.2;
constexpr double kLoadWeight = 0.3;
// Weights of the fraction of the owner's tasks that would be lost with a rack
// or a failure domain. A rack fails more often, but a failure domain holds
// more.
constexpr double kRackWeight = 1.0;
constexpr double kDomainWeight = 1.0;

// Batch work may slow down its neighbours up to the point at which it would be
// throttled anyway (PressureRelief acts at 30%), minus a margin for the error
// of the model. One interfering task on a worker without interference is always
// allowed: it would never run otherwise, and throttling limits its effect.
constexpr double kMaximumSlowdown = 0.25;
constexpr double kNegligibleSlowdown = 0.05;
// Smaller effects are noise of the model.
constexpr double kMinimumEffect = 0.02;

double LoadAfter(const PlacementRequest& request, const FleetWorker& worker) {
  const auto ratio = [](int64_t part, int64_t whole) {
    return whole == 0 ? 0.0
                      : static_cast<double>(part) / static_cast<double>(whole);
  };
  return std::max(
      ratio(worker.reserved.processor_millis + request.size.processor_millis,
            worker.capacity.processor_millis),
      ratio(worker.reserved.memory_mib + request.size.memory_mib,
            worker.capacity.memory_mib));
}

}  // namespace

ScoredPolicy::ScoredPolicy(const InterferenceModel* interference, uint64_t seed)
    : interference_(interference), random_(seed) {}

std::optional<PlacementChoice> ScoredPolicy::operator()(
    const PlacementRequest& request,
    const Fleet& fleet) {
  candidates_.clear();
  const bool needs_accelerator = request.size.accelerators > 0;
  CollectGroups(request, fleet, needs_accelerator);
  if (groups_.empty() && !needs_accelerator) {
    // Workers with accelerators are reserved for tasks that need them while
    // other workers have capacity.
    CollectGroups(request, fleet, true);
  }
  Sample(request, fleet);
  if (candidates_.empty()) {
    ScanAll(request, fleet);
  }
  std::optional<PlacementChoice> best;
  for (const uint32_t index : candidates_) {
    if (ExceedsSlowdownLimit(request, fleet.worker(index))) {
      continue;
    }
    const double score = Score(request, fleet, fleet.worker(index));
    if (!best || score < best->score) {
      best = PlacementChoice{index, score,
                             static_cast<int64_t>(candidates_.size())};
    }
  }
  return best;
}

void ScoredPolicy::CollectGroups(const PlacementRequest& request,
                                 const Fleet& fleet,
                                 bool with_accelerators) {
  groups_.clear();
  const int64_t units = RequestUnits(request.size);
  ForEachDomain(request, fleet, [&](int32_t domain) {
    const FreeCapacityIndex& index =
        fleet.Index(domain, request.capacity_class, with_accelerators);
    const size_t count = index.CountWithAtLeast(units);
    if (count > 0) {
      groups_.push_back({&index, count});
    }
  });
}

void ScoredPolicy::Sample(const PlacementRequest& request, const Fleet& fleet) {
  if (groups_.empty()) {
    return;
  }
  size_t total = 0;
  for (const Group& group : groups_) {
    total += group.count;
  }
  if (total <= kMaximumCandidates) {
    for (const Group& group : groups_) {
      for (size_t rank = 0; rank < group.count; ++rank) {
        AddCandidateIfFits(request, fleet, group.index->WorkerAt(rank));
      }
    }
    return;
  }
  // Round robin over the failure domains from a random one, so that every
  // sample offers several domains to spread over.
  const size_t first = random_() % groups_.size();
  for (size_t draw = 0; draw < kMaximumCandidates; ++draw) {
    const Group& group = groups_[(first + draw) % groups_.size()];
    AddCandidateIfFits(request, fleet,
                       group.index->WorkerAt(random_() % group.count));
  }
}

void ScoredPolicy::AddCandidateIfFits(const PlacementRequest& request,
                                      const Fleet& fleet,
                                      uint32_t worker) {
  // The index does not count accelerators.
  if (Fits(request, fleet.worker(worker))) {
    candidates_.push_back(worker);
  }
}

void ScoredPolicy::ScanAll(const PlacementRequest& request,
                           const Fleet& fleet) {
  const auto count = static_cast<uint32_t>(fleet.worker_count());
  const auto first = static_cast<uint32_t>(random_() % std::max(count, 1U));
  for (uint32_t i = 0; i < count; ++i) {
    const uint32_t index = (first + i) % count;
    if (Fits(request, fleet.worker(index))) {
      candidates_.push_back(index);
    }
    // The scan starts at a random worker, so the first ones found are the
    // sample.
    if (candidates_.size() == kMaximumCandidates) {
      return;
    }
  }
}

bool ScoredPolicy::ExceedsSlowdownLimit(const PlacementRequest& request,
                                        const FleetWorker& worker) const {
  if (request.capacity_class == CapacityClass::kService ||
      request.priority == Priority::kUrgent) {
    return false;
  }
  for (const auto& [kind, count] : worker.kind_counts) {
    const double effect = interference_->Effect(kind, request.task_kind);
    if (effect < kMinimumEffect) {
      continue;
    }
    const double before =
        interference_->ExpectedSlowdown(kind, worker.kind_counts);
    if (before > kNegligibleSlowdown && before + effect > kMaximumSlowdown) {
      return true;
    }
  }
  return false;
}

double ScoredPolicy::Score(const PlacementRequest& request,
                           const Fleet& fleet,
                           const FleetWorker& worker) const {
  const bool is_service = request.capacity_class == CapacityClass::kService;
  double score = kLoadWeight * LoadAfter(request, worker);
  score += kInterferenceWeight * interference_->ExpectedInterference(
                                     request.task_kind, worker.kind_counts);
  score +=
      (is_service ? kServiceSlowdownWeight : kBatchSlowdownWeight) *
      interference_->ExpectedSlowdown(request.task_kind, worker.kind_counts);
  const auto total =
      static_cast<double>(fleet.OwnerTasks(request.owner_uid) + 1);
  score += kRackWeight *
           static_cast<double>(
               fleet.OwnerTasksOnRack(request.owner_uid, worker.rack)) /
           total;
  score += kDomainWeight *
           static_cast<double>(fleet.OwnerTasksInDomain(
               request.owner_uid, worker.failure_domain)) /
           total;
  return score;
}

}  // namespace bramleyrail
