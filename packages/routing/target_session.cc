#include "packages/routing/target_session.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"

#include "packages/routing/monotonic_nanoseconds.h"

namespace bramleyrail {

namespace {

// A renewal that arrives after a connection broke may have been composed before
// that. The target sends one renewal at a time, so the second one is known to
// have been composed later.
constexpr int64_t kRenewalsBeforeRelease = 2;
// Ids of released charges that are remembered. Work that was still in the
// target's accept queue when its connection broke can start after its charge
// was released; it is then charged again by its id.
constexpr size_t kMaximumReleasedIds = 256;

bool TryIncrement(std::atomic<int64_t>* in_use, int64_t limit) {
  int64_t current = in_use->load(std::memory_order_relaxed);
  while (current < limit) {
    if (in_use->compare_exchange_weak(current, current + 1)) {
      return true;
    }
  }
  return false;
}

}  // namespace

TargetSession::TargetSession(TargetAnnouncement announcement, MonotonicTime now)
    : announcement_(std::move(announcement)),
      last_renewal_ns_(ToNanoseconds(now)),
      last_sequence_(announcement_.sequence) {
  absl::MutexLock lock(&mutex_);
  for (const std::string& id : announcement_.in_progress.requests) {
    AddCharge(WorkKind::kRequest, id, 1);
  }
  for (const std::string& id : announcement_.in_progress.watches) {
    AddCharge(WorkKind::kWatch, id, 1);
  }
}

bool TargetSession::IsExpired(MonotonicTime now) const {
  const int64_t age = ToNanoseconds(now) - last_renewal_ns_.load();
  return age >= ToNanoseconds(kTargetLeaseDuration);
}

bool TargetSession::MaySend(MonotonicTime now) const {
  const int64_t age = ToNanoseconds(now) - last_renewal_ns_.load();
  return age < ToNanoseconds(kTargetSendWindow) && !closed_.load() &&
         !drained_.load();
}

bool TargetSession::TryAcquire(WorkKind kind, MonotonicTime now) {
  if (!MaySend(now)) {
    return false;
  }
  if (kind == WorkKind::kRequest && !TryIncrement(&slots_in_use_, slots())) {
    return false;
  }
  if (!TryIncrement(&connections_in_use_, connections())) {
    if (kind == WorkKind::kRequest) {
      slots_in_use_.fetch_sub(1);
    }
    return false;
  }
  return true;
}

void TargetSession::Release(WorkKind kind) {
  if (kind == WorkKind::kRequest) {
    const int64_t before = slots_in_use_.fetch_sub(1);
    BRAMLEYRAIL_ASSERT(before > 0, "a slot of the target was released twice");
  }
  const int64_t before = connections_in_use_.fetch_sub(1);
  BRAMLEYRAIL_ASSERT(before > 0,
                     "a connection of the target was released twice");
}

void TargetSession::CountUsage(WorkKind kind) {
  if (kind == WorkKind::kRequest) {
    slots_in_use_.fetch_add(1);
  }
  connections_in_use_.fetch_add(1);
}

void TargetSession::AddCharge(WorkKind kind,
                              const std::string& id,
                              int64_t releasable_from) {
  const auto [position, inserted] =
      charges_.try_emplace(id, Charge{kind, releasable_from});
  if (inserted) {
    CountUsage(kind);
  }
}

void TargetSession::RetainCharge(WorkKind kind, std::string_view request_id) {
  absl::MutexLock lock(&mutex_);
  const auto [position, inserted] =
      charges_.try_emplace(std::string(request_id),
                           Charge{kind, renewals_ + kRenewalsBeforeRelease});
  if (!inserted) {
    // A request with the same id was resent, and both may still run.
    position->second.releasable_from = renewals_ + kRenewalsBeforeRelease;
    ++position->second.count;
  }
}

void TargetSession::RestoreReleasedCharges(const WorkInProgress& work) {
  const auto restore = [this](WorkKind kind, const std::string& id) {
    mutex_.AssertHeld();
    const auto found =
        std::find(released_ids_.begin(), released_ids_.end(), id);
    if (found != released_ids_.end()) {
      released_ids_.erase(found);
      AddCharge(kind, id, renewals_ + 1);
    }
  };
  for (const std::string& id : work.requests) {
    restore(WorkKind::kRequest, id);
  }
  for (const std::string& id : work.watches) {
    restore(WorkKind::kWatch, id);
  }
}

bool TargetSession::Renew(int64_t sequence,
                          const WorkInProgress& work,
                          MonotonicTime now) {
  absl::MutexLock lock(&mutex_);
  if (sequence <= last_sequence_) {
    return false;
  }
  last_sequence_ = sequence;
  ++renewals_;
  last_renewal_ns_.store(ToNanoseconds(now));
  absl::flat_hash_set<std::string> listed(work.requests.begin(),
                                          work.requests.end());
  listed.insert(work.watches.begin(), work.watches.end());
  for (auto charge = charges_.begin(); charge != charges_.end();) {
    const auto current = charge++;
    if (listed.contains(current->first) ||
        renewals_ < current->second.releasable_from) {
      continue;
    }
    for (int64_t i = 0; i < current->second.count; ++i) {
      Release(current->second.kind);
    }
    released_ids_.push_back(current->first);
    charges_.erase(current);
  }
  RestoreReleasedCharges(work);
  while (released_ids_.size() > kMaximumReleasedIds) {
    released_ids_.pop_front();
  }
  return true;
}

int64_t TargetSession::FreeSlots() const {
  return std::max<int64_t>(0, slots() - slots_in_use_.load());
}

int64_t TargetSession::FreeConnections() const {
  return std::max<int64_t>(0, connections() - connections_in_use_.load());
}

bool TargetSession::HasCapacity(WorkKind kind) const {
  return FreeConnections() > 0 && (kind == WorkKind::kWatch || FreeSlots() > 0);
}

}  // namespace bramleyrail
