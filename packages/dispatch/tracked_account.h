#ifndef PACKAGES_DISPATCH_TRACKED_ACCOUNT_H_
#define PACKAGES_DISPATCH_TRACKED_ACCOUNT_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "packages/queue/queue.h"

namespace bramleyrail {

// Which accounts get room first; the lowest rank goes first.
struct AccountRank {
  int64_t priority = 0;
  // 0 while the account uses no more than its share of the workers. Rises by
  // one each time that its use has grown by about a fifth beyond that.
  int64_t share_level = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): a false report on defaulted <=>.
  auto operator<=>(const AccountRank&) const = default;
};

// A step whose next start needs room of the limit that the runs of its account
// have to make by their ends.
struct LimitReservation {
  TaskName step;  // Its first task.
  int64_t priority = 0;
  ResourceAmounts size;
  // Updates of the ledger since the step was last found to wait.
  int updates = 0;
  int age = 0;  // Updates since the reservation was made.
};

// The leader's record of one client account: its settings, and what its runs
// have reserved on all workers.
class TrackedAccount {
 public:
  explicit TrackedAccount(std::string name) : name_(std::move(name)) {}

  const std::string& name() const { return name_; }
  bool is_configured() const { return is_configured_; }
  const ResourceAmounts& limit() const { return limit_; }
  int64_t weight() const { return weight_; }
  int64_t priority() const { return rank_.priority; }
  const ResourceAmounts& reserved() const { return reserved_; }
  // What of it does not end by itself.
  const ResourceAmounts& reserved_for_long() const {
    return reserved_for_long_;
  }
  const AccountRank& rank() const { return rank_; }
  // The dominant share in the workers.
  double Share() const { return DominantShare(reserved_, workers_); }

  // Without settings, an account has no limit and the weight 1.
  void Configure(const ClientAccount* settings);
  // `entitlement` is the dominant share in the workers that the account may use
  // before it yields to others; 0: shares have no effect.
  void SetShare(double entitlement, const ResourceAmounts& workers);
  void AddReserved(const ResourceAmounts& size, bool long_running);
  void RemoveReserved(const ResourceAmounts& size, bool long_running);

  // Whether reservations of this sum are within the limit.
  bool Allows(const ResourceAmounts& reserved) const;

  // A task of the account is ready. Valid during an update of the shares.
  bool has_ready_tasks = false;
  // What runs of earlier leaders may have reserved at most on the workers that
  // have not reported yet.
  ResourceAmounts unreported;
  std::optional<LimitReservation> limit_reservation;
  int reservation_pause = 0;  // Updates without a further reservation.
  // A task has waited for the limit since the last pass that tried all steps.
  bool limit_reached = false;
  bool limit_reached_before = false;

 private:
  void UpdateLevel();

  const std::string name_;
  bool is_configured_ = false;
  ResourceAmounts limit_;
  int64_t weight_ = 1;
  AccountRank rank_;
  double entitlement_ = 0;
  ResourceAmounts workers_;
  ResourceAmounts reserved_;
  ResourceAmounts reserved_for_long_;
};

// Counts a run against its account for as long as the object exists.
class AccountCharge {
 public:
  AccountCharge(std::shared_ptr<TrackedAccount> account,
                const ResourceAmounts& size,
                bool long_running);
  AccountCharge(const AccountCharge&) = delete;
  AccountCharge& operator=(const AccountCharge&) = delete;
  ~AccountCharge();

 private:
  const std::shared_ptr<TrackedAccount> account_;
  const ResourceAmounts size_;
  const bool long_running_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_TRACKED_ACCOUNT_H_
