#include "packages/state/claim.h"

#include <array>

namespace bramleyrail {

std::string_view ClaimStateName(ClaimState state) {
  constexpr std::array<std::string_view, 4> kNames = {
      "running", "completed", "not_run", "outcome_unknown"};
  return kNames[static_cast<size_t>(state)];
}

}  // namespace bramleyrail
