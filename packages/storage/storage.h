#ifndef PACKAGES_STORAGE_STORAGE_H_
#define PACKAGES_STORAGE_STORAGE_H_

// Public header of the storage package: the durable state of one replica.

#include "packages/storage/disk.h"
#include "packages/storage/posix_disk.h"
#include "packages/storage/replica_store.h"

#endif  // PACKAGES_STORAGE_STORAGE_H_
