#ifndef PACKAGES_OPERATOR_OPERATOR_H_
#define PACKAGES_OPERATOR_OPERATOR_H_

// Public header of the operator package: the HTTP interface for operators, as
// described in docs/interfaces/operators.md.

#include "packages/operator/instance_status.h"
#include "packages/operator/live_target.h"
#include "packages/operator/operator_events.h"
#include "packages/operator/operator_server.h"

#endif  // PACKAGES_OPERATOR_OPERATOR_H_
