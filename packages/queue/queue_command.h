#ifndef PACKAGES_QUEUE_QUEUE_COMMAND_H_
#define PACKAGES_QUEUE_QUEUE_COMMAND_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "packages/queue/job_specification.h"
#include "packages/queue/maintenance_wave.h"
#include "packages/queue/queue_configuration.h"
#include "packages/queue/run_placement.h"
#include "packages/queue/task_name.h"
#include "packages/queue/worker_registration.h"

namespace bramleyrail {

// The first command of a leader. Its outcome carries the new leader epoch.
struct BeginLeadership {
  std::string instance;
  // The leader records each start of a long-running task with RecordPlacements
  // before it orders it.
  bool records_placements = false;
  // The longest lease that the leader grants; 0: unknown.
  int64_t longest_lease_ms = 0;
};

// Takes effect when the version is higher than the current one.
struct ReplaceConfiguration {
  QueueConfiguration configuration;
};

// Has no effect when the evacuations of the failure domain do not have the
// expected revision any more: another order was carried out meanwhile.
struct SetEvacuated {
  std::string failure_domain;
  bool evacuated = false;
  std::optional<int64_t> expected_revision;
};

// Adds an incarnation of a worker or updates its registration.
struct PutWorker {
  WorkerRegistration registration;
};

// The worker is known as withdrawn until a leader knows that it runs nothing.
struct RemoveWorker {
  std::string id;
  int64_t started_unix_ms = 0;  // 0: any incarnation.
};

// Adds a job. Has no effect when a job with the id exists.
struct SubmitJob {
  std::string id;
  std::string queue;
  std::string pool;
  int64_t maximum_attempts = 1;
  int64_t priority = 0;
  double stretch_factor = 1;
  int64_t target_latency_ms = 0;
  JobSpecification specification;
  std::string account;  // Of the submitter; empty: none.
};

struct CancelQueuedJob {
  std::string id;
};

enum class RunOutcome : uint8_t {
  kDone,
  kFailed,  // Counts as an attempt.
  // The run was stopped, its lease expired, or another member of its gang
  // ended.
  kInterrupted,
  // The worker crashed while the run was on it, as did other runs there that
  // may have caused this.
  kCrashSuspected,
  // The worker crashed, and no other run had started there recently.
  kCrashAttributed,
};

struct FinishedRun {
  TaskName task;
  uint64_t run = 0;
  RunOutcome outcome = RunOutcome::kInterrupted;
  std::string checkpoint;  // Empty: none.
};

struct RecordFinishedRuns {
  std::vector<FinishedRun> finished_runs;
};

// Runs of long-running tasks that the leader is about to start, and those that
// are known to have ended without a report. Has no effect once a later leader
// has begun.
struct RecordPlacements {
  int64_t leader_epoch = 0;
  PlacementList placements;
};

// Deletes jobs that ended before the time.
struct PurgeJobsEndedBefore {
  int64_t unix_ms = 0;
};

struct StartWave {
  MaintenanceWave wave;
};

struct FinishMachineMaintenance {
  int64_t wave = 0;
  std::string machine;
};

// Has no effect. Once it is applied, the state contains every command that was
// acknowledged before it was proposed.
struct ReadBarrier {
  int64_t unused = 0;
};

// The withdrawn workers run no task any more. Has no effect once a later leader
// has begun: it may have followed them as registered again.
struct ForgetWithdrawnWorkers {
  int64_t leader_epoch = 0;
  std::vector<WorkerIncarnation> workers;
};

// Runs that may have crashed a worker, which refuses connections, as they count
// once its process is known to have ended; none: it is not suspected any more.
struct SuspectedRuns {
  WorkerIncarnation worker;
  std::vector<FinishedRun> runs;
};

// Has no effect once a later leader has begun.
struct RecordSuspectedRuns {
  int64_t leader_epoch = 0;
  std::vector<SuspectedRuns> workers;
};

using QueueCommandBody = std::variant<BeginLeadership,
                                      ReplaceConfiguration,
                                      SetEvacuated,
                                      PutWorker,
                                      RemoveWorker,
                                      SubmitJob,
                                      CancelQueuedJob,
                                      RecordFinishedRuns,
                                      PurgeJobsEndedBefore,
                                      StartWave,
                                      FinishMachineMaintenance,
                                      ReadBarrier,
                                      RecordPlacements,
                                      ForgetWithdrawnWorkers,
                                      RecordSuspectedRuns>;

struct QueueCommand {
  int64_t proposed_unix_ms = 0;
  QueueCommandBody body;
};

struct QueueOutcome {
  // The job, worker or wave of the command exists.
  bool found = false;
  // The command changed the state.
  bool changed = false;
  // The new leader epoch, after BeginLeadership; otherwise 0.
  int64_t leader_epoch = 0;
};

std::vector<std::byte> EncodeQueueCommand(const QueueCommand& command);
Result<QueueCommand> DecodeQueueCommand(std::span<const std::byte> data);
std::vector<std::byte> EncodeQueueOutcome(const QueueOutcome& outcome);
Result<QueueOutcome> DecodeQueueOutcome(std::span<const std::byte> data);

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_QUEUE_COMMAND_H_
