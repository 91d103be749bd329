#ifndef PACKAGES_CALLER_CALLER_HEADERS_H_
#define PACKAGES_CALLER_CALLER_HEADERS_H_

#include <httplib.h>

#include "packages/caller/caller_request.h"

namespace bramleyrail {

// Reads and checks the path and headers of a caller's request; every fault is
// reported. The id is made when the caller gives none.
Result<CallerRequest> ReadCallerRequest(const httplib::Request& request);

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_CALLER_HEADERS_H_
