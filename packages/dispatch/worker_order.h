#ifndef PACKAGES_DISPATCH_WORKER_ORDER_H_
#define PACKAGES_DISPATCH_WORKER_ORDER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "packages/queue/queue.h"

namespace bramleyrail {

// The life of a worker that an order is meant for.
struct WorkerAddress {
  std::string id;
  int64_t started_unix_ms = 0;
  std::string address;
};

struct StartOrder {
  TaskName task;
  uint64_t run = 0;
  std::string payload;
  int64_t lease_until_ms = 0;  // On the worker's clock.
  std::string checkpoint;      // Empty: from the beginning.
  std::string ticket;          // Empty: none is needed.
};

struct StopOrder {
  TaskName task;
  uint64_t run = 0;
};

// Limits a run to a share of its speed.
struct PaceOrder {
  TaskName task;
  uint64_t run = 0;
  int64_t percent = 100;
};

// Renews the lease and asks for what runs and what has ended.
struct LookOrder {
  std::optional<int64_t> lease_until_ms;  // On the worker's clock.
  int64_t ends_recorded = 0;  // The worker may forget the ends up to this.
  Milliseconds wait{0};       // For an end, when none is listed.
};

struct WorkerOrder {
  WorkerAddress worker;
  std::variant<StartOrder, StopOrder, PaceOrder, LookOrder> body;
};

enum class OrderOutcome {
  kAccepted,
  kFenced,       // A later leader has given orders there.
  kRunTooOld,    // That run, or a later one, was there already.
  kLeaseTooOld,  // The lease had ended when the order arrived.
  kNoRoom,
  kNoTicket,
  kInvalid,    // The worker cannot read the order.
  kUnhealthy,  // Nothing was done.
  kOtherLife,  // Another life of the worker, or another worker, answered.
  kNotSent,
  kNobodyListens,  // The connection was refused.
  kUnknown,        // May have been executed, or may still be.
};

std::string_view OrderOutcomeName(OrderOutcome outcome);

struct ListedRun {
  TaskName task;
  uint64_t run = 0;
  std::string checkpoint;
  int64_t percent = 0;  // Of the work; 100 for a long-running task at work.
  // Tail latency in milliseconds of a task with a target, otherwise the
  // thousandths of a core in use; over the last half second.
  std::optional<int64_t> load;
};

struct ListedEnd {
  int64_t number = 0;  // Counts the ends of this life from 1.
  TaskRunEnd end;
  std::string reason;  // The worker's word for the end, for the log.
};

struct LookAnswer {
  int64_t clock_ms = 0;  // The worker's own clock.
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_WORKER_ORDER_H_
