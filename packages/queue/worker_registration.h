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
  // Number of the heartbeat that first described the worker so; it rises with
  // each heartbeat of an incarnation.
  int64_t heartbeat_sequence = 0;

  bool operator==(const WorkerRegistration&) const = default;
};

// Whether both describe a worker alike, whatever heartbeat said so.
inline bool DescribeAlike(const WorkerRegistration& a, WorkerRegistration b) {
  b.heartbeat_sequence = a.heartbeat_sequence;
  return a == b;
}

// An incarnation of a worker that was drained and has left.
struct DepartedWorker {
  std::string id;
  int64_t started_unix_ms = 0;
  int64_t departed_unix_ms = 0;
};

// A worker that was withdrawn while its process may still run tasks under a
// lease: it goes on for some seconds when the acknowledgement is lost.
struct WithdrawnWorker {
  WorkerRegistration registration;
  // Its id had an earlier incarnation, whose orders it may have executed.
  bool restarted = false;
};

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_WORKER_REGISTRATION_H_
