// Consistency of the records of a dispatcher, for tests.

#include "absl/strings/str_cat.h"
#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

std::optional<std::string> Dispatcher::FindInconsistency() const {
  for (const auto& [id, job] : jobs_) {
    TaskName name{job->shared_id(), 0, 0, 0};
    for (auto& [number, occurrence] : job->occurrences()) {
      name.occurrence = number;
      name.step = 0;
      for (TrackedStep& step : occurrence.steps) {
        name.index = 0;
        for (const TrackedTask& task : step.tasks) {
          if (task.phase == TaskPhase::kActive && !HasLastRun(name, task)) {
            return absl::StrCat(name.ToString(), " is active without its run ",
                                task.last_run, " on worker ", task.worker);
          }
          if (task.phase == TaskPhase::kReady && !ready_.Contains(*job, name) &&
              (!job->step(name).gang || job->AreAllTasksReady(name))) {
            return absl::StrCat(name.ToString(),
                                " is ready and not among the ready tasks");
          }
          ++name.index;
        }
        ++name.step;
      }
    }
  }
  return std::nullopt;
}

bool Dispatcher::HasLastRun(const TaskName& name,
                            const TrackedTask& task) const {
  const auto worker = workers_.find(task.worker);
  return worker != workers_.end() &&
         worker->second->runs().contains({name, task.last_run});
}

}  // namespace bramleyrail
