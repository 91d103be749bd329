#ifndef PACKAGES_DISPATCH_READY_STEPS_H_
#define PACKAGES_DISPATCH_READY_STEPS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "packages/dispatch/tracked_job.h"

namespace bramleyrail {

// The job steps that have tasks ready to start, most urgent first. The indexes
// of these tasks are in TrackedStep::ready_tasks, so that starting a task, or
// ending a job, costs the same however many other tasks are ready.
class ReadySteps {
 public:
  struct Key {
    int64_t priority = 0;
    AccountRank account_rank;
    Lateness lateness = Lateness::kOnTime;
    int64_t objective_unix_ms = 0;  // Of the occurrence.
    SharedText job;
    int64_t occurrence = 0;
    int64_t step = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): a false report on defaulted <=>.
    auto operator<=>(const Key&) const = default;
  };
  using Map = std::map<Key, TrackedJob*>;

  // The job outlives its entries.
  void Add(TrackedJob* job, const TaskName& task, int64_t unix_ms);
  // Does nothing when the task is not ready.
  void Remove(TrackedJob* job, const TaskName& task);
  // Returns the number of entries that it looked at.
  size_t RemoveJob(TrackedJob* job);

  bool Contains(TrackedJob& job, const TaskName& task) const;

  // Takes the step out of steps() until the next call of Resume().
  void Defer(TrackedJob* job, const TaskName& task);
  // Adds the deferred steps to steps() again and updates how late each is, and
  // the rank of its account.
  void Resume(int64_t unix_ms);
  // Moves the step in steps() if the rank of its account has changed. Returns
  // the step that follows its former place then, perhaps the same one.
  std::optional<Map::const_iterator> UpdateAccountRank(TrackedJob* job,
                                                       const TaskName& task);

  // Without the deferred ones.
  const Map& steps() const { return steps_; }
  const Map& deferred_steps() const { return deferred_; }
  size_t task_count() const { return task_count_; }

 private:
  static Key KeyOf(TrackedJob* job, const TaskName& task);
  void RemoveStep(TrackedJob* job, const TaskName& task);

  Map steps_;
  Map deferred_;
  size_t task_count_ = 0;  // Of both.
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_READY_STEPS_H_
