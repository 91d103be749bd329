#ifndef PACKAGES_WORKER_WORKER_VIEW_H_
#define PACKAGES_WORKER_WORKER_VIEW_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "packages/state/state.h"

namespace bramleyrail {

// One attempt that a worker should hold.
struct DesiredEntry {
  std::string task_id;
  int64_t attempt = 0;
  DesiredAttemptState desired = DesiredAttemptState::kRun;
  ResourceAmounts size;
  std::string payload;
  std::string checkpoint;  // To resume from; empty: start anew.
  bool checkpointable = false;
  PartitionBehaviour when_partitioned = PartitionBehaviour::kStop;
};

// What the local state says about one boot of a worker.
struct WorkerView {
  int64_t revision = 0;
  uint64_t version = 0;  // Of everything that the worker acts on.
  bool registered = false;
  bool suspended = false;
  bool may_start = false;  // Registered; not drained, suspended, on probation.
  std::vector<DesiredEntry> attempts;
};

// Version of the view, without building it.
uint64_t WorkerVersion(const ClusterState& state,
                       std::string_view worker,
                       std::string_view boot_id);

WorkerView MakeWorkerView(const ClusterState& state,
                          std::string_view worker,
                          std::string_view boot_id);

}  // namespace bramleyrail

#endif  // PACKAGES_WORKER_WORKER_VIEW_H_
