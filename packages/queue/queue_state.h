#ifndef PACKAGES_QUEUE_QUEUE_STATE_H_
#define PACKAGES_QUEUE_QUEUE_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "packages/queue/queue_command.h"

namespace bramleyrail {

enum class JobOutcome : uint8_t { kOpen, kCompleted, kFailed, kCancelled };

// What is durable about a task that has ended at least once.
struct TaskProgress {
  bool done = false;
  // Runs that failed. A leader may record an end that an earlier one recorded
  // just before it was lost, so each run counts once.
  std::vector<uint64_t> failed_runs;
  uint64_t checkpoint_run = 0;  // The run that gave the checkpoint.
  std::string checkpoint;       // Empty: none.
};

struct QueuedJob {
  std::string id;
  std::string queue;
  std::string pool;
  int64_t maximum_attempts = 1;
  int64_t priority = 0;
  double stretch_factor = 1;
  int64_t target_latency_ms = 0;
  JobSpecification job;
  int64_t submitted_unix_ms = 0;
  int64_t ended_unix_ms = 0;
  JobOutcome outcome = JobOutcome::kOpen;
  // Tasks without an entry have never ended. The failures of a gang stand with
  // its first member. Freed when the job ends.
  std::map<TaskName, TaskProgress> progress;
  int64_t tasks_left = 0;  // That are not done.
};

// The replicated state of the job queues. Commands are applied in the order of
// the log and depend on nothing else.
class QueueState {
 public:
  QueueOutcome Apply(const QueueCommand& command);

  const QueueConfiguration& configuration() const { return configuration_; }
  bool IsEvacuated(const std::string& failure_domain) const {
    return evacuated_.contains(failure_domain);
  }
  const std::set<std::string>& evacuated() const { return evacuated_; }
  const std::map<std::string, WorkerRegistration>& workers() const {
    return workers_;
  }
  const std::map<std::string, std::shared_ptr<QueuedJob>>& jobs() const {
    return jobs_;
  }
  const QueuedJob* FindJob(const std::string& id) const;
  const std::map<int64_t, UpkeepWave>& waves() const { return waves_; }
  int64_t leadership() const { return leadership_; }

  std::vector<std::byte> EncodeSnapshot() const;
  // kDataLoss when the bytes are no snapshot of this version.
  static Result<std::unique_ptr<QueueState>> FromSnapshot(
      std::span<const std::byte> data);

 private:
  QueueOutcome Handle(const BeginLeadership& command, int64_t unix_ms);
  QueueOutcome Handle(const ReplaceConfiguration& command, int64_t unix_ms);
  QueueOutcome Handle(const SetEvacuated& command, int64_t unix_ms);
  QueueOutcome Handle(const PutWorker& command, int64_t unix_ms);
  QueueOutcome Handle(const RemoveWorker& command, int64_t unix_ms);
  QueueOutcome Handle(const SubmitJob& command, int64_t unix_ms);
  QueueOutcome Handle(const CancelQueuedJob& command, int64_t unix_ms);
  QueueOutcome Handle(const RecordRunEnds& command, int64_t unix_ms);
  QueueOutcome Handle(const ForgetJobsBefore& command, int64_t unix_ms);
  QueueOutcome Handle(const StartWave& command, int64_t unix_ms);
  QueueOutcome Handle(const FinishWaveMachine& command, int64_t unix_ms);
  QueueOutcome Handle(const ReadBarrier& command, int64_t unix_ms);
  void Record(const TaskRunEnd& end, QueuedJob* job, int64_t unix_ms);
  static void MarkDone(const TaskName& task, QueuedJob* job);
  static void EndJob(QueuedJob* job, JobOutcome outcome, int64_t unix_ms);

  int64_t leadership_ = 0;
  QueueConfiguration configuration_;
  std::set<std::string> evacuated_;
  std::map<std::string, WorkerRegistration> workers_;
  std::map<std::string, std::shared_ptr<QueuedJob>> jobs_;
  std::map<int64_t, UpkeepWave> waves_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_QUEUE_STATE_H_
