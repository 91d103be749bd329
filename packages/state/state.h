#ifndef PACKAGES_STATE_STATE_H_
#define PACKAGES_STATE_STATE_H_

// Public header of the state package: the resource types, the commands, and
// the replicated state machine that applies the commands.

#include "packages/state/claim.h"
#include "packages/state/cluster_state.h"
#include "packages/state/command.h"
#include "packages/state/dominant_share.h"
#include "packages/state/resource.h"
#include "packages/state/shared_text.h"
#include "packages/state/state_access.h"
#include "packages/state/task.h"

#endif  // PACKAGES_STATE_STATE_H_
