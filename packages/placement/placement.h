#ifndef PACKAGES_PLACEMENT_PLACEMENT_H_
#define PACKAGES_PLACEMENT_PLACEMENT_H_

// Public header of the placement package: the controller that the leader runs,
// the worker reports that it processes, and the placement policies.

#include "packages/placement/baselines.h"
#include "packages/placement/controller.h"
#include "packages/placement/fleet.h"
#include "packages/placement/interference_model.h"
#include "packages/placement/placement_policy.h"
#include "packages/placement/report_filter.h"
#include "packages/placement/worker_monitor.h"
#include "packages/placement/worker_report.h"

#endif  // PACKAGES_PLACEMENT_PLACEMENT_H_
