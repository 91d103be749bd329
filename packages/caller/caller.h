#ifndef PACKAGES_CALLER_CALLER_H_
#define PACKAGES_CALLER_CALLER_H_

// Public header of the caller package: the servers for callers and watches,
// the dispatcher of requests, and RequestPlane, which owns all parts of an
// instance that serve requests.

#include "packages/caller/caller_request.h"
#include "packages/caller/caller_server.h"
#include "packages/caller/peer_hooks.h"
#include "packages/caller/request_dispatcher.h"
#include "packages/caller/request_plane.h"

#endif  // PACKAGES_CALLER_CALLER_H_
