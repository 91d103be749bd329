#include "packages/routing/selection.h"

#include <algorithm>

namespace bramleyrail {

namespace {

using Targets = std::span<const std::shared_ptr<TargetSession>>;

// Random probes before the whole list is scanned. With half of the targets
// usable, 8 probes miss all of them once in 256 decisions.
constexpr int kProbes = 8;

double Score(const TargetSession& session, WorkKind kind) {
  const bool is_request = kind == WorkKind::kRequest;
  const int64_t in_use =
      is_request ? session.slots_in_use() : session.connections_in_use();
  const int64_t limit = is_request ? session.slots() : session.connections();
  return static_cast<double>(in_use + 1) / static_cast<double>(limit) *
         session.health().LatencyMilliseconds();
}

std::optional<size_t> ProbeUsable(Targets targets,
                                  const TargetQuery& query,
                                  RandomSource* random) {
  for (int probe = 0; probe < kProbes; ++probe) {
    const size_t index = random->Index(targets.size());
    if (IsUsable(*targets[index], query)) {
      return index;
    }
  }
  // A scan from a random start finds the last usable one, if there is any.
  const size_t start = random->Index(targets.size());
  for (size_t step = 0; step < targets.size(); ++step) {
    const size_t index = (start + step) % targets.size();
    if (IsUsable(*targets[index], query)) {
      return index;
    }
  }
  return std::nullopt;
}

bool PassOver(const TargetSession& session,
              MonotonicTime now,
              RandomSource* random) {
  const double share = session.health().Share(now);
  return share < 1.0 && random->Fraction() >= share;
}

// Replaces a returning target by the next one that does not return, in
// proportion to the share that it does not take yet.
size_t ReplaceReturning(Targets targets,
                        size_t index,
                        const TargetQuery& query,
                        RandomSource* random) {
  if (!PassOver(*targets[index], query.now, random)) {
    return index;
  }
  for (size_t step = 1; step < targets.size(); ++step) {
    const size_t other = (index + step) % targets.size();
    if (IsUsable(*targets[other], query) &&
        targets[other]->health().Share(query.now) >= 1.0) {
      return other;
    }
  }
  return index;
}

// Indices of the owners of the nearest class with capacity; with kInTime, only
// those that are expected to answer before the deadline.
enum class Punctuality { kInTime, kAny };

std::vector<size_t> NearestClass(std::span<const OwnerCandidate> owners,
                                 Milliseconds remaining,
                                 Punctuality punctuality) {
  std::vector<size_t> nearest;
  for (size_t i = 0; i < owners.size(); ++i) {
    const OwnerCandidate& owner = owners[i];
    const bool late = owner.latency_ms > static_cast<double>(remaining.count());
    if (owner.free <= 0 || (late && punctuality == Punctuality::kInTime)) {
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
  return owner.latency_ms / static_cast<double>(owner.free);
}

}  // namespace

std::string_view OwnerDistanceName(OwnerDistance distance) {
  switch (distance) {
    case OwnerDistance::kOwnInstance:
      return "own_instance";
    case OwnerDistance::kOwnFailureDomain:
      return "own_failure_domain";
    case OwnerDistance::kOwnRegion:
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

TargetPolicy BetterOfTwoTargets() {
  return [](Targets targets, const TargetQuery& query,
            RandomSource* random) -> std::optional<size_t> {
    if (targets.empty()) {
      return std::nullopt;
    }
    const std::optional<size_t> first = ProbeUsable(targets, query, random);
    if (!first.has_value()) {
      return std::nullopt;
    }
    const std::optional<size_t> second = ProbeUsable(targets, query, random);
    const size_t one = ReplaceReturning(targets, *first, query, random);
    const size_t other =
        ReplaceReturning(targets, second.value_or(*first), query, random);
    return Score(*targets[other], query.kind) < Score(*targets[one], query.kind)
               ? other
               : one;
  };
}

TargetPolicy RandomTarget() {
  return [](Targets targets, const TargetQuery& query,
            RandomSource* random) -> std::optional<size_t> {
    if (targets.empty()) {
      return std::nullopt;
    }
    return ProbeUsable(targets, query, random);
  };
}

TargetPolicy LeastInUseTarget() {
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

OwnerPolicy NearestBetterOfTwoOwners() {
  return [](std::span<const OwnerCandidate> owners, Milliseconds remaining,
            RandomSource* random) -> std::optional<size_t> {
    std::vector<size_t> nearest =
        NearestClass(owners, remaining, Punctuality::kInTime);
    if (nearest.empty()) {
      nearest = NearestClass(owners, remaining, Punctuality::kAny);
    }
    if (nearest.empty()) {
      return std::nullopt;
    }
    const size_t first = nearest[random->Index(nearest.size())];
    const size_t second = nearest[random->Index(nearest.size())];
    return Score(owners[second]) < Score(owners[first]) ? second : first;
  };
}

OwnerPolicy RandomOwner() {
  return [](std::span<const OwnerCandidate> owners, Milliseconds,
            RandomSource* random) -> std::optional<size_t> {
    std::vector<size_t> usable;
    for (size_t i = 0; i < owners.size(); ++i) {
      if (owners[i].free > 0) {
        usable.push_back(i);
      }
    }
    if (usable.empty()) {
      return std::nullopt;
    }
    return usable[random->Index(usable.size())];
  };
}

OwnerPolicy LeastInUseOwner() {
  return [](std::span<const OwnerCandidate> owners, Milliseconds,
            RandomSource*) -> std::optional<size_t> {
    std::optional<size_t> best;
    for (size_t i = 0; i < owners.size(); ++i) {
      if (owners[i].free > 0 &&
          (!best.has_value() || owners[i].free > owners[*best].free)) {
        best = i;
      }
    }
    return best;
  };
}

}  // namespace bramleyrail
