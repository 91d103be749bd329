#ifndef PACKAGES_PLACEMENT_FAKES_INTERFERENCE_WORLD_H_
#define PACKAGES_PLACEMENT_FAKES_INTERFERENCE_WORLD_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "packages/placement/fakes/simulated_cluster.h"

namespace bramleyrail {

// A stand-in for how tasks really behave on shared workers: real sizes are far
// below the declared ones, and each noisy kind slows down services beside it.
// Drives a SimulatedCluster; the same seed gives the same arrivals.
class InterferenceWorld {
 public:
  struct Result {
    std::vector<double> service_slowdowns;  // One for each task and second.
    int64_t completed = 0;                  // Batch tasks.
    int64_t evictions = 0;
  };

  InterferenceWorld(Controller::Options options, uint64_t seed, int workers);

  Result Run(int seconds);

 private:
  struct Kind {
    const char* name;
    double real_part;  // Of the declared size.
    double harm;       // Added time of a service beside one such task.
    int seconds;       // Of work in one task.
  };
  static const std::vector<Kind>& BatchKinds();

  void Arrive();
  void Measure(int second, Result* result);
  void FinishTasks(Result* result);
  double SlowdownOn(const SimulatedCluster::Worker& worker) const;
  const Kind* BatchKindOf(const std::string& task_id) const;

  SimulatedCluster cluster_;
  std::mt19937_64 arrivals_;
  std::vector<std::string> workers_;
  int next_job_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_FAKES_INTERFERENCE_WORLD_H_
