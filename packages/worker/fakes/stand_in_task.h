#ifndef PACKAGES_WORKER_FAKES_STAND_IN_TASK_H_
#define PACKAGES_WORKER_FAKES_STAND_IN_TASK_H_

#include <cstdint>
#include <optional>
#include <string>

#include "packages/state/state.h"

namespace bramleyrail {

// A task that is only a timer. Its payload is a JSON object:
//   run_ms               time until it ends; absent: runs until stopped
//   fail                 true: it ends as failed
//   checkpoint_every_ms  writes a checkpoint at this interval
//   processor_millis, memory_mib, slowdown_permille   reported as its usage
class StandInTask {
 public:
  StandInTask(const std::string& payload, const std::string& checkpoint);

  // Adds run time; a throttled task advances at half speed. Returns true when
  // the task has reached its end.
  bool Advance(Milliseconds elapsed, bool throttled);
  // Records the progress so far as the newest checkpoint.
  void WriteCheckpoint();

  const std::string& checkpoint() const { return checkpoint_; }
  bool fails() const { return fails_; }
  int64_t progress_ms() const { return progress_ms_; }
  const ResourceAmounts& used() const { return used_; }
  int64_t slowdown_permille() const { return slowdown_permille_; }

 private:
  std::optional<int64_t> run_ms_;
  bool fails_ = false;
  std::optional<int64_t> checkpoint_every_ms_;
  ResourceAmounts used_;
  int64_t slowdown_permille_ = 0;
  int64_t progress_ms_ = 0;
  int64_t checkpointed_ms_ = 0;
  std::string checkpoint_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_WORKER_FAKES_STAND_IN_TASK_H_
