#ifndef PACKAGES_CONTROL_DISPATCH_LOOP_H_
#define PACKAGES_CONTROL_DISPATCH_LOOP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "packages/control/replicated_queue.h"
#include "packages/dispatch/dispatch.h"
#include "packages/http/http.h"

namespace bramleyrail {

struct OrderAnswer {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  int64_t clock_ms = 0;  // Of the worker; 0 when it did not tell.
  LookAnswer look;       // Of a look.
};

// Sends an order with the number of the leadership as its fencing token. The
// callback runs once, on the thread of the loop, and not inside the call.
using WorkerCaller = std::function<void(const WorkerOrder& order,
                                        int64_t fence,
                                        std::function<void(OrderAnswer)>)>;

// Runs a Dispatcher while this instance leads: feeds it the state and the
// answers, carries out its orders, and makes the ends of runs durable.
class DispatchLoop {
 public:
  struct Options {
    std::string instance;
    Dispatcher::Options dispatcher;
    // How long ended jobs are kept.
    Milliseconds job_retention{300'000};
    WorkerCaller call_worker;
    MonotonicClock clock = BootTimeNow;
  };

  DispatchLoop(IoLoop* loop, ReplicatedQueue* queue, Options options);
  ~DispatchLoop();

  // Starts the timer.
  void Start();
  // From any thread: the state or the leadership may have changed.
  void Wake();
  // Null while this instance does not lead.
  const Dispatcher* dispatcher() const { return dispatcher_.get(); }
  void ObserveClock(const std::string& worker,
                    int64_t started_unix_ms,
                    int64_t clock_ms);
  // Runs after the instance has taken over or lost the leadership.
  void SetLeadershipHook(std::function<void(bool leads)> hook) {
    leadership_hook_ = std::move(hook);
  }

 private:
  void Tick();
  void ScheduleStep();
  void Step();
  void FollowLeadership();
  void TakeOver();
  void EndLeadership(std::string_view reason);
  void Send(WorkerOrder order);
  void HandleAnswer(const WorkerOrder& order,
                    const OrderAnswer& answer,
                    MonotonicTime sent);
  void RecordEnds();
  void Record(std::shared_ptr<Dispatcher::EndBatch> batch);
  void ForgetOldJobs(MonotonicTime now);

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
  MonotonicTime last_forget_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_DISPATCH_LOOP_H_
