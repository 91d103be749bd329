#ifndef PACKAGES_DISPATCH_DISPATCH_H_
#define PACKAGES_DISPATCH_DISPATCH_H_

// Public header of the dispatch package: decides which task of a queued job
// runs on which worker and tracks the runs. No I/O, clocks or threads.

#include "packages/dispatch/dispatcher.h"
#include "packages/dispatch/worker_order.h"

#endif  // PACKAGES_DISPATCH_DISPATCH_H_
