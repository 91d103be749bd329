#include "packages/dispatch/account_ledger.h"

#include <utility>

#include "packages/dispatch/dispatch_events.h"

namespace bramleyrail {

namespace {

// A pass that ends early does not try all steps. A step that none of this many
// has tried may have ended.
constexpr int kMaximumReservationUpdates = 10;
// A reservation holds back other tasks of the account for about 2 s, and the
// next one follows after as long a pause: the runs that have to end for it may
// go on for hours, and long-running tasks must not stand for 3 s.
constexpr int kMaximumReservationAge = 26;

}  // namespace

void AccountLedger::Configure(const QueueConfiguration& configuration) {
  if (configured_version_ == configuration.version) {
    return;
  }
  configured_version_ = configuration.version;
  has_accounts_ = !configuration.accounts.empty();
  for (const ClientAccount& settings : configuration.accounts) {
    (void)Find(settings.name);
  }
  for (const auto& [name, account] : accounts_) {
    account->Configure(configuration.FindAccount(name));
    if (!has_accounts_) {
      account->SetShare(0, {});
    }
  }
}

std::shared_ptr<TrackedAccount> AccountLedger::Find(const std::string& name) {
  std::shared_ptr<TrackedAccount>& account = accounts_[name];
  if (account == nullptr) {
    account = std::make_shared<TrackedAccount>(name);
  }
  return account;
}

std::shared_ptr<const AccountCharge> AccountLedger::Charge(
    const std::shared_ptr<TrackedAccount>& account,
    const JobStep& step) const {
  // A configuration that brings the account back may follow.
  if (account == nullptr || (!has_accounts_ && account->name().empty())) {
    return nullptr;
  }
  return std::make_shared<const AccountCharge>(account, step.size,
                                               step.long_running);
}

void AccountLedger::ChargeUntil(MonotonicTime until,
                                const std::shared_ptr<TrackedAccount>& account,
                                const JobStep& step) {
  if (auto charge = Charge(account, step)) {
    timed_charges_.emplace_back(until, std::move(charge));
  }
}

void AccountLedger::UpdateEarlierRuns(const TrackedWorkers& workers,
                                      bool resolved) {
  if (earlier_runs_.has_ended()) {
    return;
  }
  const ResourceAmounts silent = EarlierAccountRuns::SilentCapacity(workers);
  for (const auto& [name, account] : accounts_) {
    account->unreported =
        resolved ? ResourceAmounts{} : earlier_runs_.BoundFor(name, silent);
  }
  if (resolved) {
    earlier_runs_.End();
  }
}

void AccountLedger::ChargeRunOfEndedJob(const TaskName& task, TrackedRun* run) {
  const auto job = earlier_runs_.FindEndedJob(task.job.View());
  if (job != nullptr &&
      task.step < static_cast<int64_t>(job->specification.steps.size())) {
    run->charge =
        Charge(Find(job->account), job->specification.steps[task.step]);
  }
}

AccountLedger::Start AccountLedger::StartOf(const TrackedJob& job,
                                            const TaskName& task) {
  const JobStep& step = job.step(task);
  Start start{task, job.job().priority, step.size};
  start.step.index = 0;
  if (step.gang) {
    start.size.processor_millis *= step.tasks;
    start.size.memory_mib *= step.tasks;
    start.size.accelerators *= step.tasks;
  }
  return start;
}

bool AccountLedger::HasRoom(const TrackedAccount& account,
                            const Start& start) const {
  if (!has_accounts_) {
    return true;
  }
  ResourceAmounts reserved = account.reserved();
  reserved += account.unreported;
  reserved += start.size;
  const auto& kept = account.limit_reservation;
  if (kept && kept->step != start.step && kept->priority <= start.priority) {
    reserved += kept->size;
  }
  return account.Allows(reserved);
}

bool AccountLedger::NoteLimitReached(TrackedAccount* account,
                                     const TaskName& task,
                                     MonotonicTime now) {
  const bool is_new = !account->limit_reached && !account->limit_reached_before;
  account->limit_reached = true;
  if (is_new && limit_lines_.Allow(now)) {
    const ResourceAmounts& used = account->reserved();
    const ResourceAmounts& limit = account->limit();
    LogEvent(kAccountLimitReached,
             {{"account", account->name()},
              {"task", task.ToString()},
              {"used_millis", used.processor_millis},
              {"limit_millis", limit.processor_millis},
              {"used_mib", used.memory_mib},
              {"limit_mib", limit.memory_mib},
              {"used_accelerators", used.accelerators},
              {"limit_accelerators", limit.accelerators},
              {"unreported_millis", account->unreported.processor_millis},
              {"suppressed", limit_lines_.TakeSuppressed()}});
  }
  return is_new;
}

void AccountLedger::ReserveLimit(TrackedAccount* account, const Start& start) {
  std::optional<LimitReservation>& reservation = account->limit_reservation;
  if (reservation && reservation->step == start.step) {
    reservation->updates = 0;
    return;
  }
  if (account->reservation_pause > 0) {
    return;
  }
  ResourceAmounts least = account->reserved_for_long();
  least += account->unreported;
  least += start.size;
  if (!reservation && account->Allows(least)) {
    reservation = {start.step, start.priority, start.size};
  }
}

void AccountLedger::EndLimitReservation(TrackedAccount* account,
                                        const TaskName& step) {
  if (account->limit_reservation && account->limit_reservation->step == step) {
    account->limit_reservation.reset();
  }
}

void AccountLedger::Update(const TrackedWorkers& workers,
                           const ReadySteps& ready,
                           MonotonicTime now) {
  std::erase_if(timed_charges_,
                [now](const auto& item) { return item.first <= now; });
  if (!has_accounts_) {
    return;
  }
  EraseUnused();
  UpdateShares(workers, ready);
  UpdateLimits();
}

void AccountLedger::EraseUnused() {
  std::erase_if(accounts_, [](const auto& item) {
    return item.second.use_count() == 1 && !item.second->is_configured();
  });
}

void AccountLedger::UpdateShares(const TrackedWorkers& workers,
                                 const ReadySteps& ready) {
  ResourceAmounts total;
  for (const auto& [id, worker] : workers) {
    if (!worker->deregistered) {
      total += worker->registration().capacity;
    }
  }
  for (const auto& [name, account] : accounts_) {
    account->has_ready_tasks = false;
  }
  for (const ReadySteps::Map* steps :
       {&ready.steps(), &ready.deferred_steps()}) {
    for (const auto& [key, job] : *steps) {
      job->account->has_ready_tasks = true;
    }
  }
  // Among the accounts of one priority that run or wait for something.
  const auto is_active = [](const TrackedAccount& account) {
    return account.has_ready_tasks || account.reserved() != ResourceAmounts{};
  };
  std::map<int64_t, int64_t> weights;
  for (const auto& [name, account] : accounts_) {
    if (is_active(*account)) {
      weights[account->priority()] += account->weight();
    }
  }
  for (const auto& [name, account] : accounts_) {
    const double entitlement =
        is_active(*account)
            ? static_cast<double>(account->weight()) /
                  static_cast<double>(weights[account->priority()])
            : 1;
    account->SetShare(entitlement, total);
  }
}

void AccountLedger::UpdateLimits() {
  for (const auto& [name, account] : accounts_) {
    account->limit_reached_before =
        std::exchange(account->limit_reached, false);
    if (account->reservation_pause > 0) {
      --account->reservation_pause;
    }
    if (!account->limit_reservation) {
      continue;
    }
    LimitReservation& reservation = *account->limit_reservation;
    if (++reservation.age > kMaximumReservationAge) {
      account->limit_reservation.reset();
      account->reservation_pause = kMaximumReservationAge;
    } else if (++reservation.updates > kMaximumReservationUpdates) {
      account->limit_reservation.reset();
    }
  }
}

std::vector<AccountReport> AccountLedger::Report(
    const ReadySteps& ready) const {
  std::map<const TrackedAccount*, AccountReport> waiting;
  for (const ReadySteps::Map* steps :
       {&ready.steps(), &ready.deferred_steps()}) {
    for (const auto& [key, job] : *steps) {
      const TaskName first{key.job, key.occurrence, key.step, 0};
      AccountReport& report = waiting[job->account.get()];
      const auto tasks =
          static_cast<int64_t>(job->step_record(first).ready_tasks.size());
      if (!HasRoom(*job->account, StartOf(*job, first))) {
        report.waiting_for_limit += tasks;
      } else if (job->account->rank().share_level > 0) {
        report.waiting_for_share += tasks;
      } else {
        report.waiting_for_room += tasks;
      }
    }
  }
  std::vector<AccountReport> reports;
  for (const auto& [name, account] : accounts_) {
    if (name.empty()) {
      continue;
    }
    AccountReport& report = reports.emplace_back(waiting[account.get()]);
    report.account = name;
    report.limit = account->limit();
    report.used = account->reserved();
    report.weight = account->weight();
    report.share = account->Share();
  }
  return reports;
}

}  // namespace bramleyrail
