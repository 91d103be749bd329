#ifndef PACKAGES_REPLICATION_REPLICATION_H_
#define PACKAGES_REPLICATION_REPLICATION_H_

// Public header of the replication package: the replicated log of an instance,
// built on the packages consensus and storage.

#include "packages/replication/replica.h"
#include "packages/replication/replica_status.h"
#include "packages/replication/replication_events.h"

#endif  // PACKAGES_REPLICATION_REPLICATION_H_
