#ifndef PACKAGES_CONTROL_CONTROL_SERVICE_H_
#define PACKAGES_CONTROL_CONTROL_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "packages/control/call_authorizer.h"
#include "packages/control/dispatch_loop.h"
#include "packages/control/replicated_queue.h"
#include "packages/http/http.h"

namespace bramleyrail {

// State of a job as reported to its submitter.
enum class JobStatus { kQueued, kRunning, kCompleted, kFailed, kCancelled };

// Answer to a submitted job.
struct SubmitAnswer {
  // Set when the job was rejected for want of room and is not stored: when the
  // caller may submit it again.
  std::optional<Milliseconds> retry_after;
};

// Contents of a worker's heartbeat.
struct WorkerHeartbeat {
  WorkerRegistration registration;
  int64_t clock_ms = 0;
  int64_t sequence = 0;  // Increases with each heartbeat of one incarnation.
};

// Handles the requests of callers, operators and workers on the leader. All
// methods must be called on the thread of the loop, which also runs the
// callbacks. Errors: kNotFound for an unknown queue or wave, kInvalidArgument,
// kUnavailable when this instance does not lead or is known to have done
// nothing, kOutcomeUnknown.
class ControlService {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  // The host and the path of a call identify its queue.
  struct QueuePath {
    std::string host;
    std::string path;
  };

  // Workers are registered only from these failure domains; empty: from any.
  ControlService(IoLoop* loop,
                 ReplicatedQueue* queue,
                 DispatchLoop* dispatch,
                 std::set<std::string> failure_domains);
  ~ControlService();

  // True when this instance leads and has taken over.
  bool leads() const { return dispatch_->dispatcher() != nullptr; }

  // Decides whether a call of a client may be executed; every other method for
  // callers is for calls that were allowed.
  Result<CallAuthorization> Authorize(const QueuePath& path,
                                      const CallerCredentials& credentials);
  uint64_t refused_calls(CallRefusal refusal) const {
    return authorizer_.refusals(refusal);
  }

  // Submits a job for an account; empty: none. The part of the path after the
  // queue's prefix is the id of the job.
  void Submit(const QueuePath& path,
              std::string account,
              JobSpecification job,
              Callback<SubmitAnswer> callback);
  // Passes nullopt when the job is unknown.
  void ReadJob(const QueuePath& path,
               const Callback<std::optional<JobStatus>>& callback);
  // Passes false when the job is unknown.
  void Cancel(const QueuePath& path, Callback<bool> callback);
  // Counts the jobs of the queue that wait for their first start. The path is
  // the queue's prefix.
  void CountPending(const QueuePath& path, const Callback<int64_t>& callback);

  void ReplaceConfiguration(QueueConfiguration configuration,
                            Callback<void> callback);
  // Reads the text of the newest configuration. A superseded leader never
  // passes an older one.
  void ReadConfiguration(Callback<std::string> callback);
  // Passes the accounts of the configuration in force; see ListAccounts().
  void ReadAccounts(const Callback<Json>& callback) const;
  // Pass the revisions that SetEvacuated() and RemoveWorker() expect.
  void ReadEvacuationRevision(const std::string& failure_domain,
                              const Callback<int64_t>& callback);
  void ReadWorkerRevision(const std::string& id,
                          const Callback<int64_t>& callback);
  // kConflict when the revision is not the expected one any more.
  void SetEvacuated(std::string failure_domain,
                    bool evacuated,
                    std::optional<int64_t> expected_revision,
                    Callback<void> callback);
  void HandleHeartbeat(WorkerHeartbeat heartbeat, Callback<void> callback);
  // Removes the incarnation of the worker that had the expected revision; any
  // one without a revision.
  void RemoveWorker(std::string id,
                    std::optional<int64_t> expected_revision,
                    Callback<void> callback);
  void StartWave(MaintenanceWave wave, Callback<void> callback);
  // Passes whether the wave is completed.
  void ReadWave(int64_t number, Callback<bool> callback);

 private:
  struct QueueLocation {
    JobQueue queue;
    std::string job;  // Job id; empty: the path names only the queue.
  };

  Result<QueueLocation> FindQueueLocation(const QueuePath& path) const;
  bool IsLeaderNow() const;
  // Proposes a command and runs the callback on the loop with its outcome.
  void Propose(QueueCommandBody body, Callback<QueueOutcome> callback);

  IoLoop* const loop_;
  ReplicatedQueue* const queue_;
  DispatchLoop* const dispatch_;
  const std::set<std::string> failure_domains_;
  const std::shared_ptr<bool> alive_;
  CallAuthorizer authorizer_;
  // Start of the incarnation and sequence number of each worker's newest
  // heartbeat.
  std::map<std::string, std::pair<int64_t, int64_t>> heartbeats_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_CONTROL_SERVICE_H_
