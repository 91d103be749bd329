#ifndef PACKAGES_QUEUE_UPKEEP_WAVE_H_
#define PACKAGES_QUEUE_UPKEEP_WAVE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bramleyrail {

// A request of the operators that each of the machines has its maintenance
// within the duration, with a limited number of them at a time.
struct UpkeepWave {
  int64_t number = 0;
  std::vector<std::string> machines;
  int64_t duration_ms = 0;
  int64_t maximum_at_once = 1;
  int64_t started_unix_ms = 0;
  // Machines whose maintenance is done, or that left the platform.
  std::vector<std::string> finished;
};

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_UPKEEP_WAVE_H_
