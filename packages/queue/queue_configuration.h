#ifndef PACKAGES_QUEUE_QUEUE_CONFIGURATION_H_
#define PACKAGES_QUEUE_QUEUE_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

// An outside adviser that says which workers may run a step of the queue.
struct PlacementAdvice {
  int64_t decide_ms = 0;
  int64_t per_worker_ms = 0;
  int64_t ticket_valid_ms = 0;
};

// Callers submit jobs to a queue by host and path; the longest prefix wins.
struct JobQueue {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string pool;  // The workers that run its tasks.
  int64_t timeout_ms = 0;
  int64_t priority = 0;  // 0 comes first.
  int64_t maximum_attempts = 1;
  // Objective of a job: the factor times its longest chain, plus the target.
  double stretch_factor = 1;
  int64_t target_latency_ms = 0;
  std::optional<PlacementAdvice> advice;
};

struct WorkerPool {
  std::string name;
  std::string health_path;
  // The workers refuse what does not fit.
  bool refuses_overcommitment = true;
  bool standby = false;
};

// One version of the operators' configuration.
struct QueueConfiguration {
  int64_t version = 0;
  std::string text;  // As it was sent, for reading it back.
  std::vector<JobQueue> queues;
  std::vector<WorkerPool> pools;

  const JobQueue* FindQueue(std::string_view host, std::string_view path) const;
  const JobQueue* FindQueueByName(std::string_view name) const;
  const WorkerPool* FindPool(std::string_view name) const;
};

// Refuses an unknown pool, two queues of one host and prefix, and a timeout of
// 0.
Result<void> ValidateQueues(const QueueConfiguration& configuration);

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_QUEUE_CONFIGURATION_H_
