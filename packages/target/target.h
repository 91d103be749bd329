#ifndef PACKAGES_TARGET_TARGET_H_
#define PACKAGES_TARGET_TARGET_H_

// Public header of the target package: the server on which targets announce
// themselves, the client that sends requests to targets, and the HTTP server
// and thread pool that the caller package uses as well.

#include "packages/target/bounded_thread_pool.h"
#include "packages/target/http_response.h"
#include "packages/target/http_server.h"
#include "packages/target/socket_stream.h"
#include "packages/target/target_client.h"
#include "packages/target/target_server.h"

#endif  // PACKAGES_TARGET_TARGET_H_
