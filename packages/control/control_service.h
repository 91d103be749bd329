#ifndef PACKAGES_CONTROL_CONTROL_SERVICE_H_
#define PACKAGES_CONTROL_CONTROL_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "packages/control/dispatch_loop.h"
#include "packages/control/replicated_queue.h"
#include "packages/http/http.h"

namespace bramleyrail {

// State of a job as its submitter sees it.
enum class JobView { kQueued, kRunning, kCompleted, kFailed, kCancelled };

// What a worker says of itself at one moment.
struct WorkerHeartbeat {
  WorkerRegistration registration;
  int64_t clock_ms = 0;
  int64_t sequence = 0;  // Rises with each heartbeat of one life.
};

// What callers, operators and workers ask of the leader. All calls from the
// thread of the loop, which also runs the callbacks. Errors: kNotFound for an
// unknown queue or wave, kInvalidArgument, kUnavailable when this instance
// does not lead or certainly did nothing, kOutcomeUnknown.
class ControlService {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  // A queue is named by the host and the path of the call.
  struct QueuePath {
    std::string host;
    std::string path;
  };

  ControlService(IoLoop* loop, ReplicatedQueue* queue, DispatchLoop* dispatch);
  ~ControlService();

  // This instance leads and has taken over.
  bool leads() const { return dispatch_->dispatcher() != nullptr; }

  // The rest of the path after the queue's prefix is the id of the job.
  void Submit(const QueuePath& path,
              JobSpecification job,
              Callback<void> callback);
  // nullopt when no such job is known.
  void ReadJob(const QueuePath& path,
               const Callback<std::optional<JobView>>& callback);
  // False when no such job is known.
  void Cancel(const QueuePath& path, Callback<bool> callback);
  // Jobs of the queue that wait for their first start. The path is the prefix.
  void CountPending(const QueuePath& path, const Callback<int64_t>& callback);

  void ReplaceConfiguration(QueueConfiguration configuration,
                            Callback<void> callback);
  // The text of the newest configuration, certainly not an older one.
  void ReadConfiguration(Callback<std::string> callback);
  void SetEvacuated(std::string failure_domain,
                    bool evacuated,
                    Callback<void> callback);
  void HandleHeartbeat(WorkerHeartbeat heartbeat, Callback<void> callback);
  void RemoveWorker(std::string id, Callback<void> callback);
  void StartWave(UpkeepWave wave, Callback<void> callback);
  // Whether the wave is completed.
  void ReadWave(int64_t number, Callback<bool> callback);

 private:
  struct Place {
    JobQueue queue;
    std::string job;  // Empty: the queue itself.
  };

  Result<Place> FindPlace(const QueuePath& path) const;
  bool IsLeaderNow() const;
  // Runs the callback on the loop with the outcome of a command.
  void Propose(QueueCommandBody body, Callback<QueueOutcome> callback);

  IoLoop* const loop_;
  ReplicatedQueue* const queue_;
  DispatchLoop* const dispatch_;
  const std::shared_ptr<bool> alive_;
  // Newest heartbeat of each worker: start of its life and sequence.
  std::map<std::string, std::pair<int64_t, int64_t>> heartbeats_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_CONTROL_SERVICE_H_
