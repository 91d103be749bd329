#ifndef PACKAGES_ROUTING_ROUTING_H_
#define PACKAGES_ROUTING_ROUTING_H_

// Public header of the routing package: target sessions and their capacity,
// selection of owners and targets, ejection, retry budgets, limits, the request
// table, and the messages of the routing channel. Pure: no I/O, no threads.

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
