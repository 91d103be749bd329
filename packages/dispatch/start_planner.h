#ifndef PACKAGES_DISPATCH_START_PLANNER_H_
#define PACKAGES_DISPATCH_START_PLANNER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "packages/dispatch/dispatcher_counters.h"
#include "packages/dispatch/placement_pass.h"
#include "packages/dispatch/ready_steps.h"
#include "packages/dispatch/worker_selector.h"

namespace bramleyrail {

class RoomSearch;

// Plans starts for steps that wait because their tasks are larger than any gap
// on the workers: on which worker, and when, by the expected ends of the runs
// there. Other tasks may start there before if they don't delay the plan; see
// MayStartBeforePlan(). Kept by one leader in memory.
class StartPlanner {
 public:
  // What the planner looks at. Outlives the call.
  struct View {
    const PlacementPass& pass;
    const TrackedWorkers& workers;
    const ReadySteps::Map& waiting;
    std::function<TrackedJob*(std::string_view)> find_job;
    // Whether the limit of the account of the job holds the step back.
    std::function<bool(const TrackedJob&, const TaskName&)> is_held;
  };

  // Without `plans_ending_steps`, plans for long-running steps only. Adds to
  // `counters`, which outlive the planner.
  StartPlanner(bool plans_ending_steps, DispatcherCounters* counters)
      : plans_ending_steps_(plans_ending_steps), counters_(counters) {}

  // Ends plans that are of no use any more, moves the others to what is
  // expected now, and plans for the steps that wait. Call after a pass that has
  // tried these steps.
  void Update(const View& view);
  // Call before a run of the task is added to the worker.
  void RecordStart(const TaskName& task,
                   bool long_running,
                   TrackedWorker* worker,
                   MonotonicTime now);
  // The workers on which starts of the step that `task` names are planned.
  EligibleWorkers FindPlannedWorkers(const TaskName& task,
                                     const EligibleWorkers& eligible) const;

 private:
  // How a plan ends.
  enum class End {
    kNone,
    kStarted,
    kNotNeeded,   // The job has ended, or its tasks have started elsewhere.
    kReplaced,    // By a plan for a long-running step.
    kExpired,     // After its longest time.
    kWorkerLost,  // No runs can start on the worker.
    kNoRoom,      // Runs that don't end by themselves have taken the room.
    kLate,        // The runs outlast their estimates by too much.
  };
  // The steps of one kind in a pool: long-running, or not.
  using PoolKey = std::pair<std::string, bool>;

  static std::string_view EndName(End end);
  void EndPlans(const View& view);
  void EndPlan(TrackedWorker* worker, End end, MonotonicTime now);
  // Moves a plan that goes on to what is expected now.
  End FindEnd(TrackedWorker* worker, const View& view) const;
  // Fills `planned_gangs_`, too.
  std::map<TaskName, End> FindEndsOfGangs(const View& view);
  static End FindEndOfGang(const TaskName& first,
                           const std::vector<TrackedWorker*>& workers,
                           const View& view);
  // Plans one more start of the step, or those of all members of a gang.
  void PlanForStep(const TaskName& first,
                   TrackedJob* job,
                   const View& view,
                   RoomSearch* search);
  void PlanForGang(const TaskName& first,
                   TrackedJob* job,
                   const EligibleWorkers& pool,
                   const View& view,
                   RoomSearch* search);
  void Plan(TrackedWorker* worker,
            const TaskName& first,
            TrackedJob* job,
            const ResourceAmounts& size,
            MonotonicTime start,
            MonotonicTime now);
  size_t CountPlans(const TaskName& first) const;

  const bool plans_ending_steps_;
  DispatcherCounters* const counters_;
  // By the first task of a step, how many workers have a plan for it.
  std::map<TaskName, size_t> plans_;
  // The gang that has plans, by its first task.
  std::map<PoolKey, TaskName> planned_gangs_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_START_PLANNER_H_
