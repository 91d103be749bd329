#ifndef PACKAGES_QUEUE_QUEUE_CONFIGURATION_H_
#define PACKAGES_QUEUE_QUEUE_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "packages/base/base.h"
#include "packages/queue/client_account.h"

namespace bramleyrail {

// Timing of an external adviser that decides which workers may run a step of
// the queue.
struct PlacementAdvice {
  int64_t decide_ms = 0;
  int64_t per_worker_ms = 0;
  int64_t ticket_valid_ms = 0;
};

// A queue that callers address by host and path. The queue with the longest
// matching path prefix gets the job.
struct JobQueue {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string pool;  // Name of the pool of workers that run the tasks.
  int64_t timeout_ms = 0;
  int64_t priority = 0;  // 0 is the highest priority.
  int64_t maximum_attempts = 1;
  // Objective for the duration of a job: `stretch_factor` times the estimated
  // duration of its longest chain of steps, plus `target_latency_ms`.
  double stretch_factor = 1;
  int64_t target_latency_ms = 0;
  std::optional<PlacementAdvice> advice;
  // Calls need no key of a client account.
  bool is_public = false;
};

struct WorkerPool {
  std::string name;
  std::string health_path;
  // The workers reject runs that exceed their capacity.
  bool refuses_overcommitment = true;
  bool standby = false;
};

// One version of the configuration that operators submit.
struct QueueConfiguration {
  int64_t version = 0;
  std::string text;  // The submitted text, returned to operators unchanged.
  std::vector<JobQueue> queues;
  std::vector<WorkerPool> pools;
  // Empty: calls need no key, and no account limits their jobs.
  std::vector<ClientAccount> accounts;

  const JobQueue* FindQueue(std::string_view host, std::string_view path) const;
  const JobQueue* FindQueueByName(std::string_view name) const;
  const WorkerPool* FindPool(std::string_view name) const;
  const ClientAccount* FindAccount(std::string_view name) const;
};

// Rejects an unknown pool, two queues with the same host and prefix, a timeout
// that is not above 0, and the faults of CheckAccounts().
Result<void> ValidateQueues(const QueueConfiguration& configuration);

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_QUEUE_CONFIGURATION_H_
