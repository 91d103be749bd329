#ifndef PACKAGES_CALLER_CALLER_H_
#define PACKAGES_CALLER_CALLER_H_

// Public header of the caller package: the HTTP servers for requests and
// watches of callers, the request dispatcher, and RequestService, which owns
// all parts of an instance that serve requests.

#include "packages/caller/caller_request.h"
#include "packages/caller/caller_server.h"
#include "packages/caller/peer_hooks.h"
#include "packages/caller/request_dispatcher.h"
#include "packages/caller/request_service.h"

#endif  // PACKAGES_CALLER_CALLER_H_
