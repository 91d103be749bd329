#ifndef PACKAGES_WORKER_WORKER_H_
#define PACKAGES_WORKER_WORKER_H_

// Public header of the worker package: the edge that workers poll, and the
// encoding of their reports on the way to the leader.

#include "packages/worker/report_codec.h"
#include "packages/worker/worker_server.h"

#endif  // PACKAGES_WORKER_WORKER_H_
