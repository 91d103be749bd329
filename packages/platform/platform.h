#ifndef PACKAGES_PLATFORM_PLATFORM_H_
#define PACKAGES_PLATFORM_PLATFORM_H_

// Public header of the platform package: the edge that workers poll, and the
// encoding of their reports on the way to the leader.

#include "packages/platform/platform_server.h"
#include "packages/platform/report_codec.h"

#endif  // PACKAGES_PLATFORM_PLATFORM_H_
