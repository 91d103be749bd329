#ifndef PACKAGES_PLACEMENT_FAKES_SIMULATED_CLUSTER_H_
#define PACKAGES_PLACEMENT_FAKES_SIMULATED_CLUSTER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "packages/placement/placement.h"

namespace bramleyrail {

// A replicated state, its controller, and workers that follow the platform
// interface, all on a fake clock. Aborts when a task runs in two places.
class SimulatedCluster {
 public:
  struct RunningAttempt {
    int64_t attempt = 0;
    ReportedAttemptState state = ReportedAttemptState::kAccepted;
    PartitionBehaviour when_partitioned = PartitionBehaviour::kStop;
    MonotonicTime started;
    std::string checkpoint;
  };
  struct Worker {
    std::string name;
    std::string boot_id;
    WorkerSpec spec;
    bool connected = true;   // False: its polls do not arrive.
    bool fails_all = false;  // Every task fails at once.
    MonotonicTime lease_end;
    MonotonicTime permit_end;
    std::map<std::string, RunningAttempt> attempts;
    std::vector<AttemptUsage> usage;  // Sent with the next poll.
  };

  explicit SimulatedCluster(Controller::Options options);

  Worker& AddWorker(const std::string& name,
                    const std::string& failure_domain,
                    const std::string& rack,
                    ResourceAmounts capacity = {16'000, 61'440, 0});
  Worker& worker(const std::string& name) { return workers_.at(name); }
  void DeclareTeam(const std::string& name,
                   ResourceAmounts quota,
                   int64_t weight = 1);
  void DeclareJob(const std::string& name, BatchJobSpec spec);
  void DeclareService(const std::string& name, ServiceSpec spec);
  void Apply(CommandBody body);
  // Ends a running attempt on its worker.
  void Finish(const std::string& task_id, ReportedAttemptState state);

  // Advances the clock in controller steps of 50 ms. Workers poll every 500 ms.
  void Run(Milliseconds time);
  // Delivers a report to the controller, like a delayed poll.
  void EnqueueReport(WorkerReport report) {
    controller_->EnqueueReport(std::move(report));
  }
  // Ends all attempts on the worker and gives it a new boot id.
  void Reboot(const std::string& name);
  // Replaces the controller by a new one, as when the leader changes.
  void ChangeLeader();

  const ClusterState& state() const { return state_; }
  MonotonicTime now() const { return now_; }
  // The tasks of a service or job.
  std::vector<const Task*> TasksOf(ResourceKind kind, const std::string& name);
  // Commands of the last Run, in order.
  const std::vector<Command>& proposed() const { return proposed_; }
  int64_t starts() const { return starts_; }

 private:
  void Declare(ResourceDeclaration declaration);
  void Step();
  void Poll(Worker* worker);
  void ApplyTaskList(Worker* worker);
  void RunTasks(Worker* worker);
  void StartTask(Worker* worker,
                 const std::string& task_id,
                 RunningAttempt* attempt);

  Controller::Options options_;
  ClusterState state_;
  std::unique_ptr<Controller> controller_;
  MonotonicTime now_ = MonotonicTime(std::chrono::hours(1));
  int64_t step_ = 0;
  int64_t next_id_ = 1;
  int64_t starts_ = 0;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::string> running_on_;  // Worker by task id.
  std::vector<Command> proposed_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_FAKES_SIMULATED_CLUSTER_H_
