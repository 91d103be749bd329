#ifndef PACKAGES_PLACEMENT_REPORT_FILTER_H_
#define PACKAGES_PLACEMENT_REPORT_FILTER_H_

#include <optional>
#include <string_view>

#include "packages/state/state.h"

namespace bramleyrail {

// Returns the report as the state machine takes it, or nullopt when it would
// change nothing: it is of an old attempt, of another worker or boot, or is
// already in the state.
std::optional<AttemptReport> NewsOf(const ClusterState& state,
                                    std::string_view worker,
                                    std::string_view boot_id,
                                    const AttemptReport& report);

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_REPORT_FILTER_H_
