#ifndef PACKAGES_HTTP_HTTP_H_
#define PACKAGES_HTTP_HTTP_H_

// Public header of the http package: what the HTTP servers of several edges
// have in common.

#include "packages/http/async_http_client.h"
#include "packages/http/async_http_server.h"
#include "packages/http/bounded_task_queue.h"
#include "packages/http/connection_memory.h"
#include "packages/http/exclusive_port.h"
#include "packages/http/http_connection_pool.h"
#include "packages/http/http_message.h"
#include "packages/http/io_loop.h"

#endif  // PACKAGES_HTTP_HTTP_H_
