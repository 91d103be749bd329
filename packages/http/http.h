#ifndef PACKAGES_HTTP_HTTP_H_
#define PACKAGES_HTTP_HTTP_H_

// Public header of the http package: what the HTTP servers of several edges
// have in common.

#include "packages/http/bounded_task_queue.h"
#include "packages/http/exclusive_port.h"

#endif  // PACKAGES_HTTP_HTTP_H_
