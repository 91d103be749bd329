#ifndef PACKAGES_DISPATCH_ACCOUNT_LEDGER_H_
#define PACKAGES_DISPATCH_ACCOUNT_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "packages/dispatch/account_report.h"
#include "packages/dispatch/earlier_account_runs.h"
#include "packages/dispatch/ready_steps.h"
#include "packages/dispatch/worker_selector.h"

namespace bramleyrail {

// What each client account has reserved over all workers, for limits and
// shares. Jobs without an account count as one account without a limit. Has no
// effect while the configuration has no accounts.
class AccountLedger {
 public:
  // The next start of a step.
  struct Start {
    TaskName step;  // Its first task.
    int64_t priority = 0;
    ResourceAmounts size;  // Of all tasks that start together.
  };

  // Follows the configuration. Does nothing while its version is the same.
  void Configure(const QueueConfiguration& configuration);
  bool has_accounts() const { return has_accounts_; }
  std::shared_ptr<TrackedAccount> Find(const std::string& name);

  // The run of the step counts for as long as the charge exists. Null when it
  // need not be counted.
  std::shared_ptr<const AccountCharge> Charge(
      const std::shared_ptr<TrackedAccount>& account,
      const JobStep& step) const;
  // Counts a run that no worker reports until this time.
  void ChargeUntil(MonotonicTime until,
                   const std::shared_ptr<TrackedAccount>& account,
                   const JobStep& step);

  EarlierAccountRuns& earlier_runs() { return earlier_runs_; }
  // Call before each pass. `resolved`: there are no unknown runs any more.
  void UpdateEarlierRuns(const TrackedWorkers& workers, bool resolved);
  // Charges a run whose job has ended to the account of the job.
  void ChargeRunOfEndedJob(const TaskName& task, TrackedRun* run);

  // The next start of the step of the task.
  static Start StartOf(const TrackedJob& job, const TaskName& task);
  // Whether the limit of the account has room for the start.
  bool HasRoom(const TrackedAccount& account, const Start& start) const;
  // The task waits for the limit. Returns whether that is new for the account,
  // and logs it then.
  bool NoteLimitReached(TrackedAccount* account,
                        const TaskName& task,
                        MonotonicTime now);
  // Keeps the room of the limit that becomes free for the start, unless the
  // runs that end by themselves can't make enough of it.
  static void ReserveLimit(TrackedAccount* account, const Start& start);
  static void EndLimitReservation(TrackedAccount* account,
                                  const TaskName& step);

  // Call before a pass that tries all steps, whose order depends on the shares.
  void Update(const TrackedWorkers& workers,
              const ReadySteps& ready,
              MonotonicTime now);
  std::vector<AccountReport> Report(const ReadySteps& ready) const;

 private:
  static constexpr int64_t kLimitLinesPerSecond = 20;

  using Accounts =
      std::map<std::string, std::shared_ptr<TrackedAccount>, std::less<>>;

  void UpdateShares(const TrackedWorkers& workers, const ReadySteps& ready);
  void UpdateLimits();
  // Forgets accounts that are not configured and have no job and no run.
  void EraseUnused();

  Accounts accounts_;
  std::optional<int64_t> configured_version_;
  bool has_accounts_ = false;
  EarlierAccountRuns earlier_runs_;
  std::vector<std::pair<MonotonicTime, std::shared_ptr<const AccountCharge>>>
      timed_charges_;
  LogRateLimit limit_lines_{kLimitLinesPerSecond};
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_ACCOUNT_LEDGER_H_
