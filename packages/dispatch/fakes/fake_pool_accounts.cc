// Client accounts and the check of their limits.

#include <algorithm>
#include <utility>

#include "packages/dispatch/fakes/fake_pool.h"

namespace bramleyrail {

namespace {

// How long after its placement a run may begin, beside its lease: the time for
// which the record of its placement may be stalled.
constexpr Milliseconds kMaximumRecordTime{4'000};

int64_t HighestLimit(int64_t first, int64_t second) {
  return first == 0 || second == 0 ? 0 : std::max(first, second);
}

bool IsWithin(int64_t reserved, int64_t limit) {
  return limit == 0 || reserved <= limit;
}

}  // namespace

void FakePool::SetAccounts(std::vector<ClientAccount> accounts) {
  QueueConfiguration configuration = state_.configuration();
  ++configuration.version;
  std::vector<ClientAccount> former =
      std::exchange(configuration.accounts, std::move(accounts));
  if (!state_.jobs().empty()) {
    former_accounts_.emplace_back(now_, std::move(former));
  }
  Apply(ReplaceConfiguration{configuration});
}

ResourceAmounts FakePool::ReservedBy(const std::string& account) const {
  ResourceAmounts reserved;
  for (const Worker& worker : workers_) {
    for (const auto& [key, run] : worker.runs) {
      const QueuedJob* job = state_.FindJob(key.first.job);
      if (job != nullptr && job->account == account) {
        reserved += job->specification.steps[key.first.step].size;
      }
    }
  }
  return reserved;
}

void FakePool::CheckLimit(const std::string& account) {
  const ClientAccount* current = state_.configuration().FindAccount(account);
  if (current == nullptr) {
    return;
  }
  // A start that was ordered under an earlier configuration may be executed
  // while its lease is valid.
  ResourceAmounts limit = current->limit;
  for (const auto& [until, accounts] : former_accounts_) {
    if (now_ - until > options_.lease + kMaximumRecordTime) {
      continue;
    }
    const auto found = std::find_if(
        accounts.begin(), accounts.end(),
        [&](const ClientAccount& former) { return former.name == account; });
    const ResourceAmounts former =
        found == accounts.end() ? ResourceAmounts{} : found->limit;
    limit = {HighestLimit(limit.processor_millis, former.processor_millis),
             HighestLimit(limit.memory_mib, former.memory_mib),
             HighestLimit(limit.accelerators, former.accelerators)};
  }
  const ResourceAmounts reserved = ReservedBy(account);
  if (!IsWithin(reserved.processor_millis, limit.processor_millis) ||
      !IsWithin(reserved.memory_mib, limit.memory_mib) ||
      !IsWithin(reserved.accelerators, limit.accelerators)) {
    RecordViolation(account + " exceeds its limit");
  }
}

}  // namespace bramleyrail
