#ifndef PACKAGES_QUEUE_WORKER_REGISTRATION_H_
#define PACKAGES_QUEUE_WORKER_REGISTRATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "packages/state/state.h"

namespace bramleyrail {

// The description of a worker in its heartbeats. The id and the time of the
// start identify one incarnation of a worker.
struct WorkerRegistration {
  std::string id;
  int64_t started_unix_ms = 0;
  std::string machine;  // Empty: not reported.
  std::string address;  // Host and port, such as "10.0.0.1:8080".
  std::string pool;
  std::string failure_domain;
  std::vector<std::string> labels;  // The kind of the worker, then its rack.
  ResourceAmounts capacity;
  bool draining = false;

  bool operator==(const WorkerRegistration&) const = default;
};

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_WORKER_REGISTRATION_H_
