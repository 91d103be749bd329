#ifndef PACKAGES_BASE_BASE_H_
#define PACKAGES_BASE_BASE_H_

// Public header of the base package: errors, results, clocks, identifiers, log
// events, checksums, and read-copy-update pointers.

#include "packages/base/assert.h"
#include "packages/base/cbor_array.h"
#include "packages/base/cbor_codec.h"
#include "packages/base/checksum.h"
#include "packages/base/clock.h"
#include "packages/base/error.h"
#include "packages/base/file_descriptor.h"
#include "packages/base/identifier.h"
#include "packages/base/json.h"
#include "packages/base/json_text.h"
#include "packages/base/latency_histogram.h"
#include "packages/base/log.h"
#include "packages/base/log_rate_limit.h"
#include "packages/base/metrics.h"
#include "packages/base/rcu_pointer.h"

#endif  // PACKAGES_BASE_BASE_H_
