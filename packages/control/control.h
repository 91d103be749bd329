#ifndef PACKAGES_CONTROL_CONTROL_H_
#define PACKAGES_CONTROL_CONTROL_H_

// Public header of the control package: the replicated job queues of a cluster,
// the requests that callers, operators and workers send to their leader, and
// the relay that forwards these requests.

#include "packages/control/account_directory.h"
#include "packages/control/account_listing.h"
#include "packages/control/call_authorizer.h"
#include "packages/control/control_names.h"
#include "packages/control/control_service.h"
#include "packages/control/dispatch_load.h"
#include "packages/control/dispatch_loop.h"
#include "packages/control/leader_relay.h"
#include "packages/control/order_confirmation.h"
#include "packages/control/order_revision.h"
#include "packages/control/registration_check.h"
#include "packages/control/relayed_message.h"
#include "packages/control/replicated_queue.h"

#endif  // PACKAGES_CONTROL_CONTROL_H_
