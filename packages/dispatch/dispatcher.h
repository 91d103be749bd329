#ifndef PACKAGES_DISPATCH_DISPATCHER_H_
#define PACKAGES_DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "packages/dispatch/disturbance_model.h"
#include "packages/dispatch/job_track.h"
#include "packages/dispatch/pace_policy.h"
#include "packages/dispatch/worker_choice.h"
#include "packages/dispatch/worker_order.h"
#include "packages/dispatch/worker_track.h"

namespace bramleyrail {

// The decisions of one leadership: which tasks start where, what is stopped,
// and what the lists of the workers mean. The owner carries out the orders,
// passes the answers back, and makes the ends durable.
class Dispatcher {
 public:
  struct Options {
    WorkerChoice::Options placement;
    // Length of a lease, and the longest that a worker grants.
    Milliseconds lease{5'000};
    Milliseconds maximum_lease{6'000};
    // How long a worker holds a look while nothing ends.
    Milliseconds look_wait{1'000};
  };

  // Ends that have to become durable before the worker may forget them.
  struct EndBatch {
    uint64_t number = 0;
    std::vector<TaskRunEnd> ends;
  };

  struct Counters {
    uint64_t starts = 0;
    uint64_t starts_refused = 0;
    uint64_t ends_done = 0;
    uint64_t ends_failed = 0;
    uint64_t ends_interrupted = 0;
    uint64_t runs_lost = 0;
    uint64_t looks = 0;
    uint64_t paces = 0;
  };

  Dispatcher(Options options, int64_t leadership, MonotonicTime now);

  // Takes over what changed in the state; call again after every change.
  void Synchronize(const QueueState& state, MonotonicTime now);
  // Decides what to do now.
  std::vector<WorkerOrder> Step(const QueueState& state,
                                MonotonicTime now,
                                int64_t unix_ms);
  // Ends that arrived since the last call; without ends when there are none.
  EndBatch TakeEnds();
  void EndsRecorded(uint64_t batch);

  // Answers to orders. `sent` is when the order was sent.
  void HandleStartAnswer(const WorkerAddress& worker,
                         const TaskName& task,
                         uint64_t run,
                         OrderOutcome outcome,
                         MonotonicTime now);
  void HandleStopAnswer(const WorkerAddress& worker,
                        const TaskName& task,
                        uint64_t run,
                        OrderOutcome outcome,
                        MonotonicTime now);
  void HandlePaceAnswer(const WorkerAddress& worker,
                        const TaskName& task,
                        uint64_t run,
                        int64_t percent,
                        OrderOutcome outcome,
                        MonotonicTime now);
  void HandleLookAnswer(const WorkerAddress& worker,
                        OrderOutcome outcome,
                        const LookAnswer& answer,
                        MonotonicTime sent,
                        MonotonicTime now);
  // A heartbeat tells the worker's clock.
  void ObserveClock(const std::string& worker,
                    int64_t started_unix_ms,
                    int64_t clock_ms,
                    MonotonicTime now);

  // A task of the job has started, as far as is known.
  bool HasStarted(const std::string& job) const;
  // A later leader has given orders: this one must not give any more.
  bool deposed() const { return deposed_; }
  int64_t leadership() const { return leadership_; }
  const Counters& counters() const { return counters_; }
  size_t worker_count() const { return workers_.size(); }
  size_t ready_count() const { return ready_.size(); }

 private:
  // Priority, objective, task.
  using ReadyKey = std::tuple<int64_t, int64_t, TaskName>;

  WorkerTrack* FindWorker(const WorkerAddress& address);
  JobTrack* FindJob(const std::string& id);
  uint64_t NextRun(const TaskTrack& task) const;
  void QueueReady(const JobTrack& job, const std::vector<TaskName>& tasks);
  void SynchronizeWorkers(const QueueState& state, MonotonicTime now);
  void SynchronizeJobs(const QueueState& state, MonotonicTime now);
  void CloseJob(const std::string& id, std::string_view reason);

  void PlaceReadyTasks(const QueueState& state, MonotonicTime now);
  // False when no worker has room.
  bool Place(const QueueState& state,
             JobTrack* job,
             const TaskName& task,
             MonotonicTime now);
  bool PlaceGang(const QueueState& state,
                 JobTrack* job,
                 const TaskName& first,
                 MonotonicTime now);
  void Start(JobTrack* job,
             const TaskName& task,
             uint64_t run,
             WorkerTrack* worker,
             MonotonicTime now);
  void SendStart(WorkerTrack* worker,
                 const RunKey& key,
                 TrackedRun* run,
                 MonotonicTime now);
  void SendStop(WorkerTrack* worker,
                const RunKey& key,
                TrackedRun* run,
                std::string_view reason,
                MonotonicTime now);
  void SendPace(WorkerTrack* worker, const RunKey& key, TrackedRun* run);
  void StepWorker(WorkerTrack* worker, MonotonicTime now);
  void RepeatOrders(WorkerTrack* worker, MonotonicTime now);
  void MoveOffLeavingWorker(WorkerTrack* worker, MonotonicTime now);
  void Look(WorkerTrack* worker, MonotonicTime now);
  // Every run there has certainly ended.
  void LoseRuns(WorkerTrack* worker,
                std::string_view reason,
                MonotonicTime now);
  bool RunsSurelyEnded(const WorkerTrack& worker, MonotonicTime now) const;
  bool KnowsAllWorkers(MonotonicTime now);

  void TakeEnd(WorkerTrack* worker, const ListedEnd& end, MonotonicTime now);
  void TakeRunning(WorkerTrack* worker,
                   const LookAnswer& answer,
                   MonotonicTime sent,
                   MonotonicTime now);
  void NoteFigures(TrackedRun* run, MonotonicTime now);
  void AdoptRun(WorkerTrack* worker,
                const ListedRun& listed,
                MonotonicTime now);
  // The run has ended without result; its task may start again.
  void Requeue(const TaskName& task, uint64_t run, MonotonicTime not_before);
  // Slows down, speeds up or moves runs of spare capacity.
  void ProtectTargets(WorkerTrack* worker, MonotonicTime now);
  void NoteFailure(WorkerTrack* worker,
                   std::string_view why,
                   MonotonicTime now);

  const Options options_;
  const int64_t leadership_;
  const MonotonicTime begun_;
  const WorkerChoice choice_;
  const PacePolicy pace_policy_{};
  DisturbanceModel disturbance_;
  WorkerTracks workers_;
  std::map<std::string, std::unique_ptr<JobTrack>> jobs_;
  std::set<ReadyKey> ready_;
  std::set<std::string> unreleased_;  // Jobs with occurrences still to come.
  std::vector<WorkerOrder> orders_;
  std::vector<TaskRunEnd> ends_;
  // Worker and its last end of each batch.
  std::map<std::string, int64_t> ends_seen_;
  std::map<uint64_t, std::map<std::string, int64_t>> batches_;
  uint64_t last_batch_ = 0;
  int64_t unix_ms_ = 0;  // Of the current step.
  bool synchronized_ = false;
  bool knows_all_workers_ = false;
  bool deposed_ = false;
  Counters counters_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_DISPATCHER_H_
