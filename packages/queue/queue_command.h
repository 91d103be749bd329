#ifndef PACKAGES_QUEUE_QUEUE_COMMAND_H_
#define PACKAGES_QUEUE_QUEUE_COMMAND_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "packages/queue/job_specification.h"
#include "packages/queue/queue_configuration.h"
#include "packages/queue/task_name.h"
#include "packages/queue/upkeep_wave.h"
#include "packages/queue/worker_registration.h"

namespace bramleyrail {

// The first command of a leader; its outcome numbers the leader.
struct BeginLeadership {
  std::string instance;
};

// Takes effect when the version is higher than the current one.
struct ReplaceConfiguration {
  QueueConfiguration configuration;
};

struct SetEvacuated {
  std::string failure_domain;
  bool evacuated = false;
};

// Adds a life of a worker, or changes what it says of itself.
struct PutWorker {
  WorkerRegistration registration;
};

struct RemoveWorker {
  std::string id;
  int64_t started_unix_ms = 0;
};

// Keeps the first job of an id.
struct SubmitJob {
  std::string id;
  std::string queue;
  std::string pool;
  int64_t maximum_attempts = 1;
  int64_t priority = 0;
  double stretch_factor = 1;
  int64_t target_latency_ms = 0;
  JobSpecification job;
};

struct CancelQueuedJob {
  std::string id;
};

// How a run of a task ended.
enum class RunEnd : uint8_t {
  kDone,
  kFailed,       // Counts as an attempt.
  kInterrupted,  // Stopped, lease ended, or another member of the gang ended.
};

struct TaskRunEnd {
  TaskName task;
  uint64_t run = 0;
  RunEnd end = RunEnd::kInterrupted;
  std::string checkpoint;  // Empty: none.
};

struct RecordRunEnds {
  std::vector<TaskRunEnd> ends;
};

// Drops jobs that ended before the time.
struct ForgetJobsBefore {
  int64_t unix_ms = 0;
};

struct StartWave {
  UpkeepWave wave;
};

struct FinishWaveMachine {
  int64_t wave = 0;
  std::string machine;
};

// Has no effect; its outcome is the state after everything acknowledged before.
struct ReadBarrier {
  int64_t unused = 0;
};

using QueueCommandBody = std::variant<BeginLeadership,
                                      ReplaceConfiguration,
                                      SetEvacuated,
                                      PutWorker,
                                      RemoveWorker,
                                      SubmitJob,
                                      CancelQueuedJob,
                                      RecordRunEnds,
                                      ForgetJobsBefore,
                                      StartWave,
                                      FinishWaveMachine,
                                      ReadBarrier>;

struct QueueCommand {
  int64_t proposed_unix_ms = 0;
  QueueCommandBody body;
};

struct QueueOutcome {
  // The job, worker or wave that the command names is known.
  bool found = false;
  // The state differs from before.
  bool changed = false;
  // Number of the leader, of a BeginLeadership.
  int64_t leadership = 0;
};

std::vector<std::byte> EncodeQueueCommand(const QueueCommand& command);
Result<QueueCommand> DecodeQueueCommand(std::span<const std::byte> data);
std::vector<std::byte> EncodeQueueOutcome(const QueueOutcome& outcome);
Result<QueueOutcome> DecodeQueueOutcome(std::span<const std::byte> data);

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_QUEUE_COMMAND_H_
