#ifndef PACKAGES_STATE_FAKES_STATE_DRIVER_H_
#define PACKAGES_STATE_FAKES_STATE_DRIVER_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "packages/state/state.h"

namespace bramleyrail {

// Wraps a ClusterState that has one team and one failure domain, with functions
// for the usual commands. Asserts after each command that the state is
// consistent.
class StateDriver {
 public:
  StateDriver();

  ClusterState& state() { return state_; }
  CommandOutcome Apply(CommandBody body);
  // Applies the declarations in a JSON array.
  CommandOutcome Declare(std::string_view json, std::string change_id = "");
  void RegisterWorker(const std::string& name,
                      const std::string& boot_id,
                      ResourceAmounts capacity = {8000, 8000, 0});
  // Declares a batch job whose tasks request 1,000 processor millis and 1,000
  // MiB each, and creates its tasks.
  void DeclareJob(const std::string& name,
                  int64_t tasks,
                  const std::string& more_fields = "");
  void Reconcile();
  std::string Uid(ResourceKind kind, std::string_view name) const;
  const Task& JobTask(std::string_view job, int64_t index) const;
  // Starts the task on the worker, with the current attempt and boot id.
  CommandOutcome Start(const Task& task,
                       const std::string& worker,
                       ResourceAmounts reserved = {1000, 1000, 0});
  CommandOutcome Report(const Task& task,
                        ReportedAttemptState state,
                        const std::string& checkpoint = "");

 private:
  ClusterState state_;
  int64_t next_id_ = 1;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_FAKES_STATE_DRIVER_H_
