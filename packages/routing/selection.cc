#include "packages/routing/selection.h"

#include <algorithm>

namespace bramleyrail {

namespace {

using Targets = std::span<const std::shared_ptr<TargetSession>>;

// Random probes before the whole list is scanned. With half of the targets
// usable, 8 probes find none of them in 1 of 256 selections.
constexpr int kMaximumRandomProbes = 8;

double Score(const TargetSession& session, WorkKind kind) {
  const bool is_request = kind == WorkKind::kRequest;
  const int64_t in_use =
      is_request ? session.slots_in_use() : session.connections_in_use();
  const int64_t limit = is_request ? session.slots() : session.connections();
  return static_cast<double>(in_use + 1) / static_cast<double>(limit) *
         session.health().LatencyMilliseconds();
}

std::optional<size_t> FindUsableTarget(Targets targets,
                                       const TargetQuery& query,
                                       RandomSource* random) {
  for (int probe = 0; probe < kMaximumRandomProbes; ++probe) {
    const size_t index = random->Index(targets.size());
    if (IsUsable(*targets[index], query)) {
      return index;
    }
  }
  // The scan finds a usable target if there is one. Its random start spreads
  // the load.
  const size_t start = random->Index(targets.size());
  for (size_t step = 0; step < targets.size(); ++step) {
    const size_t index = (start + step) % targets.size();
    if (IsUsable(*targets[index], query)) {
      return index;
    }
  }
  return std::nullopt;
}

bool ShouldSkipRecoveringTarget(const TargetSession& session,
                                MonotonicTime now,
                                RandomSource* random) {
  const double share = session.health().TrafficShare(now);
  return share < 1.0 && random->Fraction() >= share;
}

// Replaces a recovering target by the next usable target that is not
// recovering, with the probability 1 - TrafficShare().
size_t ReplaceRecoveringTarget(Targets targets,
                               size_t index,
                               const TargetQuery& query,
                               RandomSource* random) {
  if (!ShouldSkipRecoveringTarget(*targets[index], query.now, random)) {
    return index;
  }
  for (size_t step = 1; step < targets.size(); ++step) {
    const size_t other = (index + step) % targets.size();
    if (IsUsable(*targets[other], query) &&
        targets[other]->health().TrafficShare(query.now) >= 1.0) {
      return other;
    }
  }
  return index;
}

// Whether owners whose latency exceeds the time until the deadline are skipped.
enum class DeadlineFilter { kOnlyInTime, kAny };

// Returns the indices of the owners with free capacity at the nearest distance
// that has any.
std::vector<size_t> NearestOwnersWithCapacity(
    std::span<const OwnerCandidate> owners,
    Milliseconds remaining,
    DeadlineFilter deadline_filter) {
  std::vector<size_t> nearest;
  for (size_t i = 0; i < owners.size(); ++i) {
    const OwnerCandidate& owner = owners[i];
    const bool late = owner.latency_ms > static_cast<double>(remaining.count());
    if (owner.free_capacity <= 0 ||
        (late && deadline_filter == DeadlineFilter::kOnlyInTime)) {
      continue;
    }
    if (!nearest.empty() && owner.distance > owners[nearest.front()].distance) {
      continue;
    }
    if (!nearest.empty() && owner.distance < owners[nearest.front()].distance) {
      nearest.clear();
    }
    nearest.push_back(i);
  }
  return nearest;
}

double Score(const OwnerCandidate& owner) {
  return owner.latency_ms / static_cast<double>(owner.free_capacity);
}

}  // namespace

std::string_view OwnerDistanceName(OwnerDistance distance) {
  switch (distance) {
    case OwnerDistance::kLocalInstance:
      return "own_instance";
    case OwnerDistance::kSameFailureDomain:
      return "own_failure_domain";
    case OwnerDistance::kSameRegion:
      return "own_region";
    case OwnerDistance::kOtherRegion:
      return "other_region";
  }
  return "other_region";
}

bool IsUsable(const TargetSession& session, const TargetQuery& query) {
  return session.HasCapacity(query.kind) && session.MaySend(query.now) &&
         !session.health().IsEjected(query.now);
}

TargetPolicy PowerOfTwoChoicesTargetPolicy() {
  return [](Targets targets, const TargetQuery& query,
            RandomSource* random) -> std::optional<size_t> {
    if (targets.empty()) {
      return std::nullopt;
    }
    const std::optional<size_t> first =
        FindUsableTarget(targets, query, random);
    if (!first.has_value()) {
      return std::nullopt;
    }
    const std::optional<size_t> second =
        FindUsableTarget(targets, query, random);
    const size_t one = ReplaceRecoveringTarget(targets, *first, query, random);
    const size_t other = ReplaceRecoveringTarget(
        targets, second.value_or(*first), query, random);
    return Score(*targets[other], query.kind) < Score(*targets[one], query.kind)
               ? other
               : one;
  };
}

TargetPolicy RandomTargetPolicy() {
  return [](Targets targets, const TargetQuery& query,
            RandomSource* random) -> std::optional<size_t> {
    if (targets.empty()) {
      return std::nullopt;
    }
    return FindUsableTarget(targets, query, random);
  };
}

TargetPolicy LeastInUseTargetPolicy() {
  return [](Targets targets, const TargetQuery& query,
            RandomSource*) -> std::optional<size_t> {
    std::optional<size_t> best;
    for (size_t i = 0; i < targets.size(); ++i) {
      if (IsUsable(*targets[i], query) &&
          (!best.has_value() || targets[i]->connections_in_use() <
                                    targets[*best]->connections_in_use())) {
        best = i;
      }
    }
    return best;
  };
}

OwnerPolicy NearestPowerOfTwoChoicesOwnerPolicy() {
  return [](std::span<const OwnerCandidate> owners, Milliseconds remaining,
            RandomSource* random) -> std::optional<size_t> {
    std::vector<size_t> nearest = NearestOwnersWithCapacity(
        owners, remaining, DeadlineFilter::kOnlyInTime);
    if (nearest.empty()) {
      nearest =
          NearestOwnersWithCapacity(owners, remaining, DeadlineFilter::kAny);
    }
    if (nearest.empty()) {
      return std::nullopt;
    }
    const size_t first = nearest[random->Index(nearest.size())];
    const size_t second = nearest[random->Index(nearest.size())];
    return Score(owners[second]) < Score(owners[first]) ? second : first;
  };
}

OwnerPolicy RandomOwnerPolicy() {
  return [](std::span<const OwnerCandidate> owners, Milliseconds,
            RandomSource* random) -> std::optional<size_t> {
    std::vector<size_t> usable;
    for (size_t i = 0; i < owners.size(); ++i) {
      if (owners[i].free_capacity > 0) {
        usable.push_back(i);
      }
    }
    if (usable.empty()) {
      return std::nullopt;
    }
    return usable[random->Index(usable.size())];
  };
}

OwnerPolicy LeastInUseOwnerPolicy() {
  return [](std::span<const OwnerCandidate> owners, Milliseconds,
            RandomSource*) -> std::optional<size_t> {
    std::optional<size_t> best;
    for (size_t i = 0; i < owners.size(); ++i) {
      if (owners[i].free_capacity > 0 &&
          (!best.has_value() ||
           owners[i].free_capacity > owners[*best].free_capacity)) {
        best = i;
      }
    }
    return best;
  };
}

}  // namespace bramleyrail
