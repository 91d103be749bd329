#ifndef PACKAGES_CONTROL_DISPATCH_LOOP_H_
#define PACKAGES_CONTROL_DISPATCH_LOOP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "packages/control/dispatch_load.h"
#include "packages/control/replicated_queue.h"
#include "packages/dispatch/dispatch.h"
#include "packages/http/http.h"

namespace bramleyrail {

struct OrderResponse {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  int64_t clock_ms = 0;                // The worker's clock; 0: not reported.
  LeaseRenewalResponse lease_renewal;  // For LeaseRenewalOrder only.
};

// Sends an order with the leader epoch as its fencing token. `may_send` is
// asked just before the order is written. The callback runs once, on the thread
// of the loop, and not inside the call.
using WorkerCaller =
    std::function<void(std::shared_ptr<const WorkerOrder> order,
                       int64_t fence,
                       std::function<bool()> may_send,
                       std::function<void(OrderResponse)>)>;

// Runs a Dispatcher while this instance leads: passes it the state and the
// responses of workers, sends its orders, and makes the outcomes of finished
// runs durable.
class DispatchLoop {
 public:
  struct Options {
    std::string instance;
    Dispatcher::Options dispatcher;
    // Time for which ended jobs are kept.
    Milliseconds job_retention{300'000};
    WorkerCaller call_worker;
    // The clients behind `call_worker`, for the log; null when it has none.
    WorkerClients clients;
    MonotonicClock clock = BootTimeNow;
  };

  DispatchLoop(IoLoop* loop, ReplicatedQueue* queue, Options options);
  ~DispatchLoop();

  // Starts the timer.
  void Start();
  // Schedules a step after a possible change of the state or of the leadership.
  // Thread-safe.
  void Wake();
  // Null while this instance does not lead or has not taken over yet.
  const Dispatcher* dispatcher() const { return dispatcher_.get(); }
  void ObserveClock(const std::string& worker,
                    int64_t started_unix_ms,
                    int64_t clock_ms);
  // Decide about a job that is handed in while this instance leads. An admitted
  // job whose proposal has certainly failed is withdrawn.
  Result<AdmissionDecision> Admit(const SubmitJob& job);
  void WithdrawAdmission(const std::string& id, int64_t leader_epoch);
  // Sets a function that runs after this instance has taken over or lost the
  // leadership.
  void SetLeadershipHook(std::function<void(bool leads)> hook) {
    leadership_hook_ = std::move(hook);
  }

 private:
  void Tick();
  void ScheduleStep();
  void StepAfter(Milliseconds delay);
  void Step();
  void FollowLeadership();
  void TakeOver();
  void EndLeadership(std::string_view reason);
  void Send(WorkerOrder order);
  bool StillLeads(int64_t leader_epoch) const;
  void HandleResponse(const WorkerOrder& order,
                      const OrderResponse& response,
                      MonotonicTime sent);
  void ProposeFinishedRuns();
  void ProposeBatch(std::shared_ptr<Dispatcher::FinishedRunBatch> batch);
  void ProposePlacements();
  void ProposePlacementBatch(std::shared_ptr<Dispatcher::PlacementBatch> batch);
  void HandlePlacementsRecorded(
      const std::shared_ptr<Dispatcher::PlacementBatch>& batch,
      const Result<QueueOutcome>& outcome);
  void PurgeOldJobs(MonotonicTime now);
  void ForgetWithdrawnWorkers(MonotonicTime now);
  void RecordSuspicions(MonotonicTime now);
  void ReportLoad(MonotonicTime now);

  IoLoop* const loop_;
  ReplicatedQueue* const queue_;
  const Options options_;
  const std::shared_ptr<bool> alive_;
  std::function<void(bool leads)> leadership_hook_;
  std::unique_ptr<Dispatcher> dispatcher_;
  bool taking_over_ = false;
  bool step_scheduled_ = false;
  std::atomic<bool> changed_ = true;
  std::atomic<bool> wake_posted_ = false;
  MonotonicTime last_purge_;
  MonotonicTime next_forget_;
  MonotonicTime next_suspicion_record_;
  MonotonicTime next_tick_;
  MonotonicTime step_due_;
  // Since the timer of the next step was set.
  int responses_before_step_ = 0;
  MonotonicTime last_report_;
  DispatchLoad load_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_DISPATCH_LOOP_H_
