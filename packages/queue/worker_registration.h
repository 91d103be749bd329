#ifndef PACKAGES_QUEUE_WORKER_REGISTRATION_H_
#define PACKAGES_QUEUE_WORKER_REGISTRATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "packages/state/state.h"

namespace bramleyrail {

// What a worker says of itself in its heartbeats. One life of a worker is its
// id together with the time of its start.
struct WorkerRegistration {
  std::string id;
  int64_t started_unix_ms = 0;
  std::string machine;  // Empty when the worker does not name it.
  std::string address;  // "10.0.0.1:8080".
  std::string pool;
  std::string failure_domain;
  std::vector<std::string> labels;  // Its kind and its rack.
  ResourceAmounts capacity;
  bool draining = false;

  bool operator==(const WorkerRegistration&) const = default;
};

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_WORKER_REGISTRATION_H_
