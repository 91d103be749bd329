#ifndef PACKAGES_ROUTING_ROUTING_H_
#define PACKAGES_ROUTING_ROUTING_H_

// Public header of the routing package: target sessions and their capacity,
// selection of owners and targets, ejection of failing targets, retry budgets,
// concurrency limits, the request table, and the messages of the routing
// channel between instances. The package does no I/O and starts no threads.
//
// The entry instance of a request is the one that accepts it from the caller.
// The owner of a target is the instance that holds the target's session; it
// sends the target its work.

#include "packages/routing/capacity_charge.h"
#include "packages/routing/concurrency_limits.h"
#include "packages/routing/monotonic_nanoseconds.h"
#include "packages/routing/request_table.h"
#include "packages/routing/retry_budget.h"
#include "packages/routing/routing_events.h"
#include "packages/routing/routing_message.h"
#include "packages/routing/routing_table.h"
#include "packages/routing/selection.h"
#include "packages/routing/target_health.h"
#include "packages/routing/target_session.h"

#endif  // PACKAGES_ROUTING_ROUTING_H_
