#ifndef PACKAGES_QUEUE_RECORDED_RUNS_H_
#define PACKAGES_QUEUE_RECORDED_RUNS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "packages/queue/run_placement.h"

namespace bramleyrail {

// The latest run of each long-running task that a leader has ordered a worker
// to start, or is about to, as long as its end is not recorded.
class RecordedRuns {
 public:
  struct Run {
    uint64_t number = 0;
    WorkerIncarnation worker;
  };
  using TaskOfJob = std::tuple<int64_t, int64_t, int64_t>;
  using JobRuns = std::map<TaskOfJob, Run>;

  // A leader repeats a record that failed, perhaps after a later one of the
  // task, so an earlier run never takes the place of a later one.
  void Record(const RunPlacement& placement);
  // The run has ended.
  void Erase(const TaskName& task, uint64_t run);
  void EraseStep(const TaskName& task);
  void EraseJob(std::string_view job);

  // Occurrence, step and index of each task, and its run.
  const JobRuns& OfJob(std::string_view job) const;
  std::vector<RunPlacement> List() const;
  size_t size() const;

 private:
  std::map<std::string, JobRuns, std::less<>> jobs_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_RECORDED_RUNS_H_
