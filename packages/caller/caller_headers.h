#ifndef PACKAGES_CALLER_CALLER_HEADERS_H_
#define PACKAGES_CALLER_CALLER_HEADERS_H_

#include <httplib.h>

#include "packages/caller/caller_request.h"

namespace bramleyrail {

// Reads and validates the path and headers of a caller's request. The error
// lists every fault. Generates the request id if the caller sent none.
Result<CallerRequest> ReadCallerRequest(const httplib::Request& request);

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_CALLER_HEADERS_H_
