#ifndef PACKAGES_PLACEMENT_REPORT_FILTER_H_
#define PACKAGES_PLACEMENT_REPORT_FILTER_H_

#include <optional>
#include <string_view>

#include "packages/state/state.h"

namespace bramleyrail {

// Returns the report in the form that the state machine expects, or nullopt
// when it would change nothing: it describes an old attempt, comes from another
// worker or boot, or is already in the state.
std::optional<AttemptReport> FilterAttemptReport(const ClusterState& state,
                                                 std::string_view worker,
                                                 std::string_view boot_id,
                                                 const AttemptReport& report);

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_REPORT_FILTER_H_
