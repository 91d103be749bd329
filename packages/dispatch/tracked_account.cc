#include "packages/dispatch/tracked_account.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleyrail {

namespace {

// Levels for each doubling of the use beyond the entitlement. More levels make
// the order fairer among accounts beyond theirs, but move steps in the order
// more often.
constexpr double kLevelsPerDoubling = 4;

bool IsWithin(int64_t reserved, int64_t limit) {
  return limit == 0 || reserved <= limit;
}

}  // namespace

void TrackedAccount::Configure(const ClientAccount* settings) {
  const ClientAccount defaults;
  const ClientAccount& used = settings == nullptr ? defaults : *settings;
  is_configured_ = settings != nullptr;
  limit_ = used.limit;
  weight_ = std::max<int64_t>(used.weight, 1);
  rank_.priority = used.priority;
}

void TrackedAccount::SetShare(double entitlement,
                              const ResourceAmounts& workers) {
  entitlement_ = entitlement;
  workers_ = workers;
  UpdateLevel();
}

void TrackedAccount::AddReserved(const ResourceAmounts& size,
                                 bool long_running) {
  reserved_ += size;
  if (long_running) {
    reserved_for_long_ += size;
  }
  UpdateLevel();
}

void TrackedAccount::RemoveReserved(const ResourceAmounts& size,
                                    bool long_running) {
  reserved_ -= size;
  if (long_running) {
    reserved_for_long_ -= size;
  }
  UpdateLevel();
}

bool TrackedAccount::Allows(const ResourceAmounts& reserved) const {
  return IsWithin(reserved.processor_millis, limit_.processor_millis) &&
         IsWithin(reserved.memory_mib, limit_.memory_mib) &&
         IsWithin(reserved.accelerators, limit_.accelerators);
}

void TrackedAccount::UpdateLevel() {
  const double ratio = entitlement_ > 0 ? Share() / entitlement_ : 0;
  rank_.share_level =
      ratio < 1
          ? 0
          : 1 + static_cast<int64_t>(kLevelsPerDoubling * std::log2(ratio));
}

AccountCharge::AccountCharge(std::shared_ptr<TrackedAccount> account,
                             const ResourceAmounts& size,
                             bool long_running)
    : account_(std::move(account)), size_(size), long_running_(long_running) {
  account_->AddReserved(size_, long_running_);
}

AccountCharge::~AccountCharge() {
  account_->RemoveReserved(size_, long_running_);
}

}  // namespace bramleyrail
