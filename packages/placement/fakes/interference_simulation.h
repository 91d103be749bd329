#ifndef PACKAGES_PLACEMENT_FAKES_INTERFERENCE_SIMULATION_H_
#define PACKAGES_PLACEMENT_FAKES_INTERFERENCE_SIMULATION_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "packages/placement/fakes/simulated_cluster.h"

namespace bramleyrail {

// Simulates tasks that share workers: their real usage is far below the
// declared sizes, and each interfering kind slows down the services beside it.
// Drives a SimulatedCluster; the same seed gives the same arrivals.
class InterferenceSimulation {
 public:
  struct Result {
    std::vector<double> service_slowdowns;  // One for each task and second.
    int64_t completed = 0;                  // Batch tasks.
    int64_t evictions = 0;
  };

  InterferenceSimulation(Controller::Options options,
                         uint64_t seed,
                         int workers);

  Result Run(int seconds);

 private:
  struct Kind {
    const char* name;
    double usage_ratio;     // Used part of the declared size.
    double added_slowdown;  // Added to a service's slowdown by one such task.
    int seconds;            // Duration of one task.
  };
  static const std::vector<Kind>& BatchKinds();

  void SubmitJobs();
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

#endif  // PACKAGES_PLACEMENT_FAKES_INTERFERENCE_SIMULATION_H_
