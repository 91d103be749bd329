#ifndef PACKAGES_DISPATCH_ROOM_SEARCH_H_
#define PACKAGES_DISPATCH_ROOM_SEARCH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "packages/dispatch/start_forecast.h"
#include "packages/dispatch/worker_selector.h"

namespace bramleyrail {

// How many more members of the gang fit on the worker beside the amounts.
// `first` names the step.
int64_t CountMembers(const ResourceAmounts& held,
                     const TrackedWorker& worker,
                     const JobStep& step,
                     const TaskName& first);

// Finds workers that will have room for a step once other runs have ended. For
// one update of the plans.
class RoomSearch {
 public:
  struct Candidate {
    TrackedWorker* worker = nullptr;
    int64_t members = 0;  // Of a gang; otherwise 1.
    MonotonicTime start;
    // The share of the worker's capacity that has to become free.
    double missing = 0;
    int64_t ends = 0;  // See StartForecast::Room.
  };

  explicit RoomSearch(MonotonicTime now) : now_(now) {}

  // How many workers of the pool have plans for other steps of this kind than
  // the gang. Callers count those that they add.
  size_t& CountPlanned(const EligibleWorkers& pool,
                       bool long_running,
                       const std::optional<TaskName>& gang);

  // Returns the worker that will have room first; nullopt when none will, or
  // after too many searches. `first` names the step.
  std::optional<Candidate> FindWorker(const EligibleWorkers& eligible,
                                      const JobStep& step,
                                      const TaskName& first);

  // Returns workers that will have room for the whole gang, as few as possible;
  // none when the gang waits for something else, or when they will not have it,
  // or after too many searches.
  std::vector<Candidate> FindWorkersForGang(const EligibleWorkers& eligible,
                                            const JobStep& step,
                                            const TaskName& first);

  // How many workers were looked at.
  uint64_t visits() const { return visits_; }

 private:
  const ResourceAmounts& FindHeldForLong(const TrackedWorker& worker);
  // Whether the search has failed for a step that needs no more.
  bool HasFailedFor(const JobStep& step) const;
  bool WillHaveRoom(const TrackedWorker& worker,
                    const JobStep& step,
                    const TaskName& first);

  const MonotonicTime now_;
  StartForecast forecast_;
  std::map<std::pair<const EligibleWorkers*, bool>, size_t> planned_;
  std::map<const TrackedWorker*, ResourceAmounts> held_for_long_;
  std::vector<const JobStep*> failed_;
  int searches_ = 0;
  int searches_for_others_ = 0;  // Of these, for steps that end.
  uint64_t visits_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_ROOM_SEARCH_H_
