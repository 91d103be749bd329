#ifndef PACKAGES_QUEUE_QUEUE_H_
#define PACKAGES_QUEUE_QUEUE_H_

// Public header of the queue package: jobs that callers submit to queues, and
// the replicated state that stores them.

#include "packages/queue/client_account.h"
#include "packages/queue/crash_limit.h"
#include "packages/queue/job_memory.h"
#include "packages/queue/job_specification.h"
#include "packages/queue/maintenance_wave.h"
#include "packages/queue/occurrence_set.h"
#include "packages/queue/queue_command.h"
#include "packages/queue/queue_configuration.h"
#include "packages/queue/queue_state.h"
#include "packages/queue/recorded_runs.h"
#include "packages/queue/run_placement.h"
#include "packages/queue/task_name.h"
#include "packages/queue/worker_registration.h"

#endif  // PACKAGES_QUEUE_QUEUE_H_
