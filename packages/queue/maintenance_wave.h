#ifndef PACKAGES_QUEUE_MAINTENANCE_WAVE_H_
#define PACKAGES_QUEUE_MAINTENANCE_WAVE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bramleyrail {

// Maintenance of a set of machines within a duration, as operators request it.
// Limits how many machines are in maintenance at the same time.
struct MaintenanceWave {
  int64_t number = 0;
  std::vector<std::string> machines;
  int64_t duration_ms = 0;
  int64_t maximum_concurrent_machines = 1;
  int64_t started_unix_ms = 0;
  // Machines whose maintenance is done or that left the platform.
  std::vector<std::string> finished_machines;
};

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_MAINTENANCE_WAVE_H_
