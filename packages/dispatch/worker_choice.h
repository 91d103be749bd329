#ifndef PACKAGES_DISPATCH_WORKER_CHOICE_H_
#define PACKAGES_DISPATCH_WORKER_CHOICE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "packages/dispatch/disturbance_model.h"
#include "packages/dispatch/worker_track.h"

namespace bramleyrail {

using WorkerTracks = std::map<std::string, std::unique_ptr<WorkerTrack>>;

// What a task asks of its worker.
struct RunRequest {
  const QueuedJob* job = nullptr;
  const JobStep* step = nullptr;
  TaskName task;
  std::string avoid_worker;    // Where its last run failed.
  std::string preferred_rack;  // Empty: none.
  // How late it starts for its job's objective; negative while there is time.
  Milliseconds late{0};
};

// Chooses workers by capacity, labels, racks and distance.
class WorkerChoice {
 public:
  struct Options {
    std::string own_region;
    std::map<std::string, std::string> region_of_failure_domain;
  };

  explicit WorkerChoice(Options options) : options_(std::move(options)) {}

  // The worker to start the task on, or nullptr when none has room.
  WorkerTrack* Choose(const RunRequest& request,
                      const WorkerTracks& workers,
                      const std::set<std::string>& evacuated,
                      const DisturbanceModel& model,
                      MonotonicTime now) const;

  // The pace, in percent, that a spare run starts with on the worker.
  static int64_t FirstPace(const JobStep& step,
                           const WorkerTrack& worker,
                           const DisturbanceModel& model);

  bool IsInOtherRegion(const std::string& failure_domain) const;

  // The worker takes new runs of this pool.
  static bool IsUsable(const WorkerTrack& worker,
                       const std::string& pool,
                       const std::set<std::string>& evacuated,
                       MonotonicTime now);

 private:
  double Score(const RunRequest& request,
               const WorkerTrack& worker,
               const DisturbanceModel& model) const;

  const Options options_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_WORKER_CHOICE_H_
