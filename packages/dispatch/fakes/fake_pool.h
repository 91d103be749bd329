#ifndef PACKAGES_DISPATCH_FAKES_FAKE_POOL_H_
#define PACKAGES_DISPATCH_FAKES_FAKE_POOL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/dispatch/dispatch.h"

namespace bramleyrail {

// Workers, a replicated state and the leaders' dispatchers in one thread, with
// a simulated clock. Orders and answers may be lost, late or out of order, and
// workers may be cut off, crash and start again. Checks after every step that
// no task runs twice and none starts again after its end was recorded.
class FakePool {
 public:
  struct Options {
    int workers = 4;
    uint64_t seed = 1;
    double lose_order = 0;   // Never executed, never answered.
    double delay_order = 0;  // Executed up to 6 s later, never answered.
    double fail_task = 0;    // Share of the runs that fail.
    Milliseconds task_time{400};
    Milliseconds lease{5'000};
  };

  explicit FakePool(Options options);

  void Submit(const std::string& id, JobSpecification job);
  void Apply(QueueCommandBody body);
  void RunFor(Milliseconds duration);
  bool RunUntil(const std::function<bool()>& condition, Milliseconds limit);
  // Another leader takes over; orders of the earlier one may still arrive.
  void ChangeLeader();

  void CutOff(int worker, bool cut) { workers_[worker].cut = cut; }
  // The process ends; it starts again under the same id as a new life.
  void Crash(int worker);
  // The worker fails everything that it starts.
  void FailAll(int worker, bool fails) { workers_[worker].fails_all = fails; }
  void SetDraining(int worker);
  // Figures for runs with a target beside a run of this image.
  void SetDisturber(std::string image) { disturber_ = std::move(image); }

  const QueueState& state() const { return state_; }
  const Dispatcher& dispatcher() const { return *dispatcher_; }
  JobOutcome Outcome(const std::string& id) const;
  int RunsOn(int worker) const;
  int RunningTasks() const;
  int starts() const { return starts_; }
  int64_t PaceOf(const TaskName& task) const;
  // The first rule that was broken, or empty.
  const std::string& fault() const { return fault_; }
  MonotonicTime now() const { return now_; }

  // Steps of equal tasks, one after another.
  static JobSpecification Job(int tasks, int steps);

 private:
  struct Run {
    MonotonicTime ends;
    std::string image;
    int64_t target_ms = 0;
    int64_t percent = 100;
    bool long_running = false;
  };
  struct Worker {
    WorkerRegistration registration;
    int64_t fence = 0;
    int64_t clock_start_ms = 0;
    int64_t lease_until_ms = 0;
    std::map<RunKey, Run> runs;
    std::map<TaskName, uint64_t> highest_ended;
    std::vector<ListedEnd> ends;
    int64_t end_count = 0;
    int64_t recorded = 0;
    bool cut = false;
    bool fails_all = false;
  };
  struct Delivery {
    MonotonicTime time;
    int worker = 0;
    WorkerOrder order;
    int64_t fence = 0;
    bool answered = true;
  };

  void Step();
  void StepDispatcher(Dispatcher* dispatcher);
  void AdvanceWorker(Worker* worker);
  void EndRun(Worker* worker, const RunKey& key, std::string reason);
  std::pair<OrderOutcome, LookAnswer> Execute(Worker* worker,
                                              const WorkerOrder& order,
                                              int64_t fence);
  OrderOutcome StartRun(Worker* worker, const StartOrder& start);
  OrderOutcome StopRun(Worker* worker, const StopOrder& stop);
  LookAnswer Look(Worker* worker, const LookOrder& look);
  void Deliver(const Delivery& delivery);
  void Check();
  void Fail(const std::string& fault);
  double Random();
  int64_t ClockOf(const Worker& worker) const;

  const Options options_;
  std::mt19937_64 random_;
  MonotonicTime now_;
  QueueState state_;
  std::vector<Worker> workers_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::vector<Delivery> deliveries_;
  std::set<TaskName> recorded_done_;
  std::string disturber_;
  std::string fault_;
  int starts_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_FAKES_FAKE_POOL_H_
