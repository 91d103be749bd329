#ifndef PACKAGES_DISPATCH_START_FORECAST_H_
#define PACKAGES_DISPATCH_START_FORECAST_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "packages/dispatch/tracked_worker.h"

namespace bramleyrail {

// Whether both amounts fit into the capacity at the same time.
bool FitTogether(ResourceAmounts left,
                 const ResourceAmounts& right,
                 const ResourceAmounts& capacity);

// What a task, or a run, takes from others. A best-effort one holds no
// processors.
ResourceAmounts HeldBy(const JobStep& step);
ResourceAmounts HeldBy(const TrackedRun& run);

// By when the run is expected to have ended; nullopt: it doesn't end by itself.
// A run that has taken longer than expected will probably take half as long
// again.
std::optional<MonotonicTime> ExpectedEnd(const TrackedRun& run,
                                         MonotonicTime now);

// What the runs hold that don't end by themselves.
ResourceAmounts HeldForLong(const TrackedWorker& worker);

// What the runs hold that are expected to go on at that time.
ResourceAmounts HeldAt(const TrackedWorker& worker,
                       MonotonicTime time,
                       MonotonicTime now);

// Forecasts when a worker will have room. Reuses its memory, because a search
// visits all workers of a pool.
class StartForecast {
 public:
  struct Room {
    MonotonicTime time;
    int64_t ends = 0;  // How many runs have to end before.
  };

  // When these amounts are expected to be free; nullopt: not before runs end
  // that don't end by themselves.
  std::optional<Room> FindRoom(const TrackedWorker& worker,
                               const ResourceAmounts& needed,
                               MonotonicTime now);

 private:
  struct End {
    MonotonicTime time;
    ResourceAmounts held;
  };

  std::vector<End> ends_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_START_FORECAST_H_
