#include "packages/routing/concurrency_limits.h"

#include "packages/base/base.h"

namespace bramleyrail {

namespace {

absl::string_view ToKey(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::optional<ConcurrencyLimits::Permit> ConcurrencyLimits::TryAcquirePermit(
    std::string_view key,
    int64_t limit) {
  absl::MutexLock lock(&mutex_);
  const auto found = counts_.find(ToKey(key));
  const int64_t current = found == counts_.end() ? 0 : found->second;
  if (current >= limit) {
    return std::nullopt;
  }
  ++counts_[std::string(key)];
  return std::make_optional<Permit>(this, std::string(key));
}

int64_t ConcurrencyLimits::Count(std::string_view key) const {
  absl::MutexLock lock(&mutex_);
  const auto found = counts_.find(ToKey(key));
  return found == counts_.end() ? 0 : found->second;
}

void ConcurrencyLimits::Release(std::string_view key) {
  absl::MutexLock lock(&mutex_);
  const auto found = counts_.find(ToKey(key));
  BRAMLEYRAIL_ASSERT(found != counts_.end(),
                     "a concurrency permit was released twice");
  // Keys come from callers, so those without requests are erased to bound the
  // memory.
  if (--found->second == 0) {
    counts_.erase(found);
  }
}

}  // namespace bramleyrail
