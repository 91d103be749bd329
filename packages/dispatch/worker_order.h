#ifndef PACKAGES_DISPATCH_WORKER_ORDER_H_
#define PACKAGES_DISPATCH_WORKER_ORDER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "packages/queue/queue.h"

namespace bramleyrail {

// One incarnation of a worker, the recipient of an order. A process that
// started at another time is a different incarnation, even with the same id.
struct WorkerAddress {
  std::string id;
  int64_t started_unix_ms = 0;
  std::string address;
};

struct StartOrder {
  TaskName task;
  uint64_t run = 0;
  // Shared by the starts of a job; null: empty.
  std::shared_ptr<const JsonText> payload;
  int64_t lease_until_ms = 0;  // On the worker's clock.
  std::string checkpoint;      // Empty: start from the beginning.
  std::string ticket;          // Empty: the pool requires no ticket.
};

struct StopOrder {
  TaskName task;
  uint64_t run = 0;
};

// Limits a run to a share of the processor time that it requested.
struct CpuLimitOrder {
  TaskName task;
  uint64_t run = 0;
  int64_t cpu_limit_percent = 100;
};

// Renews the worker's lease and requests the lists of its running and its
// finished runs.
struct LeaseRenewalOrder {
  // On the worker's clock; nullopt leaves the lease as it is.
  std::optional<int64_t> lease_until_ms;
  // The worker may discard its finished runs up to this number.
  int64_t acknowledged_through = 0;
  // How long the worker may wait for a run to finish before it responds, when
  // it has no finished run to report.
  Milliseconds wait{0};
};

struct WorkerOrder {
  WorkerAddress worker;
  std::variant<StartOrder, StopOrder, CpuLimitOrder, LeaseRenewalOrder> body;
};

enum class OrderOutcome {
  kAccepted,
  kFenced,       // The worker has accepted orders of a newer leader.
  kRunTooOld,    // This run or a later run of the task has already ended.
  kLeaseTooOld,  // The lease had expired when the order arrived.
  kNoRoom,       // The worker lacks free capacity for the run.
  kNoTicket,     // The worker requires a valid ticket.
  kInvalid,      // The worker could not parse the order.
  kUnhealthy,    // The worker is unhealthy and did not execute the order.
  // Another worker has the address, so this one has ended.
  kWrongWorker,
  // A later incarnation of the worker responded. It executes orders that were
  // meant for an earlier one, since an order names only the id.
  kRestarted,
  kNotSent,
  kConnectionRefused,
  kUnknown,  // The order may have been executed, or may still be.
};

std::string_view OrderOutcomeName(OrderOutcome outcome);

struct ReportedRun {
  TaskName task;
  uint64_t run = 0;
  std::string checkpoint;
  // Share of the work that is done; 100 for a long-running task that is active.
  int64_t progress_percent = 0;
  // Tail latency in milliseconds for a task with a target latency, otherwise
  // the processor time in use, in thousandths of a core. Covers the last half
  // second.
  std::optional<int64_t> measurement;
};

struct ReportedFinishedRun {
  int64_t number = 0;  // Counts the finished runs of an incarnation from 1.
  FinishedRun finished_run;
  std::string reason;  // The worker's name for the outcome, for the log.
};

struct LeaseRenewalResponse {
  int64_t clock_ms = 0;  // The worker's clock when it responded.
  std::vector<ReportedRun> running;
  std::vector<ReportedFinishedRun> finished;
  // False when the worker listed an entry there that cannot be read: a run that
  // is missing in the list may be active, or have finished, nevertheless.
  bool running_complete = true;
  bool finished_complete = true;

  bool IsComplete() const { return running_complete && finished_complete; }
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_WORKER_ORDER_H_
